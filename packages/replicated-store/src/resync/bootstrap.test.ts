/** Bootstrap of a fleet on a store, by proposals that come in any order and more than once. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type Timestamp,
  noSeq,
  toAddress,
  toCommandId,
  toEpoch,
  toFleetId,
  toIncarnation,
  toNodeId,
  toTimestamp,
  toZoneName,
} from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, Member, Peer } from '@switchwheel/transport';
import { storeTransition } from '../machine.js';
import type { DiskContents, StoreEffect } from '../state/events.js';
import { defaultReplicationSettings } from '../state/replication-settings.js';
import { type StoreState, newStoreState } from '../state/state.js';

const fleet = toFleetId('f1');
const member = (node: string, port: number): Member => ({
  node: toNodeId(node),
  role: 'store',
  area: toZoneName('a'),
  address: toAddress(`10.0.0.1:${port}`),
  incarnation: toIncarnation(1),
});
const stores = [member('s1', 1), member('s2', 2), member('s3', 3)];
const registry = (number: number): Peer => ({
  node: toNodeId(`r${number}`),
  address: toAddress(`10.0.0.2:${number}`),
  incarnation: toIncarnation(1),
});
const electorate: ClusterMetadata['electorate'] = {
  serial: noSeq,
  members: [1, 2, 3].map(registry).map(({ node, address }) => ({ node, address })),
};
const proposal = (by: number, other = fleet): FrameOf<'bootstrap'> => ({
  kind: 'bootstrap',
  id: toCommandId(`${other}.r${by}`),
  fleet: other,
  stores: stores.map(({ node, address }) => ({ node, address })),
  electorate,
});

/** A store whose disk completes writes only when the test says so. */
class StoreHarness {
  state: StoreState;
  now: Timestamp = toTimestamp(1000);
  readonly effects: StoreEffect[] = [];
  #pending: number[] = [];

  constructor(foundable = true, found: DiskContents = { status: 'empty' }) {
    const first = newStoreState(
      stores[0] ?? member('s1', 1),
      [],
      { seed: 1 },
      defaultReplicationSettings,
      foundable,
    );
    const read = storeTransition(first, { kind: 'diskRead', now: this.now, contents: found });
    this.state = read.state;
  }

  receive(from: Peer, frame: FrameOf<'bootstrap'>): void {
    this.#take(storeTransition(this.state, { kind: 'frameReceived', now: this.now, from, frame }));
  }

  completeWrites(): void {
    for (const id of this.#pending.splice(0))
      this.#take(storeTransition(this.state, { kind: 'writeSynced', now: this.now, writeId: id }));
  }

  replies(): readonly boolean[] {
    return this.effects.flatMap((one) =>
      one.kind === 'send' && one.frame.kind === 'bootstrapped' ? [one.frame.ok] : [],
    );
  }

  #take(done: { readonly state: StoreState; readonly effects: readonly StoreEffect[] }): void {
    this.state = done.state;
    this.effects.push(...done.effects);
    for (const one of done.effects)
      if (one.kind === 'writeToDisk') this.#pending.push(one.write.id);
  }
}

void test('a store comes to one metadata, whichever registries propose the fleet, however often and in whatever order', () => {
  fc.assert(
    fc.property(
      fc.array(fc.oneof(fc.integer({ min: 1, max: 3 }), fc.constant('sync' as const)), {
        minLength: 1,
        maxLength: 20,
      }),
      (moves) => {
        const store = new StoreHarness();
        for (const move of moves) {
          if (move === 'sync') store.completeWrites();
          else store.receive(registry(move), proposal(move));
        }
        store.receive(registry(1), proposal(1));
        store.completeWrites();
        const { metadata } = store.state;
        assert.ok(metadata !== undefined);
        assert.deepEqual(
          [metadata.fleet, metadata.epoch, metadata.inSyncSet, store.state.phase],
          [fleet, toEpoch(0), stores.map((one) => one.node), 'member'],
        );
        store.receive(registry(2), proposal(2));
        assert.equal(store.replies().at(-1), true, 'asked again it agrees again');
        store.receive(registry(3), proposal(3, toFleetId('f2')));
        const after = store.state.metadata;
        assert.equal(
          after?.fleet,
          fleet,
          'another fleet changes nothing once something was written',
        );
      },
    ),
    { seed: 8 },
  );
});

void test('a store that came back with an empty disk refuses a bootstrap', () => {
  const store = new StoreHarness(false);
  store.receive(registry(1), proposal(1));
  store.completeWrites();
  assert.deepEqual(
    [store.replies(), store.state.metadata, store.state.phase],
    [[false], undefined, 'empty'],
  );
});

void test('a store of a fleet that has had a primary keeps its metadata', () => {
  const metadata: ClusterMetadata = {
    fleet,
    epoch: toEpoch(4),
    inSyncSet: [toNodeId('s1')],
    stores: proposal(1).stores,
    electorate,
  };
  const store = new StoreHarness(true, {
    status: 'complete',
    metadata,
    logPosition: { epoch: toEpoch(4), seq: noSeq },
    entries: [],
  });
  store.receive(registry(1), proposal(1, toFleetId('f2')));
  store.receive(registry(1), proposal(1));
  assert.deepEqual([store.replies(), store.state.metadata], [[false, true], metadata]);
});
