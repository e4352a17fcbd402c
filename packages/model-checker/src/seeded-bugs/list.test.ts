/** Guards against outdated quotations in the list, and against a checker that no longer finds a seeded bug. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { guardError } from '@switchwheel/simulator/guard';
import { knownViolations } from '../known-violations.js';
import { type SeededBugResult, searchForSeededBugs } from './hunt.js';
import { seededBugs } from './list.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));

void test('the quoted code of each seeded bug occurs exactly once in its built file', () => {
  const errors = seededBugs
    .map((bug) => guardError(root, bug))
    .filter((error) => error !== undefined);
  assert.deepEqual(errors, []);
});

void test('the checker finds the violation after a guard is removed', async () => {
  const bugs = seededBugs.filter(
    (bug) => bug.name === 'a voter refuses others while a granted lease is valid',
  );
  const results: SeededBugResult[] = [];
  const ignored = [...knownViolations].flatMap((name) => ['--ignore', name]);
  const bounds = ['--states', '100000', '--depth', '300', '--members', '3..3', '--seed', '1'];
  await searchForSeededBugs(bugs, [...bounds, ...ignored], (result) => results.push(result));
  assert.deepEqual(
    results.map((result) => result.invariant),
    ['one valid lease'],
  );
});
