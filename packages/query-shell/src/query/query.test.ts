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
const ask = (text: string): readonly unknown[] =>
  runQuery(
    parseQuery(text).unwrapOrElse((error) => assert.fail(error.text)),
    rows,
  ).map((one) => [...one.values()]);

void test('a query filters, selects, sorts, counts and limits the rows of its table', () => {
  assert.deepEqual(ask('nodes | where role = edge and ready = false | select node'), [['edge-2']]);
  assert.deepEqual(
    ask('nodes | where generation >= 4 | sort generation desc | select node generation'),
    [
      ['shield-1', 10],
      ['edge-1', 4],
    ],
  );
  assert.deepEqual(ask('nodes | where generation = - | select node'), [['store-1']]);
  assert.deepEqual(ask('nodes | where node ~ edge | count by area'), [
    ['one', 1],
    ['two', 1],
  ]);
  assert.deepEqual(ask('nodes | count'), [[4]]);
  assert.deepEqual(ask('nodes | sort generation | limit 1 | select node'), [['edge-2']]);
  assert.equal(
    parseQuery('nodes | follow 500ms')
      .map((one) => one.followMs)
      .unwrapOr(undefined),
    500,
  );
});

void test('a wrong query is refused with the offset of the mistake and a suggestion', () => {
  const mistakes = new Map([
    ['', [0, 'which table?']],
    ['nods', [0, 'did you mean nodes?']],
    ['nodes | wher role = edge', [8, 'did you mean where?']],
    ['nodes | where rolle = edge', [14, 'did you mean role?']],
    ['nodes | where role is edge', [19, 'after role comes']],
    ['nodes | where role = edge or x', [26, 'between tests']],
    ['nodes | limit none', [14, 'a whole number']],
    ['nodes | select node | sort area', [27, 'no column area']],
    ['nodes | follow 1ms', [15, '100ms or more']],
    ['nodes |', [7, 'nothing behind it']],
    ['nodes where', [6, 'behind a bar']],
  ] as const);
  for (const [text, [at, part]] of mistakes) {
    const parsed = parseQuery(text);
    assert.ok(parsed.isErr, text);
    assert.equal(parsed.error.offset, at, `${text}: ${parsed.error.text}`);
    assert.ok(parsed.error.text.includes(part), `${text}: ${parsed.error.text}`);
  }
});
