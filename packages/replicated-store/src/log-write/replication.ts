/**
 * Sending the primary's open write to the other stores, and which of them have yet to acknowledge it.
 */

import type { Address, NodeId, Timestamp } from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, send } from '@switchwheel/transport';
import { peerTimeoutMs } from '../leadership/replica-placement.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import { type StoreState, ownId } from '../state/state.js';

/** Who gets each write: the stores of the metadata, and those in touch that are not in it yet. */
export const replicationTargets = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number][] => {
  const named = metadata.stores.filter((one) => one.node !== ownId(state));
  const others = [...state.peers.values()].filter(
    (one) =>
      now - one.heardAt < peerTimeoutMs &&
      one.metadata?.fleet === metadata.fleet &&
      !named.some((row) => row.node === one.node),
  );
  return [...named, ...others.map(({ node, address }) => ({ node, address }))];
};

/** The backups that must have a write and have not said so. */
export const unacknowledgedBackups = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
): readonly NodeId[] =>
  primaryWrite.metadata.inSyncSet.filter(
    (one) => one !== ownId(state) && !primaryWrite.acknowledgedBy.has(one),
  );

const replicateFrame = (primaryWrite: PrimaryWrite): FrameOf<'replicate'> => ({
  kind: 'replicate',
  metadata: primaryWrite.metadata,
  stamp: primaryWrite.stamp,
  prior: primaryWrite.previousStamp,
  puts: [...primaryWrite.puts],
});

export const replicateTo = (
  primaryWrite: PrimaryWrite,
  to: readonly ClusterMetadata['stores'][number][],
): readonly StoreEffect[] => {
  const frame = replicateFrame(primaryWrite);
  return to.map((one) => send(one.address, frame));
};

export const replicateToAll = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): readonly StoreEffect[] =>
  replicateTo(primaryWrite, replicationTargets(state, primaryWrite.metadata, now));

/** Sends the open write to a store that has just been brought to the state before it. */
export const replicateOpenWrite = (state: StoreState, to: Address): readonly StoreEffect[] =>
  state.primaryWrite?.phase === 'copy' ? [send(to, replicateFrame(state.primaryWrite))] : [];
