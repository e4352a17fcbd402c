import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Timestamp,
  noSeq,
  toAddress,
  toZoneName,
  toEpoch,
  toFleetId,
  toGeneration,
  toIncarnation,
  toTimestamp,
  toNodeId,
  toRelease,
  toSeq,
  toServiceName,
  toDurationMs,
} from '@switchwheel/types';
import type { FrameOf, Member, RolloutState } from '@switchwheel/transport';
import { releasesDigest } from '../releases/releases-digest.js';
import { registryTransition } from './transition.js';
import { type RegistryState, newRegistryState } from './state.js';

const member = (role: Member['role'], node: string, port: number): Member => ({
  node: toNodeId(node),
  role,
  area: toZoneName('a'),
  address: toAddress(`10.0.0.1:${port}`),
  incarnation: toIncarnation(1),
});
const edge = member('edge', 'e1', 7001);
const store = member('store', 's1', 7002);
const from = ({
  node,
  address,
  incarnation,
}: Member): Pick<Member, 'node' | 'address' | 'incarnation'> => ({ node, address, incarnation });

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

const feed = (releases: RolloutState[], serial = 1, top = 0): FrameOf<'feed'> => ({
  kind: 'feed',
  at: toTimestamp(1),
  epoch: toEpoch(1),
  serial: toSeq(serial),
  fleet: toFleetId('f1'),
  offers: [],
  desired: [],
  purges: [],
  floor: toSeq(0),
  top: toSeq(top),
  verdicts: [],
  releases,
});
/** A feed of a write that does not touch what nodes are to run. */
const lean = (releases: RolloutState[], serial: number, top = 0): FrameOf<'feed'> => {
  const { desired, ...rest } = feed(releases, serial, top);
  return desired === undefined ? feed(releases, serial, top) : rest;
};
const heartbeat = (seq: number, releases?: string): FrameOf<'heartbeat'> => ({
  kind: 'heartbeat',
  member: edge,
  seq: toSeq(seq),
  at: toTimestamp(1),
  bye: false,
  held: [],
  purged: noSeq,
  report: {
    generation: toGeneration(1),
    phase: 'applied',
    ready: true,
    health: { name: 'proxy', healthy: true, text: '', parts: [] },
  },
  ...(releases === undefined ? {} : { releases }),
});

interface Told {
  readonly state: RegistryState;
  /** The services whose records the edge was told, or undefined if it was told nothing. */
  readonly services: readonly string[] | undefined;
}
const act = (
  state: RegistryState,
  by: Member,
  frame: FrameOf<'heartbeat'> | FrameOf<'feed'>,
  now: number,
): Told => {
  const at: Timestamp = toTimestamp(now);
  const done = registryTransition(state, { kind: 'frameReceived', now: at, from: from(by), frame });
  const heard = done.effects.flatMap((one) =>
    one.kind === 'send' && one.to === edge.address && one.frame.kind === 'heartbeat-reply'
      ? [one.frame]
      : [],
  );
  return { state: done.state, services: heard.at(-1)?.releases.map((one) => one.service) };
};
const fresh = (releases: RolloutState[]): RegistryState =>
  act(
    newRegistryState(member('registry', 'r1', 7000), [], toTimestamp(900), { seed: 1 }),
    store,
    feed(releases),
    1000,
  ).state;

void test('a node that knows the settled records is not told them again; one that does not is told all', () => {
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

void test('what moves is told each time, and once more when its span is over', () => {
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

void test('a push bears no records that the node knows, and all once one changed', () => {
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

void test('a write that leaves the desired state alone is pushed all the same, and one that comes late is not taken', () => {
  const known = releasesDigest([record('clips')]);
  const state = act(fresh([record('clips')]), edge, heartbeat(1, known), 1010).state;
  const next = record('clips', { settled: toRelease('r2'), serial: toSeq(2) });
  const changed = act(state, store, lean([next], 5), 1020);
  assert.deepEqual(changed.services, ['clips']);
  assert.equal(changed.state.feed.desiredSerial, 1, 'the desired state is as of the first write');
  const late = act(changed.state, store, lean([record('clips')], 4), 1030);
  assert.equal(late.services, undefined);
  assert.equal(late.state.feed.releases[0]?.settled, 'r2');
});
