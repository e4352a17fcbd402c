/**
 * Sessions of nodes at this registry: a heartbeat keeps a session alive, and its reply holds everything
 * that the node lacks. Changes of the primary's feed are pushed to every node with a session here.
 */

import { maxLeaseMs } from '@switchwheel/election';
import {
  type LeaseName,
  type Timestamp,
  addMs,
  clockOrigin,
  elapsedMs,
  prependEffects,
  transition,
  withEntry,
} from '@switchwheel/types';
import {
  type ConfigManifest,
  type FrameOf,
  type Peer,
  type RolloutState,
  send,
} from '@switchwheel/transport';
import { learnHolder } from '../session/node-session.js';
import { newestGeneration, reconcile } from './config-offers.js';
import { broadcast, memberListFrame } from './messages.js';
import { servableFeedAgeMs } from './queries.js';
import { releaseRecords, unknownReleases } from './release-records.js';
import type { KnownSession, RegistryState, RegistryTransition } from './state.js';

/** Time after its start, in lease durations, by which a voter has seen a renewal of every held lease. */
const vacancyWaitLeases = 1.2;

const isNewer = (known: KnownSession | undefined, session: KnownSession): boolean =>
  known === undefined ||
  session.member.incarnation > known.member.incarnation ||
  (session.member.incarnation === known.member.incarnation && session.seq > known.seq);

/**
 * Records a session if it is newer by the node's own sequence number, whatever process reported it.
 * `hasChanged` is true if other processes have to be notified.
 */
export const learnSession = (
  state: RegistryState,
  session: KnownSession,
): { readonly state: RegistryState; readonly hasChanged: boolean } => {
  const { node } = session.member;
  const known = state.sessions.get(node);
  if (!isNewer(known, session)) return { state, hasChanged: false };
  const hasChanged =
    known === undefined ||
    known.open !== session.open ||
    known.member.incarnation !== session.member.incarnation ||
    known.member.address !== session.member.address ||
    known.member.door !== session.member.door;
  return { state: { ...state, sessions: withEntry(state.sessions, node, session) }, hasChanged };
};

/** Leases without a valid grant of this voter; empty until the voter would have seen every renewal. */
export const vacantLeases = (state: RegistryState, now: Timestamp): LeaseName[] => {
  if (now < addMs(state.voter.startedAt, vacancyWaitLeases * maxLeaseMs)) return [];
  const leases = new Set([...state.voter.grants.keys(), ...state.holders.keys()]);
  return [...leases].filter(
    (lease) => (state.voter.grants.get(lease)?.leaseEndsAt ?? clockOrigin) <= now,
  );
};

interface ReplyContent {
  /** Send time of the node's heartbeat, by the node's clock; the clock's origin in a push. */
  readonly echoedAt: Timestamp;
  /** Number of the latest purge batch that the node has. */
  readonly latestPurge: number;
  readonly offer: ConfigManifest | undefined;
  readonly releases: RolloutState[];
}

const heartbeatReply = (
  state: RegistryState,
  { echoedAt, latestPurge, offer, releases }: ReplyContent,
  now: Timestamp,
): FrameOf<'heartbeat-reply'> => {
  const age = servableFeedAgeMs(state, now);
  return {
    kind: 'heartbeat-reply',
    at: echoedAt,
    registry: state.member.node,
    incarnation: state.member.incarnation,
    epoch: state.feed.epoch,
    ...(age === undefined ? {} : { age }),
    ...(offer === undefined ? {} : { offer }),
    newest: newestGeneration(state),
    newestAge: elapsedMs(state.feed.currentSince, now),
    purges: state.feed.purges.filter((purge) => purge.seq > latestPurge),
    floor: state.feed.oldestPurge,
    top: state.feed.latestPurge,
    verdicts: [...state.feed.canaryResults],
    releases,
    vacant: vacantLeases(state, now),
    ...(state.electorate === undefined ? {} : { electorate: state.electorate }),
    ...(state.fleet === undefined ? {} : { fleet: state.fleet }),
  };
};

/** Handles a node's heartbeat: updates its session, replies, and notifies others of changes. */
export const onHeartbeat = (
  state: RegistryState,
  from: Peer,
  heartbeat: FrameOf<'heartbeat'>,
  now: Timestamp,
): RegistryTransition => {
  const before = state.sessions.get(heartbeat.member.node);
  const session: KnownSession = {
    member: heartbeat.member,
    report: heartbeat.report,
    registry: state.member.node,
    seq: heartbeat.seq,
    lastHeardAt: now,
    open: !heartbeat.bye,
    releasesDigest: heartbeat.releases,
  };
  const learned = learnSession(state, session);
  const holders = heartbeat.held.reduce(learnHolder, learned.state.holders);
  const hasNewHolders = holders !== learned.state.holders;
  const base = hasNewHolders ? { ...learned.state, holders } : learned.state;
  const reconciled = reconcile(base, session, now);
  const content: ReplyContent = {
    echoedAt: heartbeat.at,
    latestPurge: heartbeat.purged,
    offer: reconciled.offer,
    releases: unknownReleases(releaseRecords(reconciled.state, now), heartbeat.releases),
  };
  const isFirstHere =
    before === undefined ||
    before.registry !== state.member.node ||
    before.member.incarnation !== heartbeat.member.incarnation;
  return transition(
    reconciled.state,
    send(from.address, heartbeatReply(reconciled.state, content, now)),
    ...(isFirstHere ? [send(from.address, memberListFrame(reconciled.state, now))] : []),
    ...(learned.hasChanged || hasNewHolders ? broadcast(reconciled.state, now) : []),
  );
};

const getsPushes = (state: RegistryState, session: KnownSession): boolean =>
  session.registry === state.member.node &&
  session.member.role !== 'registry' &&
  session.member.role !== 'store' &&
  session.open;

/** Pushes the feed's changes to every node with a session here; `latestPurge` is the last purge batch already sent. */
export const pushToNodes = (
  state: RegistryState,
  latestPurge: number,
  now: Timestamp,
): RegistryTransition => {
  let next: RegistryTransition = transition(state);
  const records = releaseRecords(state, now);
  for (const session of state.sessions.values()) {
    if (!getsPushes(state, session)) continue;
    const reconciled = reconcile(next.state, session, now);
    // Echoes no heartbeat, so that a push neither renews the session nor proves a fresh feed.
    const content: ReplyContent = {
      echoedAt: clockOrigin,
      latestPurge,
      offer: reconciled.offer,
      releases: unknownReleases(records, session.releasesDigest),
    };
    const push = send(session.member.address, heartbeatReply(reconciled.state, content, now));
    next = prependEffects(next.effects, transition(reconciled.state, push));
  }
  return next;
};
