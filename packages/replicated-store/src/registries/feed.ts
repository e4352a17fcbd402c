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

const subscriberTimeoutMs = 3000;

const offersOf = (state: StoreState): readonly ConfigManifest[] => {
  const stored = state.control.configuration?.offer;
  return stored === undefined ? [] : [stored];
};

/** What a registry is told: all of the desired state if it lacks any, and the purges it lacks. */
const feedFrame = (
  state: StoreState,
  subscriber: Subscriber,
  at: Timestamp,
  now: Timestamp,
): FrameOf<'feed'> | undefined => {
  const metadata = state.metadata;
  if (metadata === undefined) return undefined;
  const behind = subscriber.serial === noSeq || subscriber.serial < state.lastNodeChangeSeq;
  const rows = [...state.control.nodes].flatMap(([node, row]) => {
    if (row.desired === undefined) return [];
    return [{ node, ...row.desired, ...(row.failed === undefined ? {} : { failed: row.failed }) }];
  });
  const current = state.control.configuration?.offer;
  return {
    kind: 'feed',
    at,
    epoch: heldEpoch(state.candidate),
    serial: state.stamp.seq,
    fleet: metadata.fleet,
    electorate: metadata.electorate,
    ...(behind ? { desired: rows } : {}),
    offers: behind ? [...offersOf(state)] : [],
    ...(behind && current !== undefined ? { current } : {}),
    purges: state.control.purges.filter((one) => one.seq > subscriber.purged),
    floor: oldestKeptPurge(state.control),
    top: latestPurge(state.control),
    verdicts: [...state.control.canaryResults.values()],
    releases: [...state.control.releases.values()].map((one) =>
      releaseStateOf(one, elapsedOf(state, one, now)),
    ),
  };
};

export const feedSubscriber = (
  state: StoreState,
  subscriber: Subscriber,
  at: Timestamp,
  now: Timestamp,
): readonly StoreEffect[] => {
  const word = feedFrame(state, subscriber, at, now);
  return word === undefined ? [] : [send(subscriber.address, word)];
};

/** Pushes news to every registry that listens; the time it bears renews nothing. */
export const feedSubscribers = (state: StoreState, now: Timestamp): readonly StoreEffect[] =>
  [...state.subscribers.values()]
    .filter((one) => now - one.heardAt < subscriberTimeoutMs)
    .flatMap((one) => feedSubscriber(state, one, clockOrigin, now));
