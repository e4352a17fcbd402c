/**
 * This registry as a subscriber of the store's primary: it reports its sessions, and takes in the
 * feed of desired configurations, purges and rollouts that its nodes are to have.
 */

import {
  type Hash,
  type Timestamp,
  countViolations,
  filterEntries,
  noGeneration,
  prependEffects,
  toTimestamp,
  transition,
} from '@switchwheel/types';
import { type ConfigManifest, type FrameOf, log, send } from '@switchwheel/transport';
import { abstentionEnd, adoptElectorate } from '@switchwheel/election';
import { chunksOfReads } from './configuration-read.js';
import { pushToNodes } from './node-sessions.js';
import { isAlive, primaryHolder } from './queries.js';
import type { Feed, RegistryState, RegistryTransition } from './state.js';

const generationOf = (manifest: ConfigManifest | undefined): ConfigManifest['generation'] =>
  manifest?.generation ?? noGeneration;

/** The feed after a frame; a frame without desired rows leaves those of the frame before. */
const mergeFeed = (feed: Feed, frame: FrameOf<'feed'>, now: Timestamp): Feed => {
  const known = new Set(feed.purges.map((purge) => purge.seq));
  const added = frame.purges.filter((purge) => !known.has(purge.seq));
  const isNewer =
    frame.current !== undefined && frame.current.generation > generationOf(feed.current);
  const desired =
    frame.desired === undefined
      ? { desiredSerial: feed.desiredSerial, desired: feed.desired, offers: feed.offers }
      : {
          desiredSerial: frame.serial,
          desired: new Map(frame.desired.map(({ node, ...row }) => [node, row])),
          offers: new Map(frame.offers.map((manifest) => [manifest.hash, manifest])),
        };
  return {
    ...desired,
    epoch: frame.epoch,
    latestSerial: frame.serial,
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

/** Drops chunks that no offer and no read under way needs, once another configuration is current. */
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

/** Whether nodes have to hear of a feed at once. */
const hasNews = (before: Feed, after: Feed): boolean =>
  after.latestSerial !== before.latestSerial ||
  after.latestPurge !== before.latestPurge ||
  after.epoch !== before.epoch ||
  after.current?.generation !== before.current?.generation;

/** A primary whose configuration is older than its predecessor's has lost a confirmed command. */
const checkConfirmed = (state: RegistryState, before: Feed): RegistryTransition =>
  generationOf(state.feed.current) >= generationOf(before.current)
    ? transition(state)
    : transition(
        { ...state, violations: countViolations(state.violations, ['confirmed-kept']) },
        log('error', 'an invariant is broken', ['invariant', 'confirmed-kept']),
      );

/**
 * Takes in the primary's feed and pushes what is new to the nodes. Frames of an older epoch, and
 * overtaken ones of this epoch, change nothing.
 */
export const onFeed = (
  state: RegistryState,
  frame: FrameOf<'feed'>,
  now: Timestamp,
): RegistryTransition => {
  const before = state.feed;
  if (frame.epoch < before.epoch) return transition(state);
  if (state.fleet !== undefined && state.fleet !== frame.fleet)
    return transition(
      state,
      log('error', 'feed of another fleet rejected', ['fleet', frame.fleet]),
    );
  if (frame.epoch === before.epoch && frame.serial < before.latestSerial) return transition(state);
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
  const checked = checkConfirmed(next, before);
  if (!hasNews(before, feed)) return checked;
  return prependEffects(checked.effects, pushToNodes(checked.state, before.latestPurge, now));
};

/** How far the primary may rely on this registry's vote. */
const voterReadiness = (state: RegistryState, now: Timestamp): FrameOf<'subscribe'>['voter'] => {
  if (state.isStopping) return 'leaving';
  const abstains = now < abstentionEnd(state.voter);
  return state.voter.isRecovering || abstains ? 'recovering' : 'ready';
};

/** Renews the subscription at the primary: which nodes have their session here, and their reports. */
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
      serial: state.feed.desiredSerial,
      purged: state.feed.latestPurge,
      reports,
    }),
  );
};
