/**
 * Holds the form of each family of stored rows word for word. The fixture has one row of each with every optional
 * part present; a difference from it is a change of the data on the disks of fleets that run.
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

const rowForm = v.strictObject({
  key: v.string(),
  value: v.unknown(),
  /** Paths of parts that a stored row may lack. */
  optional: v.array(v.string()),
  /** The texts that a part may have, by its path. */
  enumerations: v.record(v.string(), v.array(v.string())),
});
type StoredRow = v.InferOutput<typeof rowForm>;

const rows = v.parse(
  v.array(rowForm),
  JSON.parse(readFileSync(new URL('../../fixtures/stored-rows.json', import.meta.url), 'utf8')),
);

const members = v.record(v.string(), v.unknown());

const load = (key: string, value: unknown): ControlState =>
  applyPut(emptyControlState, { key, data: JSON.stringify(value) });

/** The rows that a control state writes, by key: chunks are texts of their own. */
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

/** A copy of a value in which the member at a path was changed by a function. */
const withMember = (
  value: unknown,
  [name = '', ...rest]: readonly string[],
  change: (holder: Readonly<Record<string, unknown>>, name: string) => object,
): unknown => {
  if (Array.isArray(value))
    return value.map((item: unknown, index) =>
      String(index) === name ? withMember(item, rest, change) : item,
    );
  const holder = v.parse(members, value);
  return rest.length === 0
    ? change(holder, name)
    : { ...holder, [name]: withMember(holder[name], rest, change) };
};

const withoutPart = (value: unknown, path: string): unknown =>
  withMember(value, path.split('.'), (holder, name) =>
    Object.fromEntries(Object.entries(holder).filter(([key]) => key !== name)),
  );

const withText = (value: unknown, path: string, text: string): unknown =>
  withMember(value, path.split('.'), (holder, name) => ({ ...holder, [name]: text }));

/** The paths of all members of a value, at any depth. */
const pathsIn = (value: unknown): readonly string[] => {
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([name, part]: [string, unknown]) => [
    ...(Array.isArray(value) ? [] : [name]),
    ...pathsIn(part).map((path) => `${name}.${path}`),
  ]);
};

/** Chunks of a configuration are stored as texts and parsed when it is compiled. */
const isParsed = (row: StoredRow): boolean => !row.key.startsWith('piece/');

void test('rows of all families are loaded and written again as they were', () => {
  const control = applyPuts(
    emptyControlState,
    rows.map(({ key, value }) => ({ key, data: JSON.stringify(value) })),
  );
  assert.deepEqual(rowsOf(control), Object.fromEntries(rows.map(({ key, value }) => [key, value])));
});

for (const row of rows.filter(isParsed)) {
  void test(`the row ${row.key} needs each of its parts that is not optional`, () => {
    const paths = pathsIn(row.value);
    assert.ok(row.optional.every((path) => paths.includes(path)));
    const accepted = paths.filter((path) => {
      try {
        load(row.key, withoutPart(row.value, path));
        return true;
      } catch {
        return false;
      }
    });
    assert.deepEqual([...accepted].sort(), [...row.optional].sort());
  });

  for (const [path, texts] of Object.entries(row.enumerations))
    void test(`the part ${path} of the row ${row.key} takes ${texts.join(', ')} and nothing else`, () => {
      for (const text of texts) {
        const value = withText(row.value, path, text);
        assert.deepEqual(rowsOf(load(row.key, value)), { [row.key]: value });
      }
      assert.throws(() => load(row.key, withText(row.value, path, 'of another version')));
    });
}
