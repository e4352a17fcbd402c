/**
 * View of the fleet for operators, as this registry knows it. Its fields are part of the HTTP API and
 * keep their names.
 */

import type { Timestamp } from '@switchwheel/types';
import { hasMajorityContact, isAlive } from './queries.js';
import type { KnownSession, RegistryState } from './state.js';

const voterView = ({ voter }: RegistryState, now: Timestamp): object => ({
  recovering: voter.isRecovering,
  grants: [...voter.grants].map(([duty, grant]) => ({
    duty,
    epoch: grant.epoch,
    node: grant.node,
    inSyncSet: grant.inSyncSet,
    leftMs: Math.round(grant.leaseEndsAt - now),
  })),
});

const ownView = ({ member }: RegistryState): object => ({
  node: member.node,
  role: member.role,
  area: member.area,
  address: member.address,
  admin: member.admin ?? null,
  registry: member.node,
  open: true,
  ageMs: 0,
  incarnation: member.incarnation,
});

const sessionView = (session: KnownSession, now: Timestamp): object => ({
  node: session.member.node,
  role: session.member.role,
  area: session.member.area,
  address: session.member.address,
  door: session.member.door ?? null,
  admin: session.member.admin ?? null,
  registry: session.registry,
  open: isAlive(session, now),
  ageMs: Math.round(now - session.lastHeardAt),
  incarnation: session.member.incarnation,
  generation: session.report.generation,
  hash: session.report.hash ?? null,
  phase: session.report.phase,
  ready: session.report.ready,
  failed: session.report.failed ?? null,
  health: session.report.health,
});

/** Builds the view from this registry's own state, without a read from the store. */
export const fleetView = (state: RegistryState, now: Timestamp): object => {
  const { feed } = state;
  return {
    registry: state.member.node,
    fleet: state.fleet ?? null,
    inTouch: hasMajorityContact(state, now),
    feedAgeMs: feed.asOf === undefined ? null : Math.round(now - feed.asOf),
    epoch: feed.epoch,
    generation: feed.current?.generation ?? 0,
    purges: { top: feed.latestPurge, floor: feed.oldestPurge },
    electorate: state.electorate ?? null,
    voter: voterView(state, now),
    nodes: [
      ownView(state),
      ...[...state.sessions.values()].map((session) => sessionView(session, now)),
    ],
    desired: [...feed.desired].map(([node, row]) => ({ node, ...row })),
    holders: [...state.holders.values()],
    origins: [...state.origins.values()].map(({ lastHeardAt, ...origin }) => ({
      ...origin,
      ageMs: Math.round(now - lastHeardAt),
    })),
    verdicts: feed.canaryResults,
  };
};
