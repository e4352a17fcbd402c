/** Which release records a registry sends to a node: only those that the node does not know. */

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
const moving = record('clips', {
  target: toRelease('r2'),
  phase: 'trial',
  leftMs: toDurationMs(5000),
  order: toSeq(1),
  serial: toSeq(2),
});
const good: RolloutState = { ...moving, phase: 'good', serial: toSeq(3) };

const feed = (releases: RolloutState[], serial = 1, top = 0): FrameOf<'feed'> =>
  feedOf(serial, { releases, top: toSeq(top) });
/** A feed of a write that does not touch what nodes are to run. */
const feedWithoutDesired = (releases: RolloutState[], serial: number): FrameOf<'feed'> => {
  const { desired, ...rest } = feed(releases, serial);
  return desired === undefined ? feed(releases, serial) : rest;
};
const heartbeat = (seq: number, releases?: string): FrameOf<'heartbeat'> =>
  heartbeatOf(seq, releases === undefined ? {} : { releases });

interface Received {
  readonly state: RegistryState;
  /** The services whose records the edge was sent, or undefined if nothing was sent to it. */
  readonly services: readonly string[] | undefined;
}
const act = (
  state: RegistryState,
  by: Member,
  frame: FrameOf<'heartbeat'> | FrameOf<'feed'>,
  now: number,
): Received => {
  const done = registryTransition(state, {
    kind: 'frameReceived',
    now: toTimestamp(now),
    from: peerOf(by),
    frame,
  });
  const services = repliesToEdge(done)
    .at(-1)
    ?.releases.map((one) => one.service);
  return { state: done.state, services };
};
const fresh = (releases: RolloutState[]): RegistryState =>
  act(newRegistryState(registry, [], toTimestamp(900), { seed: 1 }), store, feed(releases), 1000)
    .state;

void test('a node that knows the settled records is not sent them again; one that does not is sent all', () => {
  const all = [record('clips'), record('acts')];
  const state = fresh(all);
  assert.deepEqual(
    act(state, edge, heartbeat(1), 1010).services,
    ['clips', 'acts'],
    'one that tells no digest',
  );
  assert.deepEqual(
    act(state, edge, heartbeat(1, releasesDigest([record('clips')])), 1010).services,
    ['clips', 'acts'],
    'one that lacks a record',
  );
  assert.deepEqual(
    act(state, edge, heartbeat(1, releasesDigest([...all].reverse())), 1010).services,
    [],
    'one that has them, in any order',
  );
});

void test('an unsettled record is sent each time, and once more when its time is over', () => {
  const state = fresh([moving, record('acts')]);
  const known = releasesDigest([moving, record('acts')]);
  assert.deepEqual(act(state, edge, heartbeat(1, known), 1010).services, ['clips'], 'a trial');
  const judged = fresh([good, record('acts')]);
  const knows = releasesDigest([good, record('acts')]);
  assert.deepEqual(
    act(judged, edge, heartbeat(1, knows), 1010).services,
    ['clips'],
    'judged, its span not over',
  );
  assert.deepEqual(
    act(judged, edge, heartbeat(1, knows), 6500).services,
    ['clips', 'acts'],
    'over, and the node does not know',
  );
  const over = releasesDigest([{ ...good, leftMs: toDurationMs(0) }, record('acts')]);
  assert.deepEqual(
    act(judged, edge, heartbeat(1, over), 6500).services,
    [],
    'over, and the node knows',
  );
});

void test('a push has no records that the node knows, and all once one has changed', () => {
  const known = releasesDigest([record('clips'), record('acts')]);
  const state = act(
    fresh([record('clips'), record('acts')]),
    edge,
    heartbeat(1, known),
    1010,
  ).state;
  const purged = act(state, store, feed([record('clips'), record('acts')], 2, 1), 1020);
  assert.deepEqual(purged.services, [], 'a purge');
  const changed = act(
    purged.state,
    store,
    feed([record('clips', { settled: toRelease('r2'), serial: toSeq(2) }), record('acts')], 3, 1),
    1030,
  );
  assert.deepEqual(changed.services, ['clips', 'acts'], 'a record that changed');
});

void test('a write that leaves the desired state alone is pushed too, and an overtaken one is ignored', () => {
  const known = releasesDigest([record('clips')]);
  const state = act(fresh([record('clips')]), edge, heartbeat(1, known), 1010).state;
  const next = record('clips', { settled: toRelease('r2'), serial: toSeq(2) });
  const changed = act(state, store, feedWithoutDesired([next], 5), 1020);
  assert.deepEqual(changed.services, ['clips']);
  assert.equal(changed.state.feed.desiredSerial, 1, 'the desired state is as of the first write');
  const late = act(changed.state, store, feedWithoutDesired([record('clips')], 4), 1030);
  assert.equal(late.services, undefined);
  assert.equal(late.state.feed.releases[0]?.settled, 'r2');
});
