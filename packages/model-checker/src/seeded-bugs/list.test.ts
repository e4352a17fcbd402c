import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { guardError } from '@switchwheel/simulator/guard';
import { knownViolations } from '../known-violations.js';
import { type HuntResult, huntSeededBugs } from './hunt.js';
import { seededBugs } from './list.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));

void test('the text of each seeded bug stands once in its built file', () => {
  const faults = seededBugs.map((one) => guardError(root, one)).filter((one) => one !== undefined);
  assert.deepEqual(faults, []);
});

void test('the checker finds a guard that is taken out, and prints a short schedule', async () => {
  const bugs = seededBugs.filter((one) => one.name === 'a lease that stands is respected');
  const found: HuntResult[] = [];
  const ignored = [...knownViolations].flatMap((one) => ['--ignore', one]);
  const bounds = ['--states', '100000', '--depth', '300', '--members', '3..3', '--seed', '1'];
  await huntSeededBugs(bugs, [...bounds, ...ignored], (result) => found.push(result));
  assert.deepEqual(
    found.map((one) => one.invariant),
    ['one valid lease'],
  );
});
