/** Guards the invariant monitor against missed violations and false ones, on hand-written histories. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { noSeq, toNodeId, toSeq } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import { InvariantMonitor, majoritiesIntersect } from './invariants.js';
import { addressOf } from './endpoints.js';

const electorate = (serial: number, ...machines: readonly number[]): Electorate => ({
  serial: serial === 0 ? noSeq : toSeq(serial),
  members: machines.map((machine) => ({
    node: toNodeId(`registry-${machine}`),
    address: addressOf({ machine, role: 'registry' }),
  })),
});

const violatedInvariant = (monitor: InvariantMonitor): string | undefined =>
  monitor.violation?.invariant;

void test('majorities of electorates that differ by one member intersect', () => {
  assert.ok(majoritiesIntersect(electorate(0, 0, 1, 2), electorate(1, 0, 1, 2, 3)));
  assert.ok(majoritiesIntersect(electorate(0, 0, 1, 2, 3), electorate(1, 0, 1, 2)));
  assert.ok(majoritiesIntersect(electorate(0, 0, 1, 2, 3, 4), electorate(1, 0, 1, 2, 3)));
});

void test('majorities of electorates that differ by two members need not intersect', () => {
  assert.ok(!majoritiesIntersect(electorate(0, 0, 1, 2), electorate(1, 0, 3, 4)));
  assert.ok(!majoritiesIntersect(electorate(0, 0, 1, 2), electorate(1, 0, 1, 2, 3, 4)));
  assert.ok(!majoritiesIntersect(electorate(0, 0, 1), electorate(1, 2, 3)));
});

void test('a read older than a previously confirmed write is a violation, a newer one is not', () => {
  const monitor = new InvariantMonitor();
  monitor.onAcknowledged(7, 'a', true, 10);
  monitor.onRead(7, monitor.highestConfirmed, 20);
  monitor.onRead(8, monitor.highestConfirmed, 20);
  assert.equal(violatedInvariant(monitor), undefined);
  monitor.onRead(6, monitor.highestConfirmed, 30);
  assert.equal(
    monitor.violation?.invariant,
    'reads are never older than a previously confirmed write',
  );
});

void test('acknowledging two contents for the same generation is a violation', () => {
  const monitor = new InvariantMonitor();
  monitor.onAcknowledged(7, 'a', true, 10);
  monitor.onAcknowledged(7, 'a', false, 20);
  assert.equal(violatedInvariant(monitor), undefined);
  monitor.onAcknowledged(7, 'b', false, 30);
  assert.equal(violatedInvariant(monitor), 'one content per generation');
});

void test('a clone of the monitor does not affect the original', () => {
  const monitor = new InvariantMonitor();
  const clone = monitor.clone();
  clone.onAcknowledged(7, 'a', true, 10);
  assert.equal(monitor.highestConfirmed, 0);
  assert.equal(clone.highestConfirmed, 7);
});
