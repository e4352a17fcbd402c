/** Suggestions for misspelt words in queries. */

/** Maximum edit distance of a suggested word. */
const maxEditDistance = 3;

/** Returns the Levenshtein distance between two words. */
const editDistance = (left: string, right: string): number => {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let leftLength = 1; leftLength <= left.length; leftLength += 1) {
    const nextRow = [leftLength];
    for (let rightLength = 1; rightLength <= right.length; rightLength += 1)
      nextRow.push(
        Math.min(
          (nextRow[rightLength - 1] ?? 0) + 1,
          (row[rightLength] ?? 0) + 1,
          (row[rightLength - 1] ?? 0) + (left[leftLength - 1] === right[rightLength - 1] ? 0 : 1),
        ),
      );
    row = nextRow;
  }
  return row[right.length] ?? 0;
};

/** Returns the end of an error message: the nearest candidate, or all of them if none is within `maxEditDistance`. */
export const suggestion = (word: string, candidates: readonly string[]): string => {
  const nearest = [...candidates].sort(
    (left, right) => editDistance(word, left) - editDistance(word, right),
  )[0];
  return nearest !== undefined && editDistance(word, nearest) <= maxEditDistance
    ? `; did you mean ${nearest}?`
    : `; expected one of ${candidates.join(', ')}`;
};
