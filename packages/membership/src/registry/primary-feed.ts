/**
 * This registry as a subscriber of the store's primary: reports its sessions, and receives the feed of
 * desired configurations, purges and rollouts for its nodes.
 */

import {
  type Hash,
  type Timestamp,
  clockOrigin,
  countViolations,
  filterEntries,
  noGeneration,
  prependEffects,
  toTimestamp,
  transition,
} from '@switchwheel/types';
import { type ConfigManifest, type FrameOf, log, send } from '@switchwheel/transport';
import { abstentionEnd, adoptElectorate } from '@switchwheel/election';
import { onRecordedDepartures } from './departures.js';
import { chunksOfReads } from './configuration-read.js';
import { pushToNodes } from './node-sessions.js';
import { isAlive, primaryHolder } from './queries.js';
import type { Feed, RegistryState, RegistryTransition } from './state.js';

const generationOf = (manifest: ConfigManifest | undefined): ConfigManifest['generation'] =>
  manifest?.generation ?? noGeneration;

/** Recorded departures of a frame; one without a list keeps the known one. */
const mergeDepartures = (
  feed: Feed,
  frame: FrameOf<'feed'>,
): Pick<Feed, 'recordsDepartures' | 'departuresSeq' | 'departures'> => ({
  recordsDepartures: frame.recordsDepartures === true,
  ...(frame.departures === undefined
    ? { departuresSeq: feed.departuresSeq, departures: feed.departures }
    : {
        departuresSeq: frame.serial,
        departures: new Map(frame.departures.map(({ instance, state }) => [instance, state])),
      }),
});

/** Merges a frame into the feed; a frame without desired rows keeps the known ones. */
const mergeFeed = (feed: Feed, frame: FrameOf<'feed'>, now: Timestamp): Feed => {
  const knownSeqs = new Set(feed.purges.map((purge) => purge.seq));
  const added = frame.purges.filter((purge) => !knownSeqs.has(purge.seq));
  const isNewer =
    frame.current !== undefined && frame.current.generation > generationOf(feed.current);
  const desired =
    frame.desired === undefined
      ? { desiredSeq: feed.desiredSeq, desired: feed.desired, offers: feed.offers }
      : {
          desiredSeq: frame.serial,
          desired: new Map(frame.desired.map(({ node, ...row }) => [node, row])),
          offers: new Map(frame.offers.map((manifest) => [manifest.hash, manifest])),
        };
  return {
    ...desired,
    ...mergeDepartures(feed, frame),
    epoch: frame.epoch,
    latestSeq: frame.serial,
    asOf: frame.at > 0 ? toTimestamp(Math.max(frame.at, feed.asOf ?? 0)) : feed.asOf,
    current: frame.current ?? feed.current,
    currentSince: isNewer ? now : feed.currentSince,
    purges: [...feed.purges, ...added].filter((purge) => purge.seq >= frame.floor),
    oldestPurge: frame.floor,
    latestPurge: frame.top,
    canaryResults: frame.verdicts,
    releases: frame.releases,
    releasesReceivedAt: now,
  };
};

/** Chunks to keep: once another configuration is current, only those of its manifest, of offers and of pending reads. */
const keptChunks = (state: RegistryState, feed: Feed): RegistryState['chunks'] => {
  if (feed.current?.hash === state.feed.current?.hash) return state.chunks;
  const manifests = [
    ...feed.offers.values(),
    ...(feed.current === undefined ? [] : [feed.current]),
  ];
  const needed = new Set<Hash>([
    ...manifests.flatMap((manifest) => manifest.pieces),
    ...chunksOfReads(state),
  ]);
  return filterEntries(state.chunks, (_, hash) => needed.has(hash));
};

/** Whether a feed has changes that are pushed to nodes at once. */
const hasChanges = (before: Feed, after: Feed): boolean =>
  after.latestSeq !== before.latestSeq ||
  after.latestPurge !== before.latestPurge ||
  after.epoch !== before.epoch ||
  after.current?.generation !== before.current?.generation;

/** Reports a violation if the current generation went back: the new primary has lost a confirmed command. */
const checkGenerationKept = (state: RegistryState, before: Feed): RegistryTransition =>
  generationOf(state.feed.current) >= generationOf(before.current)
    ? transition(state)
    : transition(
        { ...state, violations: countViolations(state.violations, ['confirmed-kept']) },
        log('error', 'an invariant is broken', ['invariant', 'confirmed-kept']),
      );

/**
 * Whether a feed is based on a subscription of this process: it echoes the time of one, or follows such a reply. Others
 * are meant for an earlier process at this address, and leave out what that one had.
 */
const followsOwnSubscription = (
  { feed, voter }: RegistryState,
  { at }: FrameOf<'feed'>,
  now: Timestamp,
): boolean => (at === clockOrigin ? feed.asOf !== undefined : at >= voter.startedAt && at <= now);

/**
 * Applies the primary's feed and pushes changes to the nodes. Ignores frames of an older epoch, and
 * frames of the same epoch that arrive after a newer one.
 */
export const onFeed = (
  state: RegistryState,
  frame: FrameOf<'feed'>,
  now: Timestamp,
): RegistryTransition => {
  const before = state.feed;
  if (!followsOwnSubscription(state, frame, now)) return transition(state);
  if (frame.epoch < before.epoch) return transition(state);
  if (state.fleet !== undefined && state.fleet !== frame.fleet)
    return transition(
      state,
      log('error', 'feed of another fleet rejected', ['fleet', frame.fleet]),
    );
  if (frame.epoch === before.epoch && frame.serial < before.latestSeq) return transition(state);
  const feed = mergeFeed(before, frame, now);
  const voter =
    frame.electorate === undefined
      ? state.voter
      : adoptElectorate(state.voter, frame.fleet, frame.electorate);
  const next: RegistryState = {
    ...state,
    feed,
    voter,
    fleet: frame.fleet,
    electorate: voter.electorate ?? state.electorate,
    chunks: keptChunks(state, feed),
  };
  const checked = checkGenerationKept(next, before);
  const recorded = onRecordedDepartures(checked.state, frame.departures ?? [], now);
  const effects = [...checked.effects, ...recorded.effects];
  if (!hasChanges(before, feed)) return transition(recorded.state, ...effects);
  return prependEffects(effects, pushToNodes(recorded.state, before.latestPurge, now));
};

/** Readiness of this registry's voter, as reported to the primary. */
const voterReadiness = (state: RegistryState, now: Timestamp): FrameOf<'subscribe'>['voter'] => {
  if (state.isStopping) return 'leaving';
  const abstains = now < abstentionEnd(state.voter);
  return state.voter.isRecovering || abstains ? 'recovering' : 'ready';
};

/** Renews the subscription at the primary, with the nodes that have a session here and their reports. */
export const subscribe = (state: RegistryState, now: Timestamp): RegistryTransition => {
  const primary = primaryHolder(state);
  if (primary === undefined) return transition(state);
  const reports = [...state.sessions.values()]
    .filter(({ registry, member }) => registry === state.member.node && member.role !== 'registry')
    .map((session) => ({
      node: session.member.node,
      role: session.member.role,
      incarnation: session.member.incarnation,
      open: isAlive(session, now),
      report: session.report,
    }));
  return transition(
    { ...state, subscribedAt: now },
    send(primary.address, {
      kind: 'subscribe',
      registry: state.member,
      voter: voterReadiness(state, now),
      at: now,
      epoch: state.feed.epoch,
      serial: state.feed.desiredSeq,
      purged: state.feed.latestPurge,
      departuresSerial: state.feed.departuresSeq,
      reports,
    }),
  );
};
