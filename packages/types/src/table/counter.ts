/** Counters by key in a map that changes in place. */

/** Adds `amount` to the count of a key; a key that is absent counts from 0. */
export const increment = <K>(counts: Map<K, number>, key: K, amount = 1): void => {
  counts.set(key, (counts.get(key) ?? 0) + amount);
};
