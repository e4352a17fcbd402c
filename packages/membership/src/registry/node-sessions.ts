import { maxLeaseMs } from '@switchwheel/election';
import {
  type LeaseName,
  type Generation,
  type Hash,
  type Timestamp,
  type Transition,
  elapsedMs,
  withoutEntry,
  prependEffects,
  addMs,
  noGeneration,
  withEntry,
  clockOrigin,
  transition,
  toDurationMs,
} from '@switchwheel/types';
import {
  type Peer,
  type FrameOf,
  type ConfigManifest,
  type RolloutState,
  type ProcessEffect,
  send,
} from '@switchwheel/transport';
import { learnHolder } from '../session/node-session.js';
import { isSettled, releasesDigest } from '../releases/releases-digest.js';
import { advanceReads } from './configuration-read.js';
import type { RegistryEffect } from './event.js';
import type { KnownSession, RegistryState } from './state.js';
import { provenHint } from './disk-hints.js';
import { servableFeedAgeMs, primaryHolder, memberListFrame, broadcast } from './queries.js';

type RegistryTransition = Transition<RegistryState, ProcessEffect>;
const firstRetryDelayMs = 1000;
const maxRetryDelayMs = 15_000;
const resendIntervalMs = 400;
/** How long a roll-out may hold the newest description back from a node in touch, whatever the primary's row names. */
const maxRolloutHoldMs = 800;

const isNewer = (known: KnownSession | undefined, word: KnownSession): boolean =>
  known === undefined ||
  word.member.incarnation > known.member.incarnation ||
  (word.member.incarnation === known.member.incarnation && word.seq > known.seq);

/** Takes a word on a session, whoever tells it: the node's own order decides. */
export const learnSession = (
  state: RegistryState,
  word: KnownSession,
): { readonly state: RegistryState; readonly news: boolean } => {
  const known = state.sessions.get(word.member.node);
  if (!isNewer(known, word)) return { state, news: false };
  const news =
    known === undefined ||
    known.open !== word.open ||
    known.member.incarnation !== word.member.incarnation ||
    known.member.address !== word.member.address ||
    known.member.door !== word.member.door;
  return { state: { ...state, sessions: withEntry(state.sessions, word.member.node, word) }, news };
};

const offerFromHint = (
  state: RegistryState,
  known: KnownSession,
  now: Timestamp,
): ConfigManifest | undefined =>
  known.report.phase === 'none' ? provenHint(state, now)?.offer : undefined;

/** What a node is to run, if this registry's word of the primary counts. */
const desiredOffer = (
  state: RegistryState,
  known: KnownSession,
  now: Timestamp,
): ConfigManifest | undefined => {
  if (servableFeedAgeMs(state, now) === undefined) return offerFromHint(state, known, now);
  const { current, currentSince, desired, offers } = state.feed;
  const row = desired.get(known.member.node);
  const held = row !== undefined && now - currentSince < maxRolloutHoldMs;
  // A node that runs nothing yet gets the newest at once.
  const offer = held && known.report.phase !== 'none' ? offers.get(row.hash) : current;
  return offer !== undefined && offer.generation >= known.report.generation ? offer : undefined;
};

/** The newest confirmed generation: a node that runs an older one may not deny a route, and not go on with its own for long. */
const newestGeneration = (state: RegistryState): Generation =>
  state.feed.current?.generation ?? noGeneration;

