/** Guards against outlines that miss a part of a schema, so that a changed protocol would go unnoticed. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as v from 'valibot';
import { outlineSchema } from './schema-outline.js';

interface Tree {
  readonly children: readonly Tree[];
}
const tree: v.GenericSchema<Tree> = v.object({ children: v.array(v.lazy(() => tree)) });

void test('an outline has the keys, literals, options, bounds and defaults of a schema', () => {
  const schema = v.strictObject({
    kind: v.literal('sample'),
    state: v.optional(v.picklist(['up', 'gone']), 'up'),
    count: v.pipe(v.number('a message'), v.integer(), v.minValue(1)),
    pair: v.tuple([v.string(), v.nullable(v.boolean())]),
  });
  assert.deepEqual(outlineSchema(schema), {
    type: 'strict_object',
    entries: {
      kind: { type: 'literal', literal: 'sample' },
      state: {
        type: 'optional',
        wrapped: { type: 'picklist', options: ['up', 'gone'] },
        default: 'up',
      },
      count: {
        pipe: [
          { type: 'number' },
          { type: 'integer', requirement: 'function' },
          { type: 'min_value', requirement: 1 },
        ],
      },
      pair: {
        type: 'tuple',
        items: [{ type: 'string' }, { type: 'nullable', wrapped: { type: 'boolean' } }],
      },
    },
  });
});

void test('an outline of a variant has its discriminant and each of its options', () => {
  const schema = v.variant('by', [
    v.object({ by: v.literal('tag'), tag: v.string() }),
    v.object({ by: v.literal('all') }),
  ]);
  assert.deepEqual(outlineSchema(schema), {
    type: 'variant',
    key: 'by',
    options: [
      {
        type: 'object',
        entries: { by: { type: 'literal', literal: 'tag' }, tag: { type: 'string' } },
      },
      { type: 'object', entries: { by: { type: 'literal', literal: 'all' } } },
    ],
  });
});

void test('an outline of a custom schema lists the samples that it accepts', () => {
  const schema = v.custom<string>((raw) => raw === 'a' || raw === '');
  assert.deepEqual(outlineSchema(schema), { type: 'custom', accepts: ['empty text', 'letter'] });
});

void test('an outline of a recursive schema gives the number of levels up to its start', () => {
  assert.deepEqual(outlineSchema(tree), {
    type: 'object',
    entries: { children: { type: 'array', item: { type: 'lazy', levelsUp: 2 } } },
  });
});
