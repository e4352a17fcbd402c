import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { fitLine } from './fit.js';
import { type Reading, type Trial, measure } from './measure.js';
import { readPlan } from './options.js';

const base: Trial = {
  seed: 1,
  nodes: 6,
  origins: 4,
  services: 2,
  registries: 3,
  stores: 2,
  areas: 2,
  purges: 0,
  windowMs: 2000,
  loss: false,
};
const counts = (reading: Reading): unknown => [...reading.kinds];
const perSecond = (reading: Reading, kind: string): number =>
  reading.kinds.get(kind)?.messages ?? 0;
const inAt = (reading: Reading): number => reading.rates.get('edge')?.bytesIn ?? 0;

void test('a hollow fleet sends what its spans say, and the same seed sends the same', () => {
  const six = measure(base);
  assert.deepEqual(counts(measure(base)), counts(six));
  const twelve = measure({ ...base, nodes: 12 });
  // Each of the nodes and of the two stores heartbeats at most four times a second, and hears as often.
  assert.ok(
    perSecond(six, 'heartbeat') > 8 * 3 && perSecond(six, 'heartbeat') <= 8 * 4.5,
    `${perSecond(six, 'heartbeat')} heartbeats`,
  );
  assert.ok(perSecond(twelve, 'heartbeat') > 14 * 3 && perSecond(twelve, 'heartbeat') <= 14 * 4.5);
  assert.ok(Math.abs(perSecond(six, 'heartbeat-reply') - perSecond(six, 'heartbeat')) <= 2);
  // Gossip is between the registries alone, whatever the nodes are.
  assert.ok(perSecond(six, 'gossip') <= 6 * 3.5, `${perSecond(six, 'gossip')} of gossip`);
  assert.ok(perSecond(twelve, 'gossip') <= 6 * 3.5);
  // In a calm fleet nobody is told of the whole fleet more often than once a second.
  assert.ok(
    perSecond(twelve, 'member-list') <= 14 * 1.5,
    `${perSecond(twelve, 'member-list')} rosters`,
  );
  assert.ok(
    inAt(six) > 0 && inAt(twelve) < 2 * inAt(six) + 2500,
    `${inAt(six)} and ${inAt(twelve)} bytes a second`,
  );
});

void test('a change, a purge and the loss of registries come to an end', () => {
  const { spans } = measure({ ...base, purges: 3, loss: true });
  for (const one of [spans.configMs, spans.purgeMs, spans.oneLostMs, spans.allLostMs])
    assert.ok(one !== undefined && one > 0, JSON.stringify(spans));
});

void test('a calm edge is not told again of the releases of each service', () => {
  const few = measure({ ...base, origins: 12, services: 2 });
  const many = measure({ ...base, origins: 12, services: 12 });
  const each = (reading: Reading): number =>
    (reading.kinds.get('heartbeat-reply')?.bytes ?? 0) / perSecond(reading, 'heartbeat-reply');
  // The two stores are told all; 82 bytes a record before.
  assert.ok(
    each(many) < each(few) + 10 * 82 * 0.4,
    `${each(few)} and ${each(many)} bytes in an answer`,
  );
});

void test('a purge is told to the registries without the desired state of all nodes', () => {
  const each = (reading: Reading): number =>
    (reading.kinds.get('feed')?.bytes ?? 0) / perSecond(reading, 'feed');
  const six = measure({ ...base, purges: 10 });
  const twelve = measure({ ...base, nodes: 12, purges: 10 });
  assert.ok(each(twelve) < each(six) + 20, `${each(six)} and ${each(twelve)} bytes in a feed`);
});

void test('a line is fitted', () => {
  assert.deepEqual(
    fitLine([
      [1, 3],
      [2, 5],
      [3, 7],
    ]),
    { slope: 2, base: 1, residual: 0 },
  );
  assert.equal(
    fitLine([
      [1, 0],
      [2, 4],
      [3, 0],
    ]).slope,
    0,
  );
});

void test('what is wrong is told all at once', () => {
  const read = readPlan({
    lists: new Map([
      ['nodes', '0,x'],
      ['purges', '5,5'],
    ]),
    seed: -1,
    seconds: 0,
    stores: 1,
    areas: 4,
    loss: false,
    repeat: 0,
  });
  assert.ok('faults' in read);
  assert.equal(read.faults.length, 7);
  const main = fileURLToPath(new URL('./main.js', import.meta.url));
  const ended = spawnSync(
    process.execPath,
    [main, 'what', '--nodes', 'many', '--stores', '1', '--foo'],
    { encoding: 'utf8' },
  );
  assert.equal(ended.status, 2);
  assert.deepEqual(
    ended.stderr.trim().split('\n').sort(),
    [
      'scale: --foo: no such flag',
      'scale: --nodes: "many" is no whole number from 1 to 1000',
      'scale: --stores: a whole number from 2 to 9',
      'scale: what: not a flag',
    ].sort(),
  );
});
