/** Suggests what a misspelt word may have been meant to be. */

/** A word that differs by more edits than this is not suggested. */
const maxEditDistance = 3;

/** The Levenshtein distance between two words. */
const editDistance = (one: string, two: string): number => {
  let row = Array.from({ length: two.length + 1 }, (_, at) => at);
  for (let a = 1; a <= one.length; a += 1) {
    const next = [a];
    for (let b = 1; b <= two.length; b += 1)
      next.push(
        Math.min(
          (next[b - 1] ?? 0) + 1,
          (row[b] ?? 0) + 1,
          (row[b - 1] ?? 0) + (one[a - 1] === two[b - 1] ? 0 : 1),
        ),
      );
    row = next;
  }
  return row[two.length] ?? 0;
};

/** The end of an error message: the nearest candidate, or all of them if none is near. */
export const suggestion = (word: string, candidates: readonly string[]): string => {
  const best = [...candidates].sort(
    (one, two) => editDistance(word, one) - editDistance(word, two),
  )[0];
  return best !== undefined && editDistance(word, best) <= maxEditDistance
    ? `; did you mean ${best}?`
    : `; one of ${candidates.join(', ')}`;
};
