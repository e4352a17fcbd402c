/**
 * What a shield knows of a service's lease: who holds it, and this shield's own candidate for it.
 */

import { type ServiceName, serviceLeaseOf } from '@switchwheel/types';
import type { LeaseHolder } from '@switchwheel/transport';
import { type Candidate, type ElectionContext, newCandidate } from '@switchwheel/election';
import { highestEpoch } from '@switchwheel/membership';
import type { NodeAgent } from './state.js';

/** Clients wait while a service has no leader, so its lease is shorter than the primary's. */
const leaderLeaseMs = 600;

/** This shield's candidate for the lease of a service; an idle one if it never stood. */
export const candidateOf = (state: NodeAgent, service: ServiceName): Candidate =>
  state.candidates.get(service) ??
  newCandidate(state.nodeSession.member.node, serviceLeaseOf(service), [], leaderLeaseMs);

/** What an election of a service's leader needs to know; undefined until the voters are known. */
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

/** The holder of a service's lease, as far as it is known, whether it lives or not. */
export const leaseHolder = (state: NodeAgent, service: ServiceName): LeaseHolder | undefined =>
  state.nodeSession.holders.get(serviceLeaseOf(service));

/** Whether the holder of a service's lease is among the members that are known to live. */
export const hasLiveHolder = (state: NodeAgent, service: ServiceName): boolean => {
  const holder = leaseHolder(state, service);
  return (
    holder !== undefined && state.nodeSession.members.some((member) => member.node === holder.node)
  );
};
