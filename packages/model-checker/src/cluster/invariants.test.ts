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

const violated = (monitor: InvariantMonitor): string | undefined => monitor.violation?.invariant;

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

void test('a read older than a write confirmed before is a violation, one of a later write is none', () => {
  const monitor = new InvariantMonitor();
  monitor.onAcknowledged(7, 'a', true, 10);
  monitor.onRead(7, monitor.highestConfirmed, 20);
  monitor.onRead(8, monitor.highestConfirmed, 20);
  assert.equal(violated(monitor), undefined);
  monitor.onRead(6, monitor.highestConfirmed, 30);
  assert.equal(monitor.violation?.invariant, 'reads are never older than a write confirmed before');
});

void test('two contents acknowledged under one number are a violation', () => {
  const monitor = new InvariantMonitor();
  monitor.onAcknowledged(7, 'a', true, 10);
  monitor.onAcknowledged(7, 'a', false, 20);
  assert.equal(violated(monitor), undefined);
  monitor.onAcknowledged(7, 'b', false, 30);
  assert.equal(violated(monitor), 'one content by number');
});

void test('a clone goes its own way', () => {
  const monitor = new InvariantMonitor();
  const clone = monitor.clone();
  clone.onAcknowledged(7, 'a', true, 10);
  assert.equal(monitor.highestConfirmed, 0);
  assert.equal(clone.highestConfirmed, 7);
});
