import { type Timestamp, noSeq, clockOrigin } from '@switchwheel/types';
import { type FrameOf, type Offer, send } from '@switchwheel/transport';
import { floorPurge, releaseStateOf, topPurge } from '@switchwheel/configuration';
import { heldEpoch } from '@switchwheel/election';
import type { StoreEffect } from '../state/event.js';
import { spentOf } from '../release/release.js';
import type { Store, Subscriber } from '../state/state.js';

const subscriberTimeout = 3000;

const offersOf = (state: Store): readonly Offer[] => {
  const stored = state.control.stored?.offer;
  return stored === undefined ? [] : [stored];
};

/** What a registry is told: all of the desired state if it lacks any, and the purges it lacks. */
const feed = (
  state: Store,
  to: Subscriber,
  at: Timestamp,
  now: Timestamp,
): FrameOf<'feed'> | undefined => {
  const metadata = state.metadata;
  if (metadata === undefined) return undefined;
  const behind = to.serial === noSeq || to.serial < state.lastNodeChange;
  const rows = [...state.control.nodes].flatMap(([node, row]) => {
    if (row.desired === undefined) return [];
    return [{ node, ...row.desired, ...(row.failed === undefined ? {} : { failed: row.failed }) }];
  });
  const current = state.control.stored?.offer;
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
    purges: state.control.purges.filter((one) => one.seq > to.purged),
    floor: floorPurge(state.control),
    top: topPurge(state.control),
    verdicts: [...state.control.verdicts.values()],
    releases: [...state.control.releases.values()].map((one) =>
      releaseStateOf(one, spentOf(state, one, now)),
    ),
  };
};

export const feedOne = (
  state: Store,
  to: Subscriber,
  at: Timestamp,
  now: Timestamp,
): readonly StoreEffect[] => {
  const word = feed(state, to, at, now);
  return word === undefined ? [] : [send(to.address, word)];
};

/** Pushes news to every registry that listens; the time it bears renews nothing. */
export const feedAll = (state: Store, now: Timestamp): readonly StoreEffect[] =>
  [...state.subscribers.values()]
    .filter((one) => now - one.at < subscriberTimeout)
    .flatMap((one) => feedOne(state, one, clockOrigin, now));
