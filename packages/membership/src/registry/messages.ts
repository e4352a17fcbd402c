/**
 * Frames with a registry's view of the fleet, to nodes (member lists) and to other registries
 * (gossip), and the addresses that get them after a change.
 */

import { type Address, type Timestamp, elapsedMs } from '@switchwheel/types';
import { type FrameOf, type ProcessEffect, type SessionRecord, send } from '@switchwheel/transport';
import { grantRecords } from '@switchwheel/election';
import { originRecords } from '../origins/origins.js';
import { feedAgeMs, isAlive, liveMembers, peerAddresses } from './queries.js';
import type { KnownSession, RegistryState } from './state.js';

/** Time without a heartbeat after which a session is no longer included in gossip. */
const sessionGossipMs = 30_000;

const sessionRecord = (session: KnownSession, now: Timestamp): SessionRecord => ({
  member: session.member,
  report: session.report,
  registry: session.registry,
  seq: session.seq,
  age: elapsedMs(session.lastHeardAt, now),
  open: session.open,
});

const feedAgeField = (state: RegistryState, now: Timestamp): Pick<FrameOf<'gossip'>, 'feedAge'> => {
  const feedAge = feedAgeMs(state, now);
  return feedAge === undefined ? {} : { feedAge };
};

/** Builds the gossip frame with this registry's whole view of the fleet. */
export const gossipFrame = (state: RegistryState, now: Timestamp): FrameOf<'gossip'> => ({
  kind: 'gossip',
  from: state.member,
  full: true,
  at: now,
  sessions: [...state.sessions.values()]
    .filter((session) => now - session.lastHeardAt < sessionGossipMs)
    .map((session) => sessionRecord(session, now)),
  origins: originRecords(state.origins, now),
  holders: [...state.holders.values()],
  memories: [...grantRecords(state.voter)],
  recovering: state.voter.isRecovering,
  heard: [...state.peers].map(([node, peer]) => ({
    node,
    incarnation: peer.incarnation,
    at: peer.gossipSentAt,
  })),
  ...feedAgeField(state, now),
});

/** Builds the member list for nodes. */
export const memberListFrame = (state: RegistryState, now: Timestamp): FrameOf<'member-list'> => ({
  kind: 'member-list',
  members: liveMembers(state, now),
  origins: originRecords(state.origins, now),
  holders: [...state.holders.values()],
});

/** Addresses of the nodes that are notified of changes at once: those with a session here, and all shields. */
export const broadcastTargets = (state: RegistryState, now: Timestamp): readonly Address[] =>
  [...state.sessions.values()]
    .filter(
      (session) =>
        isAlive(session, now) &&
        session.member.role !== 'registry' &&
        (session.registry === state.member.node || session.member.role === 'shield'),
    )
    .map((session) => session.member.address);

/** Sends the member list to the given nodes. */
export const sendMemberList = (
  state: RegistryState,
  addresses: readonly Address[],
  now: Timestamp,
): readonly ProcessEffect[] => {
  const frame = memberListFrame(state, now);
  return addresses.map((address) => send(address, frame));
};

/** Sends this registry's view of the fleet to nodes and to all other registries, after a change. */
export const broadcast = (state: RegistryState, now: Timestamp): readonly ProcessEffect[] => {
  const gossip = gossipFrame(state, now);
  return [
    ...sendMemberList(state, broadcastTargets(state, now), now),
    ...peerAddresses(state, now).map((peer) => send(peer, gossip)),
  ];
};
