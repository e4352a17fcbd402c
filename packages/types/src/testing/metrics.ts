/** Holds the names, labels and help of metrics against snapshots. */

import type { MatchSnapshot } from './snapshot.js';

const isComment = (line: string): boolean => line.startsWith('#');
const withoutValue = (line: string): string => line.replace(/ [^ ]*$/, '');

/**
 * Holds metrics as they are printed: names and labels in one snapshot, help and type lines in another, so that new help
 * leaves the first alone. Values change from run to run and are left out.
 */
export const matchMetrics = (matchSnapshot: MatchSnapshot, name: string, text: string): void => {
  const lines = text.trimEnd().split('\n');
  const comments = lines.filter(isComment);
  matchSnapshot(
    name,
    lines
      .filter((line) => !isComment(line))
      .map(withoutValue)
      .join('\n'),
  );
  matchSnapshot(`${name}-help`, comments.length === 0 ? '(none is printed)' : comments.join('\n'));
};
