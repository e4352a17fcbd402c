import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Timestamp,
  toAddress,
  toZoneName,
  toEpoch,
  toFleetId,
  toGeneration,
  toHash,
  toIncarnation,
  toTimestamp,
  toNodeId,
  noSeq,
} from '@switchwheel/types';
import type { Frame, FrameOf, Member, Peer } from '@switchwheel/transport';
import { type RegistryState, newRegistryState } from './state.js';
import { registryTransition } from './transition.js';

const member = (role: Member['role'], node: string, port: number): Member => ({
  node: toNodeId(node),
  role,
  area: toZoneName('a'),
  address: toAddress(`10.0.0.1:${port}`),
  incarnation: toIncarnation(1),
});
const edge = member('edge', 'e1', 7001);
const store = member('store', 's1', 7002);
const fleet = toFleetId('f1');

const registry = member('registry', 'r1', 7000);
const peers = [member('registry', 'r2', 7003), member('registry', 'r3', 7004)];
const stores = [store, member('store', 's2', 7005), member('store', 's3', 7006)];
const inSyncSet = stores.slice(0, 2).map((one) => one.node);
const born = toTimestamp(1000);

/** What a store's disk holds: the epoch of its metadata and a generation; none if it has no description. */
const hint = (
  from: Member,
  epoch: number,
  generation: number | undefined,
  set = inSyncSet,
): FrameOf<'hint'> => ({
  kind: 'hint',
  node: from.node,
  address: from.address,
  incarnation: from.incarnation,
  at: toTimestamp(1),
  metadata: {
    fleet,
    epoch: toEpoch(epoch),
    inSyncSet: set,
    stores: [],
    electorate: {
      serial: noSeq,
      members: [registry, ...peers].map((one) => ({ node: one.node, address: one.address })),
    },
  },
  ...(generation === undefined
    ? {}
    : {
        offer: {
          generation: toGeneration(generation),
          hash: toHash(String(generation % 10).repeat(64)),
          pieces: [],
        },
      }),
  origins: [],
});

const peerOf = (one: Member): Peer => ({
  node: one.node,
  address: one.address,
  incarnation: one.incarnation,
});
const hear = (state: RegistryState, from: Member, frame: Frame, now: Timestamp): RegistryState =>
  registryTransition(state, { kind: 'frameReceived', now, from: peerOf(from), frame }).state;

/** A registry that heard some peers, which say that they heard it just now. */
const inTouchWith = (count: number, eager = true): RegistryState =>
  peers.slice(0, count).reduce(
    (state, peer) => {
      const word: FrameOf<'gossip'> = {
        kind: 'gossip',
        from: peer,
        full: true,
        at: born,
        sessions: [],
        origins: [],
        holders: [],
        memories: [],
        recovering: true,
        heard: [{ node: registry.node, incarnation: registry.incarnation, at: born }],
      };
      return hear(state, peer, word, born);
    },
    newRegistryState(registry, [], born, { seed: 1 }, undefined, eager),
  );

const withHints = (state: RegistryState, ...words: readonly FrameOf<'hint'>[]): RegistryState =>
  words.reduce((next, word) => hear(next, store, word, born), state);

const offered = (state: RegistryState, generation: number, now: Timestamp): number | undefined => {
  const frame: FrameOf<'heartbeat'> = {
    kind: 'heartbeat',
    member: edge,
    seq: noSeq,
    at: toTimestamp(1),
    bye: false,
    held: [],
    purged: noSeq,
    report: {
      generation: toGeneration(generation),
      phase: generation === 0 ? 'none' : 'applied',
      ready: generation > 0,
      health: { name: 'proxy', healthy: true, text: '', parts: [] },
    },
  };
  const done = registryTransition(state, { kind: 'frameReceived', now, from: peerOf(edge), frame });
  const heard = done.effects.map((one) =>
    one.kind === 'send' && one.frame.kind === 'heartbeat-reply'
      ? one.frame.offer?.generation
      : undefined,
  );
  return heard.find((one) => one !== undefined);
};

const [first, second, spare] = stores;
assert.ok(first !== undefined && second !== undefined && spare !== undefined);
const soon = toTimestamp(1400);

void test('after a full loss a node that runs nothing gets the newest confirmed, before there is a primary', () => {
  const told = withHints(inTouchWith(1), hint(first, 3, 8), hint(second, 3, 7), hint(spare, 2, 9));
  assert.equal(offered(told, 0, toTimestamp(1100)), undefined, 'it listens first');
  assert.equal(offered(told, 0, soon), 7, 'what each store in sync holds; not what one alone does');
  assert.equal(offered(told, 4, soon), undefined, 'one that runs something waits for the primary');
  assert.equal(
    offered(withHints(told, { ...hint(first, 3, 2), at: toTimestamp(0) }), 0, soon),
    7,
    'a word that was overtaken changes nothing',
  );
  const plain = withHints(inTouchWith(1, false), hint(first, 3, 8), hint(second, 3, 7));
  assert.equal(offered(plain, 0, soon), undefined, 'only where the setting says so');
});

void test('nothing is told on the word of disks while a newer description may have been confirmed', () => {
  const whole = [hint(first, 3, 8), hint(second, 3, 7)];
  assert.equal(offered(withHints(inTouchWith(0), ...whole), 0, soon), undefined, 'no majority');
  const one = withHints(inTouchWith(2), hint(first, 3, 8), hint(spare, 2, 9));
  assert.equal(offered(one, 0, soon), undefined, 'a store in sync is silent');
  const empty = withHints(inTouchWith(2), hint(first, 3, 8), hint(second, 3, undefined));
  assert.equal(offered(empty, 0, soon), undefined, 'a disk has no description');
  const later = withHints(inTouchWith(2), ...whole, hint(spare, 4, 9, [spare.node, first.node]));
  assert.equal(offered(later, 0, soon), 8, 'the newest in-sync set counts');
  const unheard = withHints(inTouchWith(2), ...whole, hint(spare, 4, 9, [spare.node, edge.node]));
  assert.equal(offered(unheard, 0, soon), undefined, 'a later in-sync set that did not speak');
  const old = withHints(inTouchWith(2), ...whole);
  assert.equal(offered(old, 0, toTimestamp(2100)), undefined, 'words that are old');
});
