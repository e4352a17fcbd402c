/** Compares the names, labels and help texts of metrics with snapshots. */

import type { MatchSnapshot } from './snapshot.js';

const isComment = (line: string): boolean => line.startsWith('#');
const withoutValue = (line: string): string => line.replace(/ [^ ]*$/, '');

/** Compares formatted metrics, without their values, with a snapshot of names and labels and one of help lines. */
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
