import type { Fields } from '@switchwheel/transport';

/** Fields of one channel only: they are not handed on. */
const hops: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'proxy-connection',
]);

export const fieldOf = (fields: Fields, name: string): string | undefined => {
  const found = fields.filter(([key]) => key === name).map(([, value]) => value);
  return found.length === 0 ? undefined : found.join(', ');
};

/** Fields that each hop writes for itself. */
export const ownFields: readonly string[] = ['host', 'content-length', 'expect'];

/** Fields that may be handed on: without those of the channel and those that Connection names. */
export const handOn = (fields: Fields, less: readonly string[] = []): Fields => {
  const named = new Set(
    (fieldOf(fields, 'connection') ?? '').split(',').map((one) => one.trim().toLowerCase()),
  );
  return fields.filter(([key]) => !hops.has(key) && !named.has(key) && !less.includes(key));
};

/** The directives of Cache-Control. */
export const control = (fields: Fields): ReadonlyMap<string, string> => {
  const out = new Map<string, string>();
  for (const part of (fieldOf(fields, 'cache-control') ?? '').split(',')) {
    const cut = part.indexOf('=');
    const name = (cut < 0 ? part : part.slice(0, cut)).trim().toLowerCase();
    if (name !== '')
      out.set(
        name,
        cut < 0
          ? ''
          : part
              .slice(cut + 1)
              .trim()
              .replace(/^"|"$/g, ''),
      );
  }
  return out;
};

const wholeNumber = (raw: string | undefined): number | undefined =>
  raw !== undefined && /^\d+$/.test(raw) ? Number(raw) : undefined;

/** How long a result is good for from when the origin made it; undefined if it may not be kept. */
export const lifetimeOf = (
  status: number,
  fields: Fields,
  authorised: boolean,
  own: number | undefined,
): number | undefined => {
  const rules = control(fields);
  if (![200, 203, 300, 301, 404, 410].includes(status)) return undefined;
  if (
    rules.has('no-store') ||
    rules.has('private') ||
    rules.has('no-cache') ||
    fieldOf(fields, 'set-cookie') !== undefined
  )
    return undefined;
  if (fieldOf(fields, 'vary')?.includes('*') === true) return undefined;
  if (authorised && !rules.has('public') && !rules.has('s-maxage')) return undefined;
  const told = wholeNumber(rules.get('s-maxage')) ?? wholeNumber(rules.get('max-age'));
  const spans = [told === undefined ? undefined : told * 1000, own].filter(
    (one) => one !== undefined,
  );
  return spans.length === 0 ? undefined : Math.min(...spans);
};

/** How old a result was when it came from the origin, in milliseconds. */
export const ageOf = (fields: Fields): number => (wholeNumber(fieldOf(fields, 'age')) ?? 0) * 1000;

export const tagsOf = (fields: Fields): readonly string[] =>
  (fieldOf(fields, 'cache-tag') ?? fieldOf(fields, 'surrogate-key') ?? '')
    .split(/[\s,]+/)
    .filter((one) => one !== '');

export const varyOf = (fields: Fields): readonly string[] =>
  (fieldOf(fields, 'vary') ?? '')
    .split(',')
    .map((one) => one.trim().toLowerCase())
    .filter((one) => one !== '');
