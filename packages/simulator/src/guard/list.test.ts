import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { guardError } from './built-copy.js';
import { guards } from './list.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));

void test('the text of each guard stands once in its built file', () => {
  const faults = guards.map((one) => guardError(root, one)).filter((one) => one !== undefined);
  assert.deepEqual(faults, []);
});

void test('no two guards bear one name', () => {
  const names = guards.map((one) => one.name);
  assert.deepEqual([...new Set(names)], names);
});