/** The reconcile of every message: the offer to send with the answer, if any. */
const reconcile = (
  state: RegistryState,
  known: KnownSession,
  now: Timestamp,
): { readonly state: RegistryState; readonly offer: ConfigManifest | undefined } => {
  const node = known.member.node;
  const offer = desiredOffer(state, known, now);
  const report = known.report;
  if (offer === undefined) return { state, offer: undefined };
  if (
    report.phase === 'applied' &&
    report.generation === offer.generation &&
    report.hash === offer.hash
  ) {
    return {
      state: state.offersSent.has(node)
        ? { ...state, offersSent: withoutEntry(state.offersSent, node) }
        : state,
      offer: undefined,
    };
  }
  const before = state.offersSent.get(node);
  const again = before !== undefined && before.hash === offer.hash;
  const failed =
    report.failed?.hash === offer.hash && report.failed.generation === offer.generation;
  const rest = failed
    ? Math.min(maxRetryDelayMs, firstRetryDelayMs * 2 ** Math.min(10, before?.tries ?? 0))
    : resendIntervalMs;
  if (again && now < addMs(before.at, rest)) return { state, offer: undefined };
  const tries = again && failed ? before.tries + 1 : 0;
  return {
    state: {
      ...state,
      offersSent: withEntry(state.offersSent, node, { hash: offer.hash, at: now, tries }),
    },
    offer,
  };
};

/** Duties whose lease is over as far as this voter knows: it would have seen their renewals. */
export const vacantLeases = (state: RegistryState, now: Timestamp): LeaseName[] => {
  if (now < addMs(state.voter.startedAt, 1.2 * maxLeaseMs)) return [];
  const duties = new Set([...state.voter.grants.keys(), ...state.holders.keys()]);
  return [...duties].filter(
    (duty) => (state.voter.grants.get(duty)?.leaseEndsAt ?? clockOrigin) <= now,
  );
};

/** The records of releases with what is left of their spans by now, and their digest. */
interface ReleaseRecords {
  readonly releases: readonly RolloutState[];
  readonly digest: string;
}
// A digest holds for a feed's records until one of their spans is over.
const digestCache = new WeakMap<
  readonly RolloutState[],
  { readonly digest: string; readonly until: number }
>();

const releaseRecords = (state: RegistryState, now: Timestamp): ReleaseRecords => {
  const { releases: told, releasesReceivedAt } = state.feed;
  const releases = told.map((one) => ({
    ...one,
    leftMs: toDurationMs(Math.max(0, one.leftMs - (now - releasesReceivedAt))),
  }));
  const before = digestCache.get(told);
  if (before !== undefined && now < before.until) return { releases, digest: before.digest };
  const digest = releasesDigest(releases);
  digestCache.set(told, {
    digest,
    until: Math.min(
      Infinity,
      ...releases.filter((one) => one.leftMs > 0).map((one) => now + one.leftMs),
    ),
  });
  return { releases, digest };
};

/** What a node is told of releases: all, or only what moves if it knows the others. */
const unknownReleases = (all: ReleaseRecords, known: string | undefined): RolloutState[] =>
  all.releases.filter((one) => known !== all.digest || !isSettled(one));

const heartbeatReply = (
  state: RegistryState,
  at: Timestamp,
  purged: number,
  offer: ConfigManifest | undefined,
  releases: RolloutState[],
  now: Timestamp,
): FrameOf<'heartbeat-reply'> => {
  const age = servableFeedAgeMs(state, now);
  return {
    kind: 'heartbeat-reply',
    at,
    registry: state.member.node,
    incarnation: state.member.incarnation,
    epoch: state.feed.epoch,
    ...(age === undefined ? {} : { age }),
    ...(offer === undefined ? {} : { offer }),
    newest: newestGeneration(state),
    newestAge: elapsedMs(state.feed.currentSince, now),
    purges: state.feed.purges.filter((one) => one.seq > purged),
    floor: state.feed.oldestPurge,
    top: state.feed.latestPurge,
    verdicts: [...state.feed.canaryResults],
    releases,
    vacant: vacantLeases(state, now),
    ...(state.electorate === undefined ? {} : { electorate: state.electorate }),
    ...(state.fleet === undefined ? {} : { fleet: state.fleet }),
  };
};

