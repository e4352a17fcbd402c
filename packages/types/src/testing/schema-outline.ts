/**
 * Outlines of valibot schemas as plain JSON, for tests that compare storage and wire formats with a fixture.
 *
 * An outline has every key, literal, option, bound and default of a schema, but none of its messages. A custom
 * schema cannot be inspected, so its outline lists which of a fixed set of samples it accepts.
 */

import * as v from 'valibot';

/** JSON form of a schema or of a part of one. */
export type Outline =
  string | number | boolean | null | readonly Outline[] | { readonly [name: string]: Outline };

/** Values that custom schemas are tested with, by their names in outlines. */
const samples: ReadonlyMap<string, unknown> = new Map<string, unknown>([
  ['zero', 0],
  ['one', 1],
  ['minus one', -1],
  ['one and a half', 1.5],
  ['over the safe integers', 2 ** 60],
  ['infinity', Number.POSITIVE_INFINITY],
  ['empty text', ''],
  ['letter', 'a'],
  ['dots, dashes and underlines', 'a.b-c_d'],
  ['colon', 'a:b'],
  ['at, slash and plus', 'a@b/c+d'],
  ['blank', 'a b'],
  ['leading dash', '-a'],
  ['64 letters', 'x'.repeat(64)],
  ['65 letters', 'x'.repeat(65)],
  ['128 letters', 'x'.repeat(128)],
  ['129 letters', 'x'.repeat(129)],
  ['64 hexadecimal digits', '0a'.repeat(32)],
  ['IPv4 address and port', '127.0.0.1:7000'],
  ['IPv4 address out of range', '256.0.0.1:7000'],
  ['IPv6 address and port', '[::1]:7000'],
  ['port out of range', '127.0.0.1:65536'],
  ['null', null],
  ['true', true],
  ['bytes', new Uint8Array([1])],
]);

/** Members of schemas and actions that outlines include. */
const outlinedMembers = [
  'key',
  'literal',
  'options',
  'entries',
  'items',
  'item',
  'rest',
  'wrapped',
  'default',
  'requirement',
] as const;

type Members = Readonly<Record<string, unknown>>;
type Ancestors = readonly object[];

const isMembers = (raw: unknown): raw is Members => typeof raw === 'object' && raw !== null;

const isSchema = (raw: unknown): raw is v.GenericSchema =>
  isMembers(raw) && raw['kind'] === 'schema' && '~run' in raw;

const isSchemaOrAction = (raw: unknown): raw is Members & { readonly type: string } =>
  isMembers(raw) && typeof raw['kind'] === 'string' && typeof raw['type'] === 'string';

/** Returns the names of the samples that a schema accepts. */
const acceptedSamples = (schema: v.GenericSchema): readonly string[] =>
  [...samples].filter(([, sample]) => v.is(schema, sample)).map(([name]) => name);

/** Outlines a lazy schema: one of its own ancestors as the number of levels up, any other in place. */
const outlineLazy = (getter: unknown, ancestors: Ancestors): Outline => {
  if (typeof getter !== 'function') throw new TypeError('lazy schema has no getter function');
  const target: unknown = Reflect.apply(getter, undefined, []);
  const level = ancestors.findIndex((ancestor) => ancestor === target);
  return level < 0
    ? { type: 'lazy', wrapped: outlinePart(target, ancestors) }
    : { type: 'lazy', levelsUp: ancestors.length - level };
};

const outlineMembers = (part: Members, ancestors: Ancestors): Readonly<Record<string, Outline>> =>
  Object.fromEntries(
    outlinedMembers
      .filter((name) => part[name] !== undefined)
      .map((name) => [name, outlinePart(part[name], ancestors)]),
  );

const outlineNode = (
  node: Members & { readonly type: string },
  outerAncestors: Ancestors,
): Outline => {
  const ancestors = [...outerAncestors, node];
  if (node['pipe'] !== undefined) return { pipe: outlinePart(node['pipe'], ancestors) };
  if (node.type === 'lazy') return outlineLazy(node['getter'], outerAncestors);
  if (node.type === 'custom' && isSchema(node))
    return { type: 'custom', accepts: acceptedSamples(node) };
  return { type: node.type, ...outlineMembers(node, ancestors) };
};

const outlinePart = (part: unknown, ancestors: Ancestors): Outline => {
  if (typeof part === 'string' || typeof part === 'number' || typeof part === 'boolean')
    return part;
  if (part === null) return null;
  if (part instanceof RegExp) return String(part);
  if (typeof part === 'function') return 'function';
  if (Array.isArray(part)) return part.map((item: unknown) => outlinePart(item, ancestors));
  if (isSchemaOrAction(part)) return outlineNode(part, ancestors);
  if (!isMembers(part)) throw new TypeError(`cannot outline a schema part of type ${typeof part}`);
  return Object.fromEntries(
    Object.entries(part).map(([name, value]) => [name, outlinePart(value, ancestors)]),
  );
};

/** Outlines a schema; throws a TypeError for parts that are neither JSON values, functions nor schemas. */
export const outlineSchema = (schema: v.GenericSchema): Outline => outlinePart(schema, []);

/** Returns the outlines of schemas by name. */
export const outlineSchemas = (
  schemas: Readonly<Record<string, v.GenericSchema>>,
): Readonly<Record<string, Outline>> =>
  Object.fromEntries(
    Object.entries(schemas).map(([name, schema]) => [name, outlineSchema(schema)]),
  );
