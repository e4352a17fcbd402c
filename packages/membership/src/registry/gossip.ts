/**
 * Gossip between registries: exchanges sessions, origins and lease holders. Each frame echoes the
 * newest gossip that its sender has from the receiver, which proves contact in both directions.
 * `tick.ts` sends gossip periodically; `messages.ts` builds the frames.
 */

import {
  type Timestamp,
  noSeq,
  subtractMs,
  toTimestamp,
  transition,
  withEntry,
} from '@switchwheel/types';
import { type FrameOf, type ProcessEffect, type SessionRecord, send } from '@switchwheel/transport';
import { recoverGrants } from '@switchwheel/election';
import { learnHolder } from '../session/node-session.js';
import { learnOrigins } from '../origins/origins.js';
import { broadcastTargets, gossipFrame, sendMemberList } from './messages.js';
import { learnSession } from './node-sessions.js';
import { emptyReport } from './queries.js';
import type { KnownSession, PeerContact, RegistryState, RegistryTransition } from './state.js';

/** Age added to a peer's report of a registry that has not been heard directly. */
const indirectSessionPenaltyMs = 1000;

/** Echo of this registry's gossip in a peer's frame; undefined if there is none of this incarnation. */
const echoOf = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
): FrameOf<'gossip'>['heard'][number] | undefined =>
  gossip.heard.find(
    (echo) => echo.node === state.member.node && echo.incarnation === state.member.incarnation,
  );

/** Contact with the sender as proven by a gossip frame; undefined if a newer frame of the peer is known. */
const contactOf = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
  now: Timestamp,
): PeerContact | undefined => {
  const { incarnation } = gossip.from;
  const previous = state.peers.get(gossip.from.node);
  const isSameIncarnation = previous?.incarnation === incarnation;
  if (previous !== undefined && incarnation < previous.incarnation) return undefined;
  if (isSameIncarnation && gossip.at <= previous.gossipSentAt) return undefined;
  const echoedAt = echoOf(state, gossip)?.at;
  return {
    incarnation,
    gossipSentAt: gossip.at,
    gossipEchoedAt: echoedAt ?? (isSameIncarnation ? previous.gossipEchoedAt : undefined),
    primaryAsOf: gossip.feedAge === undefined ? undefined : subtractMs(now, gossip.feedAge),
  };
};

/** Replies at once to a peer that recovers its grants after a restart and needs this registry's records of them. */
const replyToRecovering = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
  now: Timestamp,
): readonly ProcessEffect[] =>
  gossip.recovering && !state.voter.isRecovering
    ? [send(gossip.from.address, gossipFrame(state, now))]
    : [];

/** Records the sender's session and contact. */
const withSender = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
  contact: PeerContact,
  now: Timestamp,
): RegistryState => {
  const { node } = gossip.from;
  const session: KnownSession = {
    member: gossip.from,
    report: emptyReport(true),
    registry: node,
    seq: noSeq,
    lastHeardAt: now,
    open: true,
  };
  return {
    ...state,
    peers: withEntry(state.peers, node, contact),
    sessions: withEntry(state.sessions, node, session),
  };
};

/** Records a registry that only peers have reported; registries heard directly report themselves. */
const withReportedRegistry = (
  state: RegistryState,
  { age, ...session }: SessionRecord,
  now: Timestamp,
): RegistryState => {
  const { node } = session.member;
  if (node === state.member.node || state.sessions.has(node)) return state;
  const lastHeardAt = toTimestamp(now - age - indirectSessionPenaltyMs);
  return {
    ...state,
    sessions: withEntry(state.sessions, node, { ...session, lastHeardAt }),
  };
};

const learnSessions = (
  state: RegistryState,
  sessions: readonly SessionRecord[],
  now: Timestamp,
): { readonly state: RegistryState; readonly hasChanged: boolean } => {
  let result = { state, hasChanged: false };
  for (const session of sessions) {
    if (session.member.role === 'registry') {
      result = { ...result, state: withReportedRegistry(result.state, session, now) };
      continue;
    }
    const { age, ...record } = session;
    const learned = learnSession(result.state, { ...record, lastHeardAt: subtractMs(now, age) });
    result = { state: learned.state, hasChanged: result.hasChanged || learned.hasChanged };
  }
  return result;
};

/**
 * Applies a peer's gossip. Changes are forwarded to nodes only: other registries get them from the
 * registry where they originated.
 */
export const onGossip = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
  now: Timestamp,
): RegistryTransition => {
  const { node } = gossip.from;
  if (node === state.member.node) return transition(state);
  const contact = contactOf(state, gossip, now);
  // An outdated frame holds nothing that the newer one does not.
  if (contact === undefined) return transition(state);
  const hasMoved = state.sessions.get(node)?.member.address !== gossip.from.address;
  const learned = learnSessions(withSender(state, gossip, contact, now), gossip.sessions, now);
  const origins = learnOrigins(learned.state.origins, gossip.origins, now);
  const holders = gossip.holders.reduce(learnHolder, learned.state.holders);
  const grantReport = {
    from: node,
    isRecovering: gossip.recovering,
    records: gossip.memories,
    lastGossipHeard: echoOf(state, gossip),
  };
  const voter = recoverGrants(learned.state.voter, grantReport, now);
  const next = { ...learned.state, origins: origins.origins, holders, voter };
  const hasChanges =
    hasMoved || learned.hasChanged || origins.hasChanged || holders !== learned.state.holders;
  return transition(
    next,
    ...replyToRecovering(next, gossip, now),
    ...(hasChanges ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};
