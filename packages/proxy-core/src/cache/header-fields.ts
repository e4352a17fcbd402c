/**
 * Header fields of requests and responses: lookup, and removal of hop-by-hop fields (RFC 9110,
 * section 7.6.1).
 */

import type { HeaderFields } from '@switchwheel/transport';

/** Hop-by-hop fields. */
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

/** Returns the value of a field by its lower-case name; multiple values are joined into a list. */
export const fieldValue = (fields: HeaderFields, name: string): string | undefined => {
  const values = fields.filter(([key]) => key === name).map(([, value]) => value);
  return values.length === 0 ? undefined : values.join(', ');
};

/** Fields that each hop sets itself. */
export const rewrittenFields: readonly string[] = ['host', 'content-length', 'expect'];

/**
 * Returns the fields to forward: all but hop-by-hop fields, fields listed in Connection, and those
 * in `omitted`.
 */
export const forwardableFields = (
  fields: HeaderFields,
  omitted: readonly string[] = [],
): HeaderFields => {
  const connectionOptions = new Set(
    (fieldValue(fields, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  return fields.filter(
    ([name]) =>
      !hopByHopFields.has(name) && !connectionOptions.has(name) && !omitted.includes(name),
  );
};
