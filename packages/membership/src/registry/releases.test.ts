/** Guards against release records that a node lacks and does not get, and against sending known ones again. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  noSeq,
  toDurationMs,
  toRelease,
  toSeq,
  toServiceName,
  toTimestamp,
} from '@switchwheel/types';
import type { FrameOf, Member, RolloutState } from '@switchwheel/transport';
import { releasesDigest } from '../releases/releases-digest.js';
import {
  edge,
  feedOf,
  heartbeatOf,
  peerOf,
  registry,
  repliesToEdge,
  store,
} from '../testing/registry-fixtures.js';
import { type RegistryState, newRegistryState } from './state.js';
import { registryTransition } from './transition.js';

const record = (service: string, change: Partial<RolloutState> = {}): RolloutState => ({
  service: toServiceName(service),
  settled: toRelease('r1'),
  target: undefined,
  phase: 'none',
  share: 0,
  shares: [],
  leftMs: toDurationMs(0),
  order: noSeq,
  serial: toSeq(1),
  ...change,
});
const inCanary = record('clips', {
  target: toRelease('r2'),
  phase: 'trial',
  leftMs: toDurationMs(5000),
  order: toSeq(1),
  serial: toSeq(2),
});
const good: RolloutState = { ...inCanary, phase: 'good', serial: toSeq(3) };

const feed = (releases: RolloutState[], serial = 1, top = 0): FrameOf<'feed'> =>
  feedOf(serial, { releases, top: toSeq(top) });
/** Feed of a write that does not change desired configurations. */
const feedWithoutDesired = (releases: RolloutState[], serial: number): FrameOf<'feed'> => {
  const { desired, ...rest } = feed(releases, serial);
  return desired === undefined ? feed(releases, serial) : rest;
};
const heartbeat = (seq: number, releases?: string): FrameOf<'heartbeat'> =>
  heartbeatOf(seq, releases === undefined ? {} : { releases });

interface Received {
  readonly state: RegistryState;
  /** Services whose records were sent to the edge; undefined if no frame was sent to it. */
  readonly services: readonly string[] | undefined;
}
const receive = (
  state: RegistryState,
  sender: Member,
  frame: FrameOf<'heartbeat'> | FrameOf<'feed'>,
  now: number,
): Received => {
  const result = registryTransition(state, {
    kind: 'frameReceived',
    now: toTimestamp(now),
    from: peerOf(sender),
    frame,
  });
  const services = repliesToEdge(result)
    .at(-1)
    ?.releases.map((release) => release.service);
  return { state: result.state, services };
};
const stateWith = (releases: RolloutState[]): RegistryState =>
  receive(
    newRegistryState(registry, [], toTimestamp(900), { seed: 1 }),
    store,
    feed(releases),
    1000,
  ).state;

void test('settled records are sent only to nodes whose digest differs', () => {
  const all = [record('clips'), record('acts')];
  const state = stateWith(all);
  assert.deepEqual(
    receive(state, edge, heartbeat(1), 1010).services,
    ['clips', 'acts'],
    'no digest in the heartbeat',
  );
  assert.deepEqual(
    receive(state, edge, heartbeat(1, releasesDigest([record('clips')])), 1010).services,
    ['clips', 'acts'],
    'digest without one record',
  );
  assert.deepEqual(
    receive(state, edge, heartbeat(1, releasesDigest([...all].reverse())), 1010).services,
    [],
    'digest of all records in another order',
  );
});

void test('an unsettled record is sent with every reply, and all records once its span has ended', () => {
  const state = stateWith([inCanary, record('acts')]);
  const knownDigest = releasesDigest([inCanary, record('acts')]);
  assert.deepEqual(
    receive(state, edge, heartbeat(1, knownDigest), 1010).services,
    ['clips'],
    'in the canary phase',
  );
  const decided = stateWith([good, record('acts')]);
  const knownDecided = releasesDigest([good, record('acts')]);
  assert.deepEqual(
    receive(decided, edge, heartbeat(1, knownDecided), 1010).services,
    ['clips'],
    'good before the end of its span',
  );
  assert.deepEqual(
    receive(decided, edge, heartbeat(1, knownDecided), 6500).services,
    ['clips', 'acts'],
    'after its span, with a digest from before',
  );
  const knownEnded = releasesDigest([{ ...good, leftMs: toDurationMs(0) }, record('acts')]);
  assert.deepEqual(
    receive(decided, edge, heartbeat(1, knownEnded), 6500).services,
    [],
    'after its span, with a current digest',
  );
});

void test('a push of a purge holds no records that the node knows, and a push of a changed record holds all', () => {
  const knownDigest = releasesDigest([record('clips'), record('acts')]);
  const state = receive(
    stateWith([record('clips'), record('acts')]),
    edge,
    heartbeat(1, knownDigest),
    1010,
  ).state;
  const purged = receive(state, store, feed([record('clips'), record('acts')], 2, 1), 1020);
  assert.deepEqual(purged.services, [], 'push of a purge');
  const changed = receive(
    purged.state,
    store,
    feed([record('clips', { settled: toRelease('r2'), serial: toSeq(2) }), record('acts')], 3, 1),
    1030,
  );
  assert.deepEqual(changed.services, ['clips', 'acts'], 'push of a changed record');
});

void test('a feed without desired rows is pushed too, and one that arrives out of order is ignored', () => {
  const knownDigest = releasesDigest([record('clips')]);
  const state = receive(stateWith([record('clips')]), edge, heartbeat(1, knownDigest), 1010).state;
  const next = record('clips', { settled: toRelease('r2'), serial: toSeq(2) });
  const changed = receive(state, store, feedWithoutDesired([next], 5), 1020);
  assert.deepEqual(changed.services, ['clips']);
  assert.equal(changed.state.feed.desiredSeq, 1, 'the desired rows are those of the first write');
  const late = receive(changed.state, store, feedWithoutDesired([record('clips')], 4), 1030);
  assert.equal(late.services, undefined);
  assert.equal(late.state.feed.releases[0]?.settled, 'r2');
});
