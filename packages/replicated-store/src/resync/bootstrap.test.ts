/** Guards against a store that joins two fleets or loses its metadata on repeated or reordered bootstrap requests. */

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
const bootstrapRequest = (
  registryNumber: number,
  requestedFleet = fleet,
): FrameOf<'bootstrap'> => ({
  kind: 'bootstrap',
  id: toCommandId(`${requestedFleet}.r${registryNumber}`),
  fleet: requestedFleet,
  stores: stores.map(({ node, address }) => ({ node, address })),
  electorate,
});

/** Store whose disk completes writes only on request of the test. */
class StoreHarness {
  state: StoreState;
  now: Timestamp = toTimestamp(1000);
  readonly effects: StoreEffect[] = [];
  #pendingWriteIds: number[] = [];

  constructor(mayBootstrap = true, contents: DiskContents = { status: 'empty' }) {
    const initial = newStoreState(
      stores[0] ?? member('s1', 1),
      [],
      { seed: 1 },
      defaultReplicationSettings,
      mayBootstrap,
    );
    const started = storeTransition(initial, { kind: 'diskRead', now: this.now, contents });
    this.state = started.state;
  }

  receive(from: Peer, frame: FrameOf<'bootstrap'>): void {
    this.#apply(storeTransition(this.state, { kind: 'frameReceived', now: this.now, from, frame }));
  }

  completeWrites(): void {
    for (const id of this.#pendingWriteIds.splice(0))
      this.#apply(storeTransition(this.state, { kind: 'writeSynced', now: this.now, writeId: id }));
  }

  replies(): readonly boolean[] {
    return this.effects.flatMap((effect) =>
      effect.kind === 'send' && effect.frame.kind === 'bootstrapped' ? [effect.frame.ok] : [],
    );
  }

  #apply(result: { readonly state: StoreState; readonly effects: readonly StoreEffect[] }): void {
    this.state = result.state;
    this.effects.push(...result.effects);
    for (const effect of result.effects)
      if (effect.kind === 'writeToDisk') this.#pendingWriteIds.push(effect.write.id);
  }
}

void test('bootstrap requests of any registries, repeated and in any order, lead to the same metadata', () => {
  fc.assert(
    fc.property(
      fc.array(fc.oneof(fc.integer({ min: 1, max: 3 }), fc.constant('sync' as const)), {
        minLength: 1,
        maxLength: 20,
      }),
      (steps) => {
        const store = new StoreHarness();
        for (const step of steps) {
          if (step === 'sync') store.completeWrites();
          else store.receive(registry(step), bootstrapRequest(step));
        }
        store.receive(registry(1), bootstrapRequest(1));
        store.completeWrites();
        const { metadata } = store.state;
        assert.ok(metadata !== undefined);
        assert.deepEqual(
          [metadata.fleet, metadata.epoch, metadata.inSyncSet, store.state.phase],
          [fleet, toEpoch(0), stores.map((storeMember) => storeMember.node), 'member'],
        );
        store.receive(registry(2), bootstrapRequest(2));
        assert.equal(store.replies().at(-1), true, 'a repeated request is accepted again');
        store.receive(registry(3), bootstrapRequest(3, toFleetId('f2')));
        const metadataAfter = store.state.metadata;
        assert.equal(
          metadataAfter?.fleet,
          fleet,
          'a request for another fleet changes nothing once metadata was written',
        );
      },
    ),
    { seed: 8 },
  );
});

void test('a store that restarted with an empty disk refuses a bootstrap', () => {
  const store = new StoreHarness(false);
  store.receive(registry(1), bootstrapRequest(1));
  store.completeWrites();
  assert.deepEqual(
    [store.replies(), store.state.metadata, store.state.phase],
    [[false], undefined, 'empty'],
  );
});

void test('a store whose fleet has had a primary keeps its metadata', () => {
  const metadata: ClusterMetadata = {
    fleet,
    epoch: toEpoch(4),
    inSyncSet: [toNodeId('s1')],
    stores: bootstrapRequest(1).stores,
    electorate,
  };
  const store = new StoreHarness(true, {
    status: 'complete',
    metadata,
    logPosition: { epoch: toEpoch(4), seq: noSeq },
    entries: [],
  });
  store.receive(registry(1), bootstrapRequest(1, toFleetId('f2')));
  store.receive(registry(1), bootstrapRequest(1));
  assert.deepEqual([store.replies(), store.state.metadata], [[false, true], metadata]);
});
