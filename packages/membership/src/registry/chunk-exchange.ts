/**
 * Exchange of configuration chunks between nodes, this registry and the store. Chunks are immutable
 * and identified by their hashes, so that any copy can be sent.
 */

import {
  type Address,
  type Hash,
  type Timestamp,
  prependEffects,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { type FrameOf, type Peer, type ProcessEffect, send } from '@switchwheel/transport';
import { advanceReads } from './configuration-read.js';
import { provenHint } from './disk-hints.js';
import type { RegistryEffect } from './event.js';
import { primaryHolder } from './queries.js';
import type { RegistryState, RegistryTransition } from './state.js';

const resendIntervalMs = 400;

/** Handles a node's request for chunks: sends the known ones and requests the others from a store. */
export const onNodeChunkRequest = (
  state: RegistryState,
  from: Peer,
  frame: FrameOf<'piece-request'>,
  now: Timestamp,
): RegistryTransition => {
  const effects: ProcessEffect[] = [];
  let { chunkWaiters, chunkRequestedAt } = state;
  const missing: Hash[] = [];
  for (const hash of frame.hashes) {
    const data = state.chunks.get(hash);
    if (data !== undefined) {
      effects.push(send(from.address, { kind: 'piece', hash, data }));
      continue;
    }
    const waiters = new Set([...(chunkWaiters.get(hash) ?? []), from.address]);
    chunkWaiters = withEntry(chunkWaiters, hash, waiters);
    if (now - (chunkRequestedAt.get(hash) ?? -Infinity) > resendIntervalMs) {
      chunkRequestedAt = withEntry(chunkRequestedAt, hash, now);
      missing.push(hash);
    }
  }
  const source = provenHint(state, now) ?? primaryHolder(state);
  if (missing.length > 0 && source !== undefined)
    effects.push(
      send(source.address, { kind: 'piece-request', node: state.member.node, hashes: missing }),
    );
  return transition({ ...state, chunkWaiters, chunkRequestedAt }, ...effects);
};

/** Handles a store's request for chunks of a pending upload or of the configuration in force. */
export const onStoreChunkRequest = (
  state: RegistryState,
  frame: FrameOf<'piece-request'>,
  storeAddress: Address,
): RegistryTransition => {
  const effects: RegistryEffect[] = [];
  const uploads = [...state.pendingCommands.values()].map((command) => command.chunks);
  const sources = [...uploads, state.chunks];
  for (const hash of frame.hashes) {
    const data = sources.find((chunks) => chunks.has(hash))?.get(hash);
    if (data !== undefined) effects.push(send(storeAddress, { kind: 'piece', hash, data }));
  }
  return transition(state, ...effects);
};

/** Handles a received chunk: forwards it to the nodes that wait for it, and continues pending reads. */
export const onChunk = (
  state: RegistryState,
  frame: FrameOf<'piece'>,
  now: Timestamp,
): RegistryTransition => {
  const waiters = [...(state.chunkWaiters.get(frame.hash) ?? [])];
  const next: RegistryState = {
    ...state,
    chunks: withEntry(state.chunks, frame.hash, frame.data),
    chunkWaiters: withoutEntry(state.chunkWaiters, frame.hash),
    chunkRequestedAt: withoutEntry(state.chunkRequestedAt, frame.hash),
  };
  return prependEffects(
    waiters.map((address) => send(address, frame)),
    advanceReads(next, frame.hash, now),
  );
};
