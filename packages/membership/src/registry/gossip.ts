/**
 * Gossip between registries: sessions, origins and lease holders spread from peer to peer, and each
 * gossip shows which gossip of the receiver its sender has, which proves contact in both directions.
 * Sending on a timer is `tick.ts`'s part; building the frame is `messages.ts`'s.
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

/** By how much a peer's report of a registry that was not met yet is taken as older than it says. */
const indirectSessionPenaltyMs = 1000;

/** The gossip of this registry's own incarnation that a peer shows to have. */
const echoOf = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
): FrameOf<'gossip'>['heard'][number] | undefined =>
  gossip.heard.find(
    (echo) => echo.node === state.member.node && echo.incarnation === state.member.incarnation,
  );

/** The contact that a gossip proves; undefined if it is older than the newest one of the peer. */
const contactOf = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
  now: Timestamp,
): PeerContact | undefined => {
  const { incarnation } = gossip.from;
  const known = state.peers.get(gossip.from.node);
  const isSameIncarnation = known?.incarnation === incarnation;
  if (known !== undefined && incarnation < known.incarnation) return undefined;
  if (isSameIncarnation && gossip.at <= known.gossipSentAt) return undefined;
  const echoedAt = echoOf(state, gossip)?.at;
  return {
    incarnation,
    gossipSentAt: gossip.at,
    gossipEchoedAt: echoedAt ?? (isSameIncarnation ? known.gossipEchoedAt : undefined),
    primaryAsOf: gossip.feedAge === undefined ? undefined : subtractMs(now, gossip.feedAge),
  };
};

/** A peer that restarted needs this registry's memory of its grants: it gets it at once. */
const answerRecovering = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
  now: Timestamp,
): readonly ProcessEffect[] =>
  gossip.recovering && !state.voter.isRecovering
    ? [send(gossip.from.address, gossipFrame(state, now))]
    : [];

/** Notes the sender's own session and contact. */
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

/** Registries speak for themselves: a peer's report only counts for one that was not met yet. */
const withUnmetRegistry = (
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
): { readonly state: RegistryState; readonly news: boolean } => {
  let result = { state, news: false };
  for (const session of sessions) {
    if (session.member.role === 'registry') {
      result = { ...result, state: withUnmetRegistry(result.state, session, now) };
      continue;
    }
    const { age, ...record } = session;
    const learned = learnSession(result.state, { ...record, lastHeardAt: subtractMs(now, age) });
    result = { state: learned.state, news: result.news || learned.news };
  }
  return result;
};

/**
 * Takes in a peer's gossip. What is new here goes on to the nodes only: other registries hear it
 * from the one it began with.
 */
export const onGossip = (
  state: RegistryState,
  gossip: FrameOf<'gossip'>,
  now: Timestamp,
): RegistryTransition => {
  const { node } = gossip.from;
  if (node === state.member.node) return transition(state);
  const contact = contactOf(state, gossip, now);
  // An overtaken gossip holds nothing that its sender did not send since.
  if (contact === undefined) return transition(state);
  const hasMoved = state.sessions.get(node)?.member.address !== gossip.from.address;
  const learned = learnSessions(withSender(state, gossip, contact, now), gossip.sessions, now);
  const origins = learnOrigins(learned.state.origins, gossip.origins, now);
  const holders = gossip.holders.reduce(learnHolder, learned.state.holders);
  const memory = {
    from: node,
    isRecovering: gossip.recovering,
    records: gossip.memories,
    lastGossipHeard: echoOf(state, gossip),
  };
  const voter = recoverGrants(learned.state.voter, memory, now);
  const next = { ...learned.state, origins: origins.origins, holders, voter };
  const hasNews = hasMoved || learned.news || origins.news || holders !== learned.state.holders;
  return transition(
    next,
    ...answerRecovering(next, gossip, now),
    ...(hasNews ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};
