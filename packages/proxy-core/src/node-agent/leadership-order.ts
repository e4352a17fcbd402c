/**
 * Preferred leaders of services, by rendezvous hashing: services are spread over the shields, and
 * only a few move when a shield joins or leaves.
 */

import { createHash } from 'node:crypto';
import type { ServiceName } from '@switchwheel/types';
import type { Member } from '@switchwheel/transport';
import type { NodeAgent } from './state.js';

const rendezvousWeight = (service: ServiceName, node: string): string =>
  createHash('sha1').update(`${service} ${node}`).digest('hex');

/** Returns the shields in order of preference for leading a service. */
export const leadershipOrder = (
  service: ServiceName,
  shields: readonly Member[],
): readonly Member[] =>
  [...shields].sort((left, right) =>
    rendezvousWeight(service, left.node) < rendezvousWeight(service, right.node) ? -1 : 1,
  );

/** Returns the shields known to this node, itself included. */
export const shieldMembers = ({ nodeSession }: NodeAgent): readonly Member[] => {
  const shields = nodeSession.members.filter((member) => member.role === 'shield');
  return shields.some((member) => member.node === nodeSession.member.node)
    ? shields
    : [...shields, nodeSession.member];
};
