/** A guard that no longer matches the built code would not be tested. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { guardError } from './built-copy.js';
import { guards } from './list.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));

void test('the text of each guard occurs exactly once in its built file', () => {
  const errors = guards
    .map((guard) => guardError(root, guard))
    .filter((error) => error !== undefined);
  assert.deepEqual(errors, []);
});

void test('names of guards are unique', () => {
  const names = guards.map((guard) => guard.name);
  assert.deepEqual([...new Set(names)], names);
});
