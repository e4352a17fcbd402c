/** A copy of a table with one entry set. */
export const withEntry = <K, V>(table: ReadonlyMap<K, V>, key: K, value: V): ReadonlyMap<K, V> => {
  const copy = new Map(table);
  copy.set(key, value);
  return copy;
};

/** A copy of a table without one entry; the table itself if it has none. */
export const withoutEntry = <K, V>(table: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> => {
  if (!table.has(key)) return table;
  const copy = new Map(table);
  copy.delete(key);
  return copy;
};

/** Adds to a count in a table that changes in place. */
export const increment = <K>(counts: Map<K, number>, key: K, many = 1): void => {
  counts.set(key, (counts.get(key) ?? 0) + many);
};

/** A copy of a table with only the entries that pass; the table itself if all do. */
export const filterEntries = <K, V>(
  table: ReadonlyMap<K, V>,
  keep: (value: V, key: K) => boolean,
): ReadonlyMap<K, V> => {
  const kept = [...table].filter(([key, value]) => keep(value, key));
  return kept.length === table.size ? table : new Map(kept);
};
