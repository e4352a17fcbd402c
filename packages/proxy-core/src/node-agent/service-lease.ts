/**
 * State of a service's lease as known to a shield: its holder, and the shield's own candidate.
 */

import { type ServiceName, serviceLeaseOf } from '@switchwheel/types';
import type { LeaseHolder } from '@switchwheel/transport';
import { type Candidate, type ElectionContext, newCandidate } from '@switchwheel/election';
import { highestEpoch } from '@switchwheel/membership';
import type { NodeAgent } from './state.js';

/**
 * Duration of a service lease; shorter than the primary's, because clients wait while a service has
 * no leader.
 */
const leaderLeaseMs = 600;

/** Returns this shield's candidate for the lease of a service; an idle one if there is none yet. */
export const candidateOf = (state: NodeAgent, service: ServiceName): Candidate =>
  state.candidates.get(service) ??
  newCandidate(state.nodeSession.member.node, serviceLeaseOf(service), [], leaderLeaseMs);

/**
 * Returns the context of an election for the lease of a service; undefined until the electorate is
 * known.
 */
export const electionContext = (
  state: NodeAgent,
  service: ServiceName,
): ElectionContext | undefined => {
  const { fleet, electorate, member } = state.nodeSession;
  if (fleet === undefined || electorate === undefined) return undefined;
  const lease = serviceLeaseOf(service);
  const holderRecord: LeaseHolder = {
    duty: lease,
    epoch: highestEpoch(state.nodeSession, lease),
    node: member.node,
    address: member.address,
    ...(member.door === undefined ? {} : { door: member.door }),
  };
  return { fleet, electorate, holderRecord, countsRecoveringVoters: true };
};

/** Returns the last known holder of a service's lease, whether it is live or not. */
export const leaseHolder = (state: NodeAgent, service: ServiceName): LeaseHolder | undefined =>
  state.nodeSession.leaseHolders.get(serviceLeaseOf(service));

/** Whether the known holder of a service's lease is in the member list. */
export const hasLiveHolder = (state: NodeAgent, service: ServiceName): boolean => {
  const holder = leaseHolder(state, service);
  return (
    holder !== undefined && state.nodeSession.members.some((member) => member.node === holder.node)
  );
};
