/** A name that leaves a process must not get lost or change without a change of the committed list. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { collectOuterNames, outerNamesFile } from './outer-names.js';

void test('the committed list of outer names is what the sources and the fixtures hold', () => {
  assert.equal(collectOuterNames(), readFileSync(outerNamesFile, 'utf8'));
});
