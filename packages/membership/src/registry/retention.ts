/**
 * Expiry of a registry's state: removes nodes and origins that are gone and chunk requests without an
 * answer, so that memory depends on the size of the fleet and not on the uptime.
 */

import { type Timestamp, filterEntries } from '@switchwheel/types';
import { forgetOrigins } from '../origins/origins.js';
import type { RegistryState } from './state.js';

/** Time after its last heartbeat for which a session is kept. */
const sessionRetentionMs = 600_000;
/** Time after which a chunk request is dropped; a node that still lacks the chunk requests it again. */
const chunkRequestRetentionMs = 5000;

/** Removes all expired entries. */
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
