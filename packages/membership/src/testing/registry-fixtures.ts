/** Fixtures for tests of a registry's state machine: members and frames. */

import {
  type FleetId,
  noSeq,
  toAddress,
  toEpoch,
  toFleetId,
  toGeneration,
  toIncarnation,
  toNodeId,
  toSeq,
  toTimestamp,
  toZoneName,
} from '@switchwheel/types';
import type { FrameOf, Member, NodeStatus, Peer } from '@switchwheel/transport';
import type { RegistryTransition } from '../registry/state.js';

/** Builds a member in its first incarnation, with an address that differs by port. */
export const memberAt = (role: Member['role'], node: string, port: number): Member => ({
  node: toNodeId(node),
  role,
  area: toZoneName('a'),
  address: toAddress(`10.0.0.1:${port}`),
  incarnation: toIncarnation(1),
});

/** Registry under test. */
export const registry: Member = memberAt('registry', 'r1', 7000);
/** Node with a session at the registry. */
export const edge: Member = memberAt('edge', 'e1', 7001);
/** Store that holds the primary's lease. */
export const store: Member = memberAt('store', 's1', 7002);
/** Fleet that all members belong to. */
export const fleet: FleetId = toFleetId('f1');

/** Converts a member to the sender of a frame. */
export const peerOf = ({ node, address, incarnation }: Member): Peer => ({
  node,
  address,
  incarnation,
});

/** Builds a healthy node's status, with generation 1 by default. */
export const statusOf = (overrides: Partial<NodeStatus> = {}): NodeStatus => ({
  generation: toGeneration(1),
  phase: 'applied',
  ready: true,
  health: { name: 'proxy', healthy: true, text: '', parts: [] },
  ...overrides,
});

/** Builds a heartbeat of the edge, sent at time 1 of its clock by default. */
export const heartbeatOf = (
  seq: number,
  overrides: Partial<FrameOf<'heartbeat'>> = {},
): FrameOf<'heartbeat'> => ({
  kind: 'heartbeat',
  member: edge,
  seq: toSeq(seq),
  at: toTimestamp(1),
  bye: false,
  held: [],
  purged: noSeq,
  report: statusOf(),
  ...overrides,
});

/** Builds a feed of the primary, empty by default; it replies to a subscription at time 1000 of the registry's clock. */
export const feedOf = (
  serial: number,
  overrides: Partial<FrameOf<'feed'>> = {},
): FrameOf<'feed'> => ({
  kind: 'feed',
  at: toTimestamp(1000),
  epoch: toEpoch(1),
  serial: toSeq(serial),
  fleet,
  offers: [],
  desired: [],
  purges: [],
  floor: noSeq,
  top: noSeq,
  verdicts: [],
  releases: [],
  ...overrides,
});

/** Heartbeat replies and pushes to the edge among the effects of a transition. */
export const repliesToEdge = ({
  effects,
}: RegistryTransition): readonly FrameOf<'heartbeat-reply'>[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send' && effect.to === edge.address && effect.frame.kind === 'heartbeat-reply'
      ? [effect.frame]
      : [],
  );
