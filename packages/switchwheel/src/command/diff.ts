import { at, isObject, listAt, text } from './show.js';

interface Change {
  readonly path: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly from: unknown;
  readonly to: unknown;
}

const sorted = (raw: unknown): unknown => {
  if (Array.isArray(raw)) return raw.map(sorted);
  if (!isObject(raw)) return raw;
  return Object.fromEntries(
    Object.entries(raw)
      .sort(([one], [two]) => (one < two ? -1 : 1))
      .map(([key, value]) => [key, sorted(value)]),
  );
};
const same = (one: unknown, two: unknown): boolean =>
  JSON.stringify(sorted(one)) === JSON.stringify(sorted(two));
const named = (list: readonly unknown[]): ReadonlyMap<string, unknown> =>
  new Map(list.map((one) => [text(at(one, 'name')), one]));

/** What a description would change, by the names of its parts. */
export const diff = (old: unknown, fresh: unknown): readonly Change[] => {
  const out: Change[] = [];
  for (const family of ['classes', 'services', 'routes']) {
    const was = named(listAt(old, family));
    const is = named(listAt(fresh, family));
    for (const [name, from] of was)
      if (!is.has(name))
        out.push({ path: `${family}.${name}`, change: 'removed', from, to: undefined });
    for (const [name, to] of is) {
      const from = was.get(name);
      if (from === undefined)
        out.push({ path: `${family}.${name}`, change: 'added', from: undefined, to });
      else if (!same(from, to))
        out.push({ path: `${family}.${name}`, change: 'changed', from, to });
    }
  }
  if (!same(at(old, 'rollout'), at(fresh, 'rollout')))
    out.push({
      path: 'rollout',
      change: 'changed',
      from: at(old, 'rollout'),
      to: at(fresh, 'rollout'),
    });
  return out;
};

export const diffLines = (changes: readonly Change[]): string =>
  changes.length === 0
    ? 'nothing would change'
    : changes
        .map((one) => {
          if (one.change !== 'changed') return `${one.change === 'added' ? '+' : '-'} ${one.path}`;
          return `~ ${one.path}\n    from ${JSON.stringify(sorted(one.from))}\n    to   ${JSON.stringify(sorted(one.to))}`;
        })
        .join('\n');
