/** The difference between two configurations, and how it is printed. */

import { memberOf, isObject, listMember, toText } from './json-text.js';

interface Change {
  readonly path: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly from: unknown;
  readonly to: unknown;
}

const withSortedKeys = (raw: unknown): unknown => {
  if (Array.isArray(raw)) return raw.map(withSortedKeys);
  if (!isObject(raw)) return raw;
  return Object.fromEntries(
    Object.entries(raw)
      .sort(([one], [two]) => (one < two ? -1 : 1))
      .map(([key, value]) => [key, withSortedKeys(value)]),
  );
};
const isEqualJson = (one: unknown, two: unknown): boolean =>
  JSON.stringify(withSortedKeys(one)) === JSON.stringify(withSortedKeys(two));
const byName = (list: readonly unknown[]): ReadonlyMap<string, unknown> =>
  new Map(list.map((one) => [toText(memberOf(one, 'name')), one]));

/** What a configuration would change, by the names of its parts. */
export const diffConfigurations = (before: unknown, after: unknown): readonly Change[] => {
  const changes: Change[] = [];
  for (const family of ['classes', 'services', 'routes']) {
    const oldByName = byName(listMember(before, family));
    const newByName = byName(listMember(after, family));
    for (const [name, from] of oldByName)
      if (!newByName.has(name))
        changes.push({ path: `${family}.${name}`, change: 'removed', from, to: undefined });
    for (const [name, to] of newByName) {
      const from = oldByName.get(name);
      if (from === undefined)
        changes.push({ path: `${family}.${name}`, change: 'added', from: undefined, to });
      else if (!isEqualJson(from, to))
        changes.push({ path: `${family}.${name}`, change: 'changed', from, to });
    }
  }
  if (!isEqualJson(memberOf(before, 'rollout'), memberOf(after, 'rollout')))
    changes.push({
      path: 'rollout',
      change: 'changed',
      from: memberOf(before, 'rollout'),
      to: memberOf(after, 'rollout'),
    });
  return changes;
};

/** Changes as lines for people: `+` added, `-` removed, `~` changed. */
export const formatDiff = (changes: readonly Change[]): string =>
  changes.length === 0
    ? 'nothing would change'
    : changes
        .map((one) => {
          if (one.change !== 'changed') return `${one.change === 'added' ? '+' : '-'} ${one.path}`;
          return `~ ${one.path}\n    from ${JSON.stringify(withSortedKeys(one.from))}\n    to   ${JSON.stringify(withSortedKeys(one.to))}`;
        })
        .join('\n');
