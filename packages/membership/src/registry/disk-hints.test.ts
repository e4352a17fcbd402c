/** When a registry offers nodes that run nothing what disks hold, before there is a primary. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Timestamp,
  noSeq,
  toEpoch,
  toGeneration,
  toHash,
  toTimestamp,
} from '@switchwheel/types';
import type { Frame, FrameOf, Member } from '@switchwheel/transport';
import {
  edge,
  fleet,
  heartbeatOf,
  memberAt,
  peerOf,
  registry,
  repliesToEdge,
  statusOf,
  store,
} from '../testing/registry-fixtures.js';
import { type RegistryState, newRegistryState } from './state.js';
import { registryTransition } from './transition.js';

const peers = [memberAt('registry', 'r2', 7003), memberAt('registry', 'r3', 7004)];
const stores = [store, memberAt('store', 's2', 7005), memberAt('store', 's3', 7006)];
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
  const report = statusOf({
    generation: toGeneration(generation),
    phase: generation === 0 ? 'none' : 'applied',
    ready: generation > 0,
  });
  const frame = heartbeatOf(0, { report });
  const done = registryTransition(state, {
    kind: 'frameReceived',
    now,
    from: peerOf(edge),
    frame,
  });
  const generations = repliesToEdge(done).map((reply) => reply.offer?.generation);
  return generations.find((one) => one !== undefined);
};

const [first, second, spare] = stores;
assert.ok(first !== undefined && second !== undefined && spare !== undefined);
const soon = toTimestamp(1400);

void test('after a full loss a node that runs nothing is offered the newest confirmed configuration before there is a primary', () => {
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

void test('no disk hint is offered while a newer configuration may have been confirmed', () => {
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
