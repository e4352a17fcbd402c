/**
 * Since when service leases are vacant: by the voters, which see leases end, and by the members that
 * this shield knows of.
 */

import { type Timestamp, serviceLeaseOf, withEntry, withoutEntry } from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import { hasLiveHolder } from './service-lease.js';
import type { NodeAgent } from './state.js';

const withVacantSince = (state: NodeAgent, vacantSince: NodeAgent['vacantSince']): NodeAgent =>
  vacantSince === state.vacantSince ? state : { ...state, vacantSince };

/** Notes the leases that have no live holder from now on. */
export const recordVacantLeases = (state: NodeAgent, now: Timestamp): NodeAgent => {
  let vacantSince = state.vacantSince;
  for (const service of state.compiledConfiguration?.services.keys() ?? []) {
    const lease = serviceLeaseOf(service);
    if (!hasLiveHolder(state, service) && !vacantSince.has(lease))
      vacantSince = withEntry(vacantSince, lease, now);
  }
  return withVacantSince(state, vacantSince);
};

/** Takes in which leases a voter reports as vacant; the others are held, if their holder lives. */
export const applyVacantLeases = (
  state: NodeAgent,
  reply: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): NodeAgent => {
  if (state.nodeSession.member.role !== 'shield') return state;
  const reported = new Set(reply.vacant);
  let vacantSince = state.vacantSince;
  for (const service of state.compiledConfiguration?.services.keys() ?? []) {
    const lease = serviceLeaseOf(service);
    if (reported.has(lease)) {
      if (!vacantSince.has(lease)) vacantSince = withEntry(vacantSince, lease, now);
    } else if (hasLiveHolder(state, service)) vacantSince = withoutEntry(vacantSince, lease);
  }
  return withVacantSince(state, vacantSince);
};
