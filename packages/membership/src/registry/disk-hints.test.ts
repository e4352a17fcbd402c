/** Guards against what disk hints may show in an older state than confirmed, and against missing offers. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Timestamp,
  noSeq,
  toAddress,
  toDurationMs,
  toEpoch,
  toGeneration,
  toHash,
  toInstanceId,
  toRelease,
  toServiceName,
  toTimestamp,
} from '@switchwheel/types';
import type { Frame, FrameOf, Member, OriginInstance } from '@switchwheel/transport';
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
const inSyncSet = stores.slice(0, 2).map((member) => member.node);
const startedAt = toTimestamp(1000);

/** Hint of a store with the epoch of its metadata; without a generation, its disk has no configuration. */
const hint = (
  from: Member,
  epoch: number,
  generation: number | undefined,
  hintedSet = inSyncSet,
): FrameOf<'hint'> => ({
  kind: 'hint',
  node: from.node,
  address: from.address,
  incarnation: from.incarnation,
  at: toTimestamp(1),
  metadata: {
    fleet,
    epoch: toEpoch(epoch),
    inSyncSet: hintedSet,
    stores: [],
    electorate: {
      serial: noSeq,
      members: [registry, ...peers].map((voter) => ({ node: voter.node, address: voter.address })),
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

const receive = (state: RegistryState, from: Member, frame: Frame, now: Timestamp): RegistryState =>
  registryTransition(state, { kind: 'frameReceived', now, from: peerOf(from), frame }).state;

/** State of a registry that has two-way contact with some peers. */
const inContactWith = (count: number, offersDiskHints = true): RegistryState =>
  peers.slice(0, count).reduce(
    (state, peer) => {
      const gossip: FrameOf<'gossip'> = {
        kind: 'gossip',
        from: peer,
        full: true,
        at: startedAt,
        sessions: [],
        origins: [],
        holders: [],
        memories: [],
        recovering: true,
        heard: [{ node: registry.node, incarnation: registry.incarnation, at: startedAt }],
      };
      return receive(state, peer, gossip, startedAt);
    },
    newRegistryState(registry, [], startedAt, { seed: 1 }, undefined, offersDiskHints),
  );

const withHints = (state: RegistryState, ...hints: readonly FrameOf<'hint'>[]): RegistryState =>
  hints.reduce((next, frame) => receive(next, store, frame, startedAt), state);

/** Generation that a node which reports `generation` is offered; undefined if there is no offer. */
const offeredTo = (
  state: RegistryState,
  generation: number,
  now: Timestamp,
): number | undefined => {
  const report = statusOf({
    generation: toGeneration(generation),
    phase: generation === 0 ? 'none' : 'applied',
    ready: generation > 0,
  });
  const frame = heartbeatOf(0, { report });
  const result = registryTransition(state, {
    kind: 'frameReceived',
    now,
    from: peerOf(edge),
    frame,
  });
  const generations = repliesToEdge(result).map((reply) => reply.offer?.generation);
  return generations.find((offeredGeneration) => offeredGeneration !== undefined);
};

const [first, second, third] = stores;
assert.ok(first !== undefined && second !== undefined && third !== undefined);
const afterDelay = toTimestamp(1400);

void test('without a primary, a node without a configuration is offered the newest confirmed one from disk hints', () => {
  const hinted = withHints(
    inContactWith(1),
    hint(first, 3, 8),
    hint(second, 3, 7),
    hint(third, 2, 9),
  );
  assert.equal(
    offeredTo(hinted, 0, toTimestamp(1100)),
    undefined,
    'no offer before the hint delay is over',
  );
  assert.equal(
    offeredTo(hinted, 0, afterDelay),
    7,
    'the lowest generation of the in-sync stores is offered',
  );
  assert.equal(
    offeredTo(hinted, 4, afterDelay),
    undefined,
    'no offer to a node that has a configuration',
  );
  assert.equal(
    offeredTo(withHints(hinted, { ...hint(first, 3, 2), at: toTimestamp(0) }), 0, afterDelay),
    7,
    'a hint that arrives out of order is ignored',
  );
  const withoutSetting = withHints(inContactWith(1, false), hint(first, 3, 8), hint(second, 3, 7));
  assert.equal(offeredTo(withoutSetting, 0, afterDelay), undefined, 'no offer without the setting');
});

void test('no disk hint is offered while a newer configuration may have been confirmed', () => {
  const complete = [hint(first, 3, 8), hint(second, 3, 7)];
  assert.equal(
    offeredTo(withHints(inContactWith(0), ...complete), 0, afterDelay),
    undefined,
    'no contact with a majority',
  );
  const incomplete = withHints(inContactWith(2), hint(first, 3, 8), hint(third, 2, 9));
  assert.equal(offeredTo(incomplete, 0, afterDelay), undefined, 'no hint of one in-sync store');
  const empty = withHints(inContactWith(2), hint(first, 3, 8), hint(second, 3, undefined));
  assert.equal(offeredTo(empty, 0, afterDelay), undefined, 'an in-sync store has no configuration');
  const newerSet = withHints(
    inContactWith(2),
    ...complete,
    hint(third, 4, 9, [third.node, first.node]),
  );
  assert.equal(offeredTo(newerSet, 0, afterDelay), 8, 'the newest in-sync set is used');
  const newerIncomplete = withHints(
    inContactWith(2),
    ...complete,
    hint(third, 4, 9, [third.node, edge.node]),
  );
  assert.equal(
    offeredTo(newerIncomplete, 0, afterDelay),
    undefined,
    'no hint of one store of the newest in-sync set',
  );
  const outdated = withHints(inContactWith(2), ...complete);
  assert.equal(offeredTo(outdated, 0, toTimestamp(2100)), undefined, 'hints that are too old');
});

void test('live origins of a disk are used only if no departure can be missing from it, departures always', () => {
  const recorded = (state: OriginInstance['state']): OriginInstance => ({
    service: toServiceName('clips'),
    instance: toInstanceId(state),
    address: toAddress(`10.0.0.${state.length}:80`),
    release: toRelease('r1'),
    slots: 4,
    state,
    age: toDurationMs(0),
  });
  const originsAfter = (...hints: readonly FrameOf<'hint'>[]): readonly string[] => {
    const hinted = withHints(inContactWith(1), ...hints);
    const own = hints.at(-1);
    assert.ok(own !== undefined);
    const origins = [recorded('up'), recorded('leaving'), recorded('gone')];
    return [...receive(hinted, store, { ...own, origins }, afterDelay).origins.keys()];
  };
  assert.deepEqual(originsAfter(hint(second, 3, 7), hint(first, 3, 7)), ['up', 'leaving', 'gone']);
  assert.deepEqual(
    originsAfter(hint(first, 3, 7)),
    ['leaving', 'gone'],
    'an in-sync store may have been replaced since',
  );
  assert.deepEqual(
    originsAfter(hint(first, 3, 7), hint(second, 3, 7), hint(third, 2, 9)),
    ['leaving', 'gone'],
    'the store is not in the newest in-sync set',
  );
});
