/** Copy-on-write operations on the `ReadonlyMap`s of reducer states. */

/** Returns a copy of a map with one entry set. */
export const withEntry = <K, V>(map: ReadonlyMap<K, V>, key: K, value: V): ReadonlyMap<K, V> => {
  const copy = new Map(map);
  copy.set(key, value);
  return copy;
};

/** Returns a copy of a map without one entry, or the same map if it has no such entry. */
export const withoutEntry = <K, V>(map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> => {
  if (!map.has(key)) return map;
  const copy = new Map(map);
  copy.delete(key);
  return copy;
};

/** Returns a copy of a map with the entries that `keep` accepts, or the same map if it accepts all. */
export const filterEntries = <K, V>(
  map: ReadonlyMap<K, V>,
  keep: (value: V, key: K) => boolean,
): ReadonlyMap<K, V> => {
  const entries = [...map].filter(([key, value]) => keep(value, key));
  return entries.length === map.size ? map : new Map(entries);
};
