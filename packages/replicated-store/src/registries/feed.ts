/**
 * The feed to registries: the desired state of nodes and what else they lack, sent on subscription and after
 * each committed write.
 */

import { type Timestamp, clockOrigin, noSeq } from '@switchwheel/types';
import { type ConfigManifest, type FrameOf, send } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { latestPurge, oldestKeptPurge, releaseStateOf } from '@switchwheel/configuration';
import { elapsedOf } from '../releases/release-progress.js';
import type { StoreEffect } from '../state/events.js';
import type { Subscriber } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

/** How long a registry may be silent and still gets the feed after a commit. */
const subscriberTimeoutMs = 3000;

const offersOf = (state: StoreState): readonly ConfigManifest[] => {
  const stored = state.control.configuration?.offer;
  return stored === undefined ? [] : [stored];
};

/** A feed for one registry: all of the desired state if it lacks any, and the purges that it lacks. */
const feedFrame = (
  state: StoreState,
  subscriber: Subscriber,
  at: Timestamp,
  now: Timestamp,
): FrameOf<'feed'> | undefined => {
  const { metadata } = state;
  if (metadata === undefined) return undefined;
  const isBehind = subscriber.serial === noSeq || subscriber.serial < state.lastNodeChangeSeq;
  const rows = [...state.control.nodes].flatMap(([node, row]) => {
    if (row.desired === undefined) return [];
    return [{ node, ...row.desired, ...(row.failed === undefined ? {} : { failed: row.failed }) }];
  });
  const current = state.control.configuration?.offer;
  return {
    kind: 'feed',
    at,
    epoch: heldEpoch(state.candidate),
    serial: state.logPosition.seq,
    fleet: metadata.fleet,
    electorate: metadata.electorate,
    ...(isBehind ? { desired: rows } : {}),
    offers: isBehind ? [...offersOf(state)] : [],
    ...(isBehind && current !== undefined ? { current } : {}),
    purges: state.control.purges.filter((purge) => purge.seq > subscriber.latestPurge),
    floor: oldestKeptPurge(state.control),
    top: latestPurge(state.control),
    verdicts: [...state.control.canaryResults.values()],
    releases: [...state.control.releases.values()].map((rollout) =>
      releaseStateOf(rollout, elapsedOf(state, rollout, now)),
    ),
  };
};

/** Sends the feed to one registry; `at` is the time by its clock at which it subscribed. */
export const feedSubscriber = (
  state: StoreState,
  subscriber: Subscriber,
  at: Timestamp,
  now: Timestamp,
): readonly StoreEffect[] => {
  const frame = feedFrame(state, subscriber, at, now);
  return frame === undefined ? [] : [send(subscriber.address, frame)];
};

/** Sends the feed to every registry that is in touch; the time that it bears renews nothing there. */
export const feedSubscribers = (state: StoreState, now: Timestamp): readonly StoreEffect[] =>
  [...state.subscribers.values()]
    .filter((subscriber) => now - subscriber.heardAt < subscriberTimeoutMs)
    .flatMap((subscriber) => feedSubscriber(state, subscriber, clockOrigin, now));
