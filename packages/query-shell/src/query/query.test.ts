/** Guards against wrong results of queries, and against errors that point at the wrong place. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Cell, Row } from '../table/table.js';
import { parseQuery } from './parse.js';
import { runQuery } from './run.js';

const row = (cells: Record<string, Cell>): Row => new Map(Object.entries(cells));
const rows = [
  row({ node: 'edge-1', role: 'edge', area: 'one', ready: true, generation: 4 }),
  row({ node: 'edge-2', role: 'edge', area: 'two', ready: false, generation: 3 }),
  row({ node: 'shield-1', role: 'shield', area: 'one', ready: true, generation: 10 }),
  row({ node: 'store-1', role: 'store', area: 'two', ready: true, generation: null }),
];
const queryRows = (text: string): readonly unknown[] =>
  runQuery(
    parseQuery(text).unwrapOrElse((error) => assert.fail(error.text)),
    rows,
  ).map((resultRow) => [...resultRow.values()]);

void test('a query filters, selects, sorts, counts and limits the rows of its table', () => {
  assert.deepEqual(queryRows('nodes | where role = edge and ready = false | select node'), [
    ['edge-2'],
  ]);
  assert.deepEqual(
    queryRows('nodes | where generation >= 4 | sort generation desc | select node generation'),
    [
      ['shield-1', 10],
      ['edge-1', 4],
    ],
  );
  assert.deepEqual(queryRows('nodes | where generation = - | select node'), [['store-1']]);
  assert.deepEqual(queryRows('nodes | where node ~ edge | count by area'), [
    ['one', 1],
    ['two', 1],
  ]);
  assert.deepEqual(queryRows('nodes | count'), [[4]]);
  assert.deepEqual(queryRows('nodes | sort generation | limit 1 | select node'), [['edge-2']]);
  assert.equal(
    parseQuery('nodes | follow 500ms')
      .map((query) => query.followMs)
      .unwrapOr(undefined),
    500,
  );
});

void test('an invalid query is rejected with the offset of the mistake and a suggestion', () => {
  const mistakes = new Map([
    ['', [0, 'missing table']],
    ['nods', [0, 'did you mean nodes?']],
    ['nodes | wher role = edge', [8, 'did you mean where?']],
    ['nodes | where rolle = edge', [14, 'did you mean role?']],
    ['nodes | where role is edge', [19, 'operator after role']],
    ['nodes | where role = edge or x', [26, 'between conditions']],
    ['nodes | limit none', [14, 'an integer of at least 1']],
    ['nodes | select node | sort area', [27, 'unknown column area']],
    ['nodes | follow 1ms', [15, 'at least 100ms']],
    ['nodes |', [7, 'missing stage after "|"']],
    ['nodes where', [6, 'missing "|"']],
  ] as const);
  for (const [text, [offset, expectedText]] of mistakes) {
    const parsed = parseQuery(text);
    assert.ok(parsed.isErr, text);
    assert.equal(parsed.error.offset, offset, `${text}: ${parsed.error.text}`);
    assert.ok(parsed.error.text.includes(expectedText), `${text}: ${parsed.error.text}`);
  }
});
