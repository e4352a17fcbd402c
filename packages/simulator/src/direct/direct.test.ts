/** A direct edge breaks a rule of requests under random faults of origins and callers. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runDirectEdge } from './run.js';

const seedCount = 40;

void test('the direct edge keeps the rules of requests under random faults of origins and callers', () => {
  const counts = new Map<string, number>();
  let requests = 0;
  for (let seed = 1; seed <= seedCount; seed += 1) {
    const run = runDirectEdge(seed);
    assert.deepEqual(run.violations.slice(0, 5), [], `seed ${seed}`);
    requests += run.requests;
    for (const [name, count] of run.counts) counts.set(name, (counts.get(name) ?? 0) + count);
  }
  for (const name of [
    'joined',
    'kept',
    'broke',
    'unopened',
    'extra',
    'fault_lost',
    'fault_rejected',
  ])
    assert.ok((counts.get(name) ?? 0) > 100, `${name}: ${counts.get(name) ?? 0}`);
  console.log(`${seedCount} seeds, ${requests} requests:`, Object.fromEntries(counts));
});
