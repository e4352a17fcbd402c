/**
 * Guards against changes of the stored form of rows, which running clusters have on disk. The fixture holds one row of
 * each kind with all optional fields.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import * as v from 'valibot';
import {
  type ControlState,
  applyPut,
  applyPuts,
  controlKeys,
  emptyControlState,
  putRecord,
} from './control-state.js';

const rowSchema = v.strictObject({
  key: v.string(),
  value: v.unknown(),
  /** Paths of optional fields. */
  optional: v.array(v.string()),
  /** Allowed texts of enumerated fields, by path. */
  enumerations: v.record(v.string(), v.array(v.string())),
});
type StoredRow = v.InferOutput<typeof rowSchema>;

const rows = v.parse(
  v.array(rowSchema),
  JSON.parse(readFileSync(new URL('../../fixtures/stored-rows.json', import.meta.url), 'utf8')),
);

const objectSchema = v.record(v.string(), v.unknown());

const load = (key: string, value: unknown): ControlState =>
  applyPut(emptyControlState, { key, data: JSON.stringify(value) });

/** Parsed rows of a control state, by key. */
const rowsOf = (control: ControlState): Readonly<Record<string, unknown>> => {
  const puts = [
    ...(control.configuration === undefined
      ? []
      : [putRecord(controlKeys.configuration, control.configuration)]),
    ...[...control.nodes].map(([node, row]) => putRecord(controlKeys.node(node), row)),
    ...[...control.rollouts].map(([generation, row]) =>
      putRecord(controlKeys.rollout(generation), row),
    ),
    ...[...control.targets.values()].map((row) =>
      putRecord(controlKeys.target(row.generation, row.node), row),
    ),
    ...control.purges.map((row) => putRecord(controlKeys.purge(row.seq), row)),
    ...[...control.canaryResults.values()].map((row) =>
      putRecord(controlKeys.canaryResult(row.service, row.release), row),
    ),
    ...[...control.releases].map(([service, row]) => putRecord(controlKeys.release(service), row)),
    ...[...control.origins].map(([instance, row]) => putRecord(controlKeys.origin(instance), row)),
    ...[...control.commandOutcomes].map(([id, row]) =>
      putRecord(controlKeys.commandOutcome(id), row),
    ),
    ...[...control.hashByGeneration].map(([number, hash]) =>
      putRecord(controlKeys.generation(number), { hash }),
    ),
    ...[...control.chunks].map(([hash, data]) => ({ key: controlKeys.chunk(hash), data })),
  ];
  return Object.fromEntries(puts.map(({ key, data }) => [key, JSON.parse(data ?? 'null')]));
};

/** Copies a value and applies a function to the object that holds the field at a path. */
const withChangedField = (
  value: unknown,
  [name = '', ...rest]: readonly string[],
  change: (parent: Readonly<Record<string, unknown>>, name: string) => object,
): unknown => {
  if (Array.isArray(value))
    return value.map((item: unknown, index) =>
      String(index) === name ? withChangedField(item, rest, change) : item,
    );
  const parent = v.parse(objectSchema, value);
  return rest.length === 0
    ? change(parent, name)
    : { ...parent, [name]: withChangedField(parent[name], rest, change) };
};

const withoutField = (value: unknown, path: string): unknown =>
  withChangedField(value, path.split('.'), (parent, name) =>
    Object.fromEntries(Object.entries(parent).filter(([key]) => key !== name)),
  );

const withText = (value: unknown, path: string, text: string): unknown =>
  withChangedField(value, path.split('.'), (parent, name) => ({ ...parent, [name]: text }));

/** Paths of all fields of a value, at any depth. */
const pathsIn = (value: unknown): readonly string[] => {
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([name, field]: [string, unknown]) => [
    ...(Array.isArray(value) ? [] : [name]),
    ...pathsIn(field).map((path) => `${name}.${path}`),
  ]);
};

/** Whether a row is validated when it is loaded; chunks are stored as text. */
const isValidated = (row: StoredRow): boolean => !row.key.startsWith('piece/');

void test('rows of all kinds are written back unchanged after loading', () => {
  const control = applyPuts(
    emptyControlState,
    rows.map(({ key, value }) => ({ key, data: JSON.stringify(value) })),
  );
  assert.deepEqual(rowsOf(control), Object.fromEntries(rows.map(({ key, value }) => [key, value])));
});

for (const row of rows.filter(isValidated)) {
  void test(`the row ${row.key} is rejected if a required field is missing`, () => {
    const paths = pathsIn(row.value);
    assert.ok(row.optional.every((path) => paths.includes(path)));
    const accepted = paths.filter((path) => {
      try {
        load(row.key, withoutField(row.value, path));
        return true;
      } catch {
        return false;
      }
    });
    assert.deepEqual([...accepted].sort(), [...row.optional].sort());
  });

  for (const [path, texts] of Object.entries(row.enumerations))
    void test(`the field ${path} of the row ${row.key} accepts only ${texts.join(', ')}`, () => {
      for (const text of texts) {
        const value = withText(row.value, path, text);
        assert.deepEqual(rowsOf(load(row.key, value)), { [row.key]: value });
      }
      assert.throws(() => load(row.key, withText(row.value, path, 'of another version')));
    });
}
