/** Members and frames for tests of a registry's state machine. */

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

/** A member in its first incarnation; its address is told apart by the port. */
export const memberAt = (role: Member['role'], node: string, port: number): Member => ({
  node: toNodeId(node),
  role,
  area: toZoneName('a'),
  address: toAddress(`10.0.0.1:${port}`),
  incarnation: toIncarnation(1),
});

/** The registry under test. */
export const registry: Member = memberAt('registry', 'r1', 7000);
/** A node with a session at it. */
export const edge: Member = memberAt('edge', 'e1', 7001);
/** The store that holds the primary's lease. */
export const store: Member = memberAt('store', 's1', 7002);
/** The fleet of all of them. */
export const fleet: FleetId = toFleetId('f1');

/** The sender of a frame. */
export const peerOf = ({ node, address, incarnation }: Member): Peer => ({
  node,
  address,
  incarnation,
});

/** A healthy node's status, of generation 1 unless it is changed. */
export const statusOf = (change: Partial<NodeStatus> = {}): NodeStatus => ({
  generation: toGeneration(1),
  phase: 'applied',
  ready: true,
  health: { name: 'proxy', healthy: true, text: '', parts: [] },
  ...change,
});

/** A heartbeat of the edge, at time 1 of its clock unless it is changed. */
export const heartbeatOf = (
  seq: number,
  change: Partial<FrameOf<'heartbeat'>> = {},
): FrameOf<'heartbeat'> => ({
  kind: 'heartbeat',
  member: edge,
  seq: toSeq(seq),
  at: toTimestamp(1),
  bye: false,
  held: [],
  purged: noSeq,
  report: statusOf(),
  ...change,
});

/** A feed of the primary without any content unless it is changed. */
export const feedOf = (serial: number, change: Partial<FrameOf<'feed'>> = {}): FrameOf<'feed'> => ({
  kind: 'feed',
  at: toTimestamp(1),
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
  ...change,
});

/** The answers and pushes that go to the edge. */
export const repliesToEdge = ({
  effects,
}: RegistryTransition): readonly FrameOf<'heartbeat-reply'>[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send' && effect.to === edge.address && effect.frame.kind === 'heartbeat-reply'
      ? [effect.frame]
      : [],
  );
