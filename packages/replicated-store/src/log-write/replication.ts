/**
 * Sending the primary's open write to the other stores, and which of them have yet to acknowledge it.
 */

import type { Address, NodeId, Timestamp } from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, send } from '@switchwheel/transport';
import { peerTimeoutMs } from '../leadership/replica-placement.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import { type StoreState, ownId } from '../state/state.js';

/** Who gets each write: the stores that the metadata names, and those in touch that it doesn't name yet. */
export const replicationTargets = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number][] => {
  const named = metadata.stores.filter((store) => store.node !== ownId(state));
  const others = [...state.peers.values()].filter(
    (peer) =>
      now - peer.heardAt < peerTimeoutMs &&
      peer.metadata?.fleet === metadata.fleet &&
      !named.some((store) => store.node === peer.node),
  );
  return [...named, ...others.map(({ node, address }) => ({ node, address }))];
};

/** The backups in sync that have yet to acknowledge a write. */
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

/** Sends a write to some stores. */
export const replicateTo = (
  primaryWrite: PrimaryWrite,
  to: readonly ClusterMetadata['stores'][number][],
): readonly StoreEffect[] => {
  const frame = replicateFrame(primaryWrite);
  return to.map((store) => send(store.address, frame));
};

/** Sends a write to all stores that get each write. */
export const replicateToAll = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): readonly StoreEffect[] =>
  replicateTo(primaryWrite, replicationTargets(state, primaryWrite.metadata, now));

/** Sends the open write to a store that has just been brought to the state before it. */
export const replicateOpenWrite = (state: StoreState, to: Address): readonly StoreEffect[] =>
  state.primaryWrite?.phase === 'replicating' ? [send(to, replicateFrame(state.primaryWrite))] : [];
