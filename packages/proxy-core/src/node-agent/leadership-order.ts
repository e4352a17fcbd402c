/**
 * Which shield should lead which service: by rendezvous hashing, so that services spread over the
 * shields, and few of them move when a shield comes or goes.
 */

import { createHash } from 'node:crypto';
import type { ServiceName } from '@switchwheel/types';
import type { Member } from '@switchwheel/transport';
import type { NodeAgent } from './state.js';

const rendezvousWeight = (service: ServiceName, node: string): string =>
  createHash('sha1').update(`${service} ${node}`).digest('hex');

/** The shields in the order in which they should lead a service. */
export const leadershipOrder = (
  service: ServiceName,
  shields: readonly Member[],
): readonly Member[] =>
  [...shields].sort((left, right) =>
    rendezvousWeight(service, left.node) < rendezvousWeight(service, right.node) ? -1 : 1,
  );

/** The shields that this one knows of, itself included. */
export const shieldMembers = ({ nodeSession }: NodeAgent): readonly Member[] => {
  const shields = nodeSession.members.filter((member) => member.role === 'shield');
  return shields.some((member) => member.node === nodeSession.member.node)
    ? shields
    : [...shields, nodeSession.member];
};
