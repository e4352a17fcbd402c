/** Counters by key in a mutable map. */

/** Adds `amount` to the count of a key, which starts at 0 if the key is absent. */
export const increment = <K>(counts: Map<K, number>, key: K, amount = 1): void => {
  counts.set(key, (counts.get(key) ?? 0) + amount);
};
