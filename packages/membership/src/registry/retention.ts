/**
 * Keeps a registry's memory bounded: whoever is gone, and whatever was asked for and never came, is
 * forgotten, so that what is kept depends on the fleet as it is and not on how long it has run.
 */
import { type Timestamp, filterEntries } from '@switchwheel/types';
import { forgetOrigins } from '../origins/origins.js';
import type { RegistryState } from './state.js';

/** How long a session that ended is still told of. */
const sessionRetentionMs = 600_000;
/** How long pieces may be waited for: whoever still lacks them asks again. */
const chunkRequestRetentionMs = 5000;

export const forgetExpired = (state: RegistryState, now: Timestamp): RegistryState => {
  const sessions = filterEntries(
    state.sessions,
    (one) => now - one.lastHeardAt < sessionRetentionMs,
  );
  const asked = filterEntries(state.chunkRequestedAt, (at) => now - at < chunkRequestRetentionMs);
  const seated = new Set(state.electorate?.members.map((one) => one.node));
  return {
    ...state,
    origins: forgetOrigins(state.origins, now),
    sessions,
    peers: filterEntries(state.peers, (_, node) => seated.has(node) || sessions.has(node)),
    chunkRequestedAt: asked,
    chunkWaiters: filterEntries(state.chunkWaiters, (_, hash) => asked.has(hash)),
    offersSent: filterEntries(state.offersSent, (_, node) => sessions.has(node)),
  };
};
