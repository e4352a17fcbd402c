/**
 * Keeps a registry's memory bounded: nodes and origins that are gone, and requests that were never
 * answered, are forgotten, so that memory depends on the fleet as it is and not on the uptime.
 */

import { type Timestamp, filterEntries } from '@switchwheel/types';
import { forgetOrigins } from '../origins/origins.js';
import type { RegistryState } from './state.js';

/** How long a session that ended is remembered. */
const sessionRetentionMs = 600_000;
/** How long a chunk is waited for: a node that still lacks it requests it again. */
const chunkRequestRetentionMs = 5000;

/** The state without whatever has expired. */
export const forgetExpired = (state: RegistryState, now: Timestamp): RegistryState => {
  const sessions = filterEntries(
    state.sessions,
    (session) => now - session.lastHeardAt < sessionRetentionMs,
  );
  const chunkRequestedAt = filterEntries(
    state.chunkRequestedAt,
    (requestedAt) => now - requestedAt < chunkRequestRetentionMs,
  );
  const voters = new Set(state.electorate?.members.map((voter) => voter.node));
  return {
    ...state,
    origins: forgetOrigins(state.origins, now),
    sessions,
    peers: filterEntries(state.peers, (_, node) => voters.has(node) || sessions.has(node)),
    chunkRequestedAt,
    chunkWaiters: filterEntries(state.chunkWaiters, (_, hash) => chunkRequestedAt.has(hash)),
    offersSent: filterEntries(state.offersSent, (_, node) => sessions.has(node)),
  };
};
