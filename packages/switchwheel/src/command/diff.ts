/** Comparison of two configurations, and the text form of the differences. */

import { propertyOf, isObject, listProperty, toText } from './json-text.js';

interface Change {
  readonly path: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly from: unknown;
  readonly to: unknown;
}

const withSortedKeys = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(withSortedKeys);
  if (!isObject(value)) return value;
  return Object.fromEntries(
    Object.entries(value)
      .sort(([leftKey], [rightKey]) => (leftKey < rightKey ? -1 : 1))
      .map(([key, member]) => [key, withSortedKeys(member)]),
  );
};
const isEqualJson = (left: unknown, right: unknown): boolean =>
  JSON.stringify(withSortedKeys(left)) === JSON.stringify(withSortedKeys(right));
const byName = (list: readonly unknown[]): ReadonlyMap<string, unknown> =>
  new Map(list.map((entry) => [toText(propertyOf(entry, 'name')), entry]));

/** Differences of classes, services, routes (matched by name) and the rollout settings. */
export const diffConfigurations = (before: unknown, after: unknown): readonly Change[] => {
  const changes: Change[] = [];
  for (const section of ['classes', 'services', 'routes']) {
    const oldByName = byName(listProperty(before, section));
    const newByName = byName(listProperty(after, section));
    for (const [name, from] of oldByName)
      if (!newByName.has(name))
        changes.push({ path: `${section}.${name}`, change: 'removed', from, to: undefined });
    for (const [name, to] of newByName) {
      const from = oldByName.get(name);
      if (from === undefined)
        changes.push({ path: `${section}.${name}`, change: 'added', from: undefined, to });
      else if (!isEqualJson(from, to))
        changes.push({ path: `${section}.${name}`, change: 'changed', from, to });
    }
  }
  if (!isEqualJson(propertyOf(before, 'rollout'), propertyOf(after, 'rollout')))
    changes.push({
      path: 'rollout',
      change: 'changed',
      from: propertyOf(before, 'rollout'),
      to: propertyOf(after, 'rollout'),
    });
  return changes;
};

/** Formats changes as text: `+` added, `-` removed, `~` changed. */
export const formatDiff = (changes: readonly Change[]): string =>
  changes.length === 0
    ? 'no changes'
    : changes
        .map((difference) => {
          if (difference.change !== 'changed')
            return `${difference.change === 'added' ? '+' : '-'} ${difference.path}`;
          return `~ ${difference.path}\n    from ${JSON.stringify(withSortedKeys(difference.from))}\n    to   ${JSON.stringify(withSortedKeys(difference.to))}`;
        })
        .join('\n');