/** A node spoke: its session stands, and desired is held against reported. */
export const onHeartbeat = (
  state: RegistryState,
  from: Peer,
  word: FrameOf<'heartbeat'>,
  now: Timestamp,
): RegistryTransition => {
  const before = state.sessions.get(word.member.node);
  const known: KnownSession = {
    member: word.member,
    report: word.report,
    registry: state.member.node,
    seq: word.seq,
    lastHeardAt: now,
    open: !word.bye,
    releasesDigest: word.releases,
  };
  const learned = learnSession(state, known);
  const holders = word.held.reduce(learnHolder, learned.state.holders);
  const base = holders === learned.state.holders ? learned.state : { ...learned.state, holders };
  const checked = reconcile(base, known, now);
  const answer = send(
    from.address,
    heartbeatReply(
      checked.state,
      word.at,
      word.purged,
      checked.offer,
      unknownReleases(releaseRecords(checked.state, now), word.releases),
      now,
    ),
  );
  const news = learned.news || holders !== learned.state.holders;
  const first =
    before === undefined ||
    before.registry !== state.member.node ||
    before.member.incarnation !== word.member.incarnation;
  const told = first ? [send(from.address, memberListFrame(checked.state, now))] : [];
  return transition(checked.state, answer, ...told, ...(news ? broadcast(checked.state, now) : []));
};

/** Pushes to every node with a session here: after news of the primary. */
export const pushToNodes = (
  state: RegistryState,
  purged: number,
  now: Timestamp,
): RegistryTransition => {
  let next: RegistryTransition = transition(state);
  const all = releaseRecords(state, now);
  for (const known of state.sessions.values()) {
    if (
      known.registry !== state.member.node ||
      known.member.role === 'registry' ||
      known.member.role === 'store' ||
      !known.open
    )
      continue;
    const checked = reconcile(next.state, known, now);
    // The time echoed is none of the node's own, so the push renews no lease; it bears news only.
    next = prependEffects(
      next.effects,
      transition(
        checked.state,
        send(
          known.member.address,
          heartbeatReply(
            checked.state,
            clockOrigin,
            purged,
            checked.offer,
            unknownReleases(all, known.releasesDigest),
            now,
          ),
        ),
      ),
    );
  }
  return next;
};

/** A node lacks pieces: those here are sent, the others asked of the primary. */
export const onNodeChunkRequest = (
  state: RegistryState,
  from: Peer,
  word: FrameOf<'piece-request'>,
  now: Timestamp,
): RegistryTransition => {
  const effects: ProcessEffect[] = [];
  let wanted = state.chunkWaiters;
  let asked = state.chunkRequestedAt;
  const missing: Hash[] = [];
  for (const hash of word.hashes) {
    const data = state.chunks.get(hash);
    if (data !== undefined) {
      effects.push(send(from.address, { kind: 'piece', hash, data }));
      continue;
    }
    wanted = withEntry(wanted, hash, new Set([...(wanted.get(hash) ?? []), from.address]));
    if (now - (asked.get(hash) ?? -Infinity) > resendIntervalMs) {
      asked = withEntry(asked, hash, now);
      missing.push(hash);
    }
  }
  const store = provenHint(state, now) ?? primaryHolder(state);
  if (missing.length > 0 && store !== undefined)
    effects.push(
      send(store.address, { kind: 'piece-request', node: state.member.node, hashes: missing }),
    );
  return transition({ ...state, chunkWaiters: wanted, chunkRequestedAt: asked }, ...effects);
};

export const onChunk = (
  state: RegistryState,
  word: FrameOf<'piece'>,
  now: Timestamp,
): Transition<RegistryState, RegistryEffect> => {
  const waiting = [...(state.chunkWaiters.get(word.hash) ?? [])];
  const next: RegistryState = {
    ...state,
    chunks: withEntry(state.chunks, word.hash, word.data),
    chunkWaiters: withoutEntry(state.chunkWaiters, word.hash),
    chunkRequestedAt: withoutEntry(state.chunkRequestedAt, word.hash),
  };
  return prependEffects(
    waiting.map((to) => send(to, word)),
    advanceReads(next, word.hash, now),
  );
};
