/**
 * Header fields of requests and responses: reading one, and leaving out those that do not go on to
 * the next hop (RFC 9110, section 7.6.1).
 */

import type { HeaderFields } from '@switchwheel/transport';

/** Fields of one connection only: they do not go on. */
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

/** The value of a field by its lower-case name; several of one name are joined as a list. */
export const fieldValue = (fields: HeaderFields, name: string): string | undefined => {
  const values = fields.filter(([key]) => key === name).map(([, value]) => value);
  return values.length === 0 ? undefined : values.join(', ');
};

/** Fields that each hop writes for itself. */
export const rewrittenFields: readonly string[] = ['host', 'content-length', 'expect'];

/** The fields that go on to the next hop: not those of the connection, nor those to be omitted. */
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
