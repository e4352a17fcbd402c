/**
 * Replication of the primary's open write to other stores, and the backups whose acknowledgement is outstanding.
 */

import type { Address, NodeId, Timestamp } from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, send } from '@switchwheel/transport';
import { peerTimeoutMs } from '../leadership/replica-placement.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import { type StoreState, ownId } from '../state/state.js';

/** Stores that receive each write: those named by the metadata and reachable ones that it does not name yet. */
export const replicationTargets = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number][] => {
  const namedStores = metadata.stores.filter((store) => store.node !== ownId(state));
  const otherStores = [...state.peers.values()].filter(
    (peer) =>
      now - peer.heardAt < peerTimeoutMs &&
      peer.metadata?.fleet === metadata.fleet &&
      !namedStores.some((store) => store.node === peer.node),
  );
  return [...namedStores, ...otherStores.map(({ node, address }) => ({ node, address }))];
};

/** In-sync backups that have not acknowledged a write yet. */
export const unacknowledgedBackups = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
): readonly NodeId[] =>
  primaryWrite.metadata.inSyncSet.filter(
    (node) => node !== ownId(state) && !primaryWrite.acknowledgedBy.has(node),
  );

const replicateFrame = (primaryWrite: PrimaryWrite): FrameOf<'replicate'> => ({
  kind: 'replicate',
  metadata: primaryWrite.metadata,
  stamp: primaryWrite.logPosition,
  prior: primaryWrite.previousLogPosition,
  puts: [...primaryWrite.puts],
});

/** Sends a write to the given stores. */
export const replicateTo = (
  primaryWrite: PrimaryWrite,
  to: readonly ClusterMetadata['stores'][number][],
): readonly StoreEffect[] => {
  const frame = replicateFrame(primaryWrite);
  return to.map((store) => send(store.address, frame));
};

/** Sends a write to every replication target. */
export const replicateToAll = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): readonly StoreEffect[] =>
  replicateTo(primaryWrite, replicationTargets(state, primaryWrite.metadata, now));

/** Sends the open write to a learner that has just been resynced to the log position before it. */
export const replicateOpenWrite = (state: StoreState, to: Address): readonly StoreEffect[] =>
  state.primaryWrite?.phase === 'replicating' ? [send(to, replicateFrame(state.primaryWrite))] : [];
