/**
 * Tracking of vacant service leases, as reported by voters, which see leases end, and as derived
 * from the list of members.
 */

import { type Timestamp, serviceLeaseOf, withEntry, withoutEntry } from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import { hasLiveHolder } from './service-lease.js';
import type { NodeAgent } from './state.js';

const withVacantSince = (state: NodeAgent, vacantSince: NodeAgent['vacantSince']): NodeAgent =>
  vacantSince === state.vacantSince ? state : { ...state, vacantSince };

/** Records leases without a live holder as vacant from `now` on. */
export const recordVacantLeases = (state: NodeAgent, now: Timestamp): NodeAgent => {
  let vacantSince = state.vacantSince;
  for (const service of state.compiledConfiguration?.services.keys() ?? []) {
    const lease = serviceLeaseOf(service);
    if (!hasLiveHolder(state, service) && !vacantSince.has(lease))
      vacantSince = withEntry(vacantSince, lease, now);
  }
  return withVacantSince(state, vacantSince);
};

/**
 * Updates the vacant leases from a heartbeat reply: leases reported as vacant are recorded, others
 * are cleared if their holder is live.
 */
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
