/**
 * Feed to registries: the desired state of nodes, purges, canary results and release rollouts, sent on each
 * subscription and after each committed write.
 */

import { type Timestamp, clockOrigin, noSeq } from '@switchwheel/types';
import { type ConfigManifest, type FrameOf, send } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { latestPurge, oldestKeptPurge, releaseStateOf } from '@switchwheel/configuration';
import { recordedDepartures } from '../origins/origin-records.js';
import { rolloutElapsedMs } from '../releases/release-progress.js';
import type { StoreEffect } from '../state/events.js';
import type { Subscriber } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

/** Silence after which a registry is no longer sent the feed after commits. */
const subscriberTimeoutMs = 3000;

const storedManifests = (state: StoreState): readonly ConfigManifest[] => {
  const manifest = state.control.configuration?.offer;
  return manifest === undefined ? [] : [manifest];
};

/** The recorded departures, unless the registry has them already or is of a version that reads none. */
const departuresField = (
  state: StoreState,
  { departuresSerial }: Subscriber,
  now: Timestamp,
): Pick<FrameOf<'feed'>, 'departures'> => {
  const isUpToDate =
    departuresSerial === undefined ||
    (departuresSerial !== noSeq && departuresSerial >= state.lastOriginChangeSeq);
  return isUpToDate ? {} : { departures: recordedDepartures(state, now) };
};

/** Feed for one registry: the whole desired state if it is outdated there, and the purges that it lacks. */
const feedFrame = (
  state: StoreState,
  subscriber: Subscriber,
  at: Timestamp,
  now: Timestamp,
): FrameOf<'feed'> | undefined => {
  const { metadata } = state;
  if (metadata === undefined) return undefined;
  const isBehind = subscriber.serial === noSeq || subscriber.serial < state.lastNodeChangeSeq;
  const desiredStates = [...state.control.nodes].flatMap(([node, row]) => {
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
    ...(isBehind ? { desired: desiredStates } : {}),
    offers: isBehind ? [...storedManifests(state)] : [],
    ...(isBehind && current !== undefined ? { current } : {}),
    purges: state.control.purges.filter((purge) => purge.seq > subscriber.latestPurge),
    floor: oldestKeptPurge(state.control),
    top: latestPurge(state.control),
    verdicts: [...state.control.canaryResults.values()],
    releases: [...state.control.releases.values()].map((rollout) =>
      releaseStateOf(rollout, rolloutElapsedMs(state, rollout, now)),
    ),
    recordsDepartures: true,
    ...departuresField(state, subscriber, now),
  };
};

/** Sends the feed to one registry; `at` is the time of its subscription by its own clock. */
export const feedSubscriber = (
  state: StoreState,
  subscriber: Subscriber,
  at: Timestamp,
  now: Timestamp,
): readonly StoreEffect[] => {
  const frame = feedFrame(state, subscriber, at, now);
  return frame === undefined ? [] : [send(subscriber.address, frame)];
};

/** Sends the feed to every live subscriber. Its `at` is the clock origin, so it does not renew a subscription. */
export const feedSubscribers = (state: StoreState, now: Timestamp): readonly StoreEffect[] =>
  [...state.subscribers.values()]
    .filter((subscriber) => now - subscriber.heardAt < subscriberTimeoutMs)
    .flatMap((subscriber) => feedSubscriber(state, subscriber, clockOrigin, now));
