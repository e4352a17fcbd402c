/**
 * Keeps a registry's memory bounded: whoever is gone, and whatever was asked for and never came, is
 * forgotten, so that what is kept depends on the fleet as it is and not on how long it has run.
 */
import { type Timestamp, filterEntries } from '@switchwheel/types';
import { forget } from '../origins/origins.js';
import type { Registry } from './state.js';

/** How long a session that ended is still told of. */
const forgetSessionAfter = 600_000;
/** How long pieces may be waited for: whoever still lacks them asks again. */
const forgetRequestAfter = 5000;

export const forgetGone = (state: Registry, now: Timestamp): Registry => {
  const sessions = filterEntries(state.sessions, (one) => now - one.at < forgetSessionAfter);
  const asked = filterEntries(state.asked, (at) => now - at < forgetRequestAfter);
  const seated = new Set(state.electorate?.members.map((one) => one.node));
  return {
    ...state,
    origins: forget(state.origins, now),
    sessions,
    peers: filterEntries(state.peers, (_, node) => seated.has(node) || sessions.has(node)),
    asked,
    wanted: filterEntries(state.wanted, (_, hash) => asked.has(hash)),
    offered: filterEntries(state.offered, (_, node) => sessions.has(node)),
  };
};
