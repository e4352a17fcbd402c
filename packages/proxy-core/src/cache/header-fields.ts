import type { HeaderFields } from '@switchwheel/transport';

/** Fields of one channel only: they are not handed on. */
const hopByHopFields: ReadonlySet<string> = new Set([
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

export const fieldValue = (fields: HeaderFields, name: string): string | undefined => {
  const found = fields.filter(([key]) => key === name).map(([, value]) => value);
  return found.length === 0 ? undefined : found.join(', ');
};

/** Fields that each hop writes for itself. */
export const rewrittenFields: readonly string[] = ['host', 'content-length', 'expect'];

/** Fields that may be handed on: without those of the channel and those that Connection names. */
export const forwardableFields = (
  fields: HeaderFields,
  less: readonly string[] = [],
): HeaderFields => {
  const named = new Set(
    (fieldValue(fields, 'connection') ?? '').split(',').map((one) => one.trim().toLowerCase()),
  );
  return fields.filter(
    ([key]) => !hopByHopFields.has(key) && !named.has(key) && !less.includes(key),
  );
};

/** The directives of Cache-Control. */
export const cacheControl = (fields: HeaderFields): ReadonlyMap<string, string> => {
  const out = new Map<string, string>();
  for (const part of (fieldValue(fields, 'cache-control') ?? '').split(',')) {
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

const parseDecimal = (raw: string | undefined): number | undefined =>
  raw !== undefined && /^\d+$/.test(raw) ? Number(raw) : undefined;

/** How long a result is good for from when the origin made it; undefined if it may not be kept. */
export const freshnessLifetimeMs = (
  status: number,
  fields: HeaderFields,
  authorised: boolean,
  own: number | undefined,
): number | undefined => {
  const rules = cacheControl(fields);
  if (![200, 203, 300, 301, 404, 410].includes(status)) return undefined;
  if (
    rules.has('no-store') ||
    rules.has('private') ||
    rules.has('no-cache') ||
    fieldValue(fields, 'set-cookie') !== undefined
  )
    return undefined;
  if (fieldValue(fields, 'vary')?.includes('*') === true) return undefined;
  if (authorised && !rules.has('public') && !rules.has('s-maxage')) return undefined;
  const told = parseDecimal(rules.get('s-maxage')) ?? parseDecimal(rules.get('max-age'));
  const spans = [told === undefined ? undefined : told * 1000, own].filter(
    (one) => one !== undefined,
  );
  return spans.length === 0 ? undefined : Math.min(...spans);
};

/** How old a result was when it came from the origin, in milliseconds. */
export const responseAgeMs = (fields: HeaderFields): number =>
  (parseDecimal(fieldValue(fields, 'age')) ?? 0) * 1000;

export const cacheTags = (fields: HeaderFields): readonly string[] =>
  (fieldValue(fields, 'cache-tag') ?? fieldValue(fields, 'surrogate-key') ?? '')
    .split(/[\s,]+/)
    .filter((one) => one !== '');

export const varyNames = (fields: HeaderFields): readonly string[] =>
  (fieldValue(fields, 'vary') ?? '')
    .split(',')
    .map((one) => one.trim().toLowerCase())
    .filter((one) => one !== '');
