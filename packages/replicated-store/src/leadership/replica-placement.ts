/**
 * Placement of copies: which stores make up the in-sync set, and how many losses a set bears.
 *
 * A set is sufficient if `tolerate` machines, and `failureDomains.tolerate` zones or regions, can be
 * lost at once with one copy left: it has a machine more, and stands in a domain more.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { PeerStatus } from '../state/peers.js';
import { type StoreState, ownId } from '../state/state.js';
import { isSameStamp } from '../state/table.js';

/** How long a store may be silent before it counts as out of reach. */
export const peerTimeoutMs = 1000;

/** How long a learner or backup may be silent and still be chosen. */
export const backupTimeoutMs = 650;

/** How long a spare that makes no progress is waited for while copies are lacking. */
const learnerStallTimeoutMs = 1500;

/** How long a new primary waits to hear of the stores that it has not heard yet. */
const peerDiscoveryMs = 700;

/** How old the last word of a store may be at most for its silence to be known for what it is. */
const recentlyHeardMs = 2000;

const knownZoneOf = (
  state: StoreState,
  node: NodeId,
): StoreState['session']['member']['area'] | undefined =>
  node === ownId(state)
    ? state.session.member.area
    : state.session.members.find((one) => one.node === node)?.area;

/** The area (zone) of a store; one that is not known counts as an area of its own. */
export const zoneOf = (state: StoreState, node: NodeId): string =>
  knownZoneOf(state, node) ?? `around ${node}`;

/** The failure domain of a store, if its area is known. */
const domainOf = (state: StoreState, node: NodeId): string | undefined => {
  const area = knownZoneOf(state, node);
  return area === undefined
    ? undefined
    : (state.settings.failureDomains?.domainOfZone.get(area) ?? area);
};

const domainsOf = (state: StoreState, set: readonly NodeId[]): ReadonlySet<string> =>
  new Set(set.map((one) => domainOf(state, one)).filter((one) => one !== undefined));

/** Whether a set of copies bears the losses that the settings ask it to bear. */
export const hasEnoughReplicas = (state: StoreState, set: readonly NodeId[]): boolean =>
  set.length > state.settings.tolerate &&
  domainsOf(state, set).size > (state.settings.failureDomains?.tolerate ?? 0);

/** Of some stores the one in a failure domain where a set has no member. */
const inNewDomain = (
  state: StoreState,
  set: readonly NodeId[],
  stores: readonly NodeId[],
): NodeId | undefined => {
  const domains = domainsOf(state, set);
  return stores.find((one) => {
    const domain = domainOf(state, one);
    return domain !== undefined && !domains.has(domain);
  });
};

const inNewZone = (
  state: StoreState,
  set: readonly NodeId[],
  stores: readonly NodeId[],
): NodeId | undefined => {
  const areas = new Set(set.map((one) => zoneOf(state, one)));
  return stores.find((one) => !areas.has(zoneOf(state, one)));
};

/** Adds stores to a set until it has `copies` members and is sufficient, as far as they help. */
export const chooseReplicas = (
  state: StoreState,
  kept: readonly NodeId[],
  stores: readonly NodeId[],
): readonly NodeId[] => {
  const wanted = Math.max(state.settings.copies, state.settings.tolerate + 1);
  const set = [...kept];
  let left = stores.filter((one) => !set.includes(one));
  while (set.length < wanted || !hasEnoughReplicas(state, set)) {
    const spread = inNewDomain(state, set, left);
    // Beyond the wanted number only a store in a new domain helps.
    const next = set.length < wanted ? (spread ?? inNewZone(state, set, left) ?? left[0]) : spread;
    if (next === undefined) break;
    set.push(next);
    left = left.filter((one) => one !== next);
  }
  return set;
};

const sameFleet = (state: StoreState, peer: PeerStatus): boolean =>
  peer.metadata === undefined || peer.metadata.fleet === state.metadata?.fleet;

/** The stores in reach, with working disks, that are no members of a set. */
const reachableLearners = (
  state: StoreState,
  set: readonly NodeId[],
  now: Timestamp,
): readonly PeerStatus[] =>
  [...state.peers.values()].filter(
    (one) =>
      !set.includes(one.node) &&
      !one.isDiskFull &&
      !one.isStopping &&
      now - one.heardAt < peerTimeoutMs &&
      sameFleet(state, one),
  );

/** The stores outside of a set that hold every confirmed write, by their own word. */
export const caughtUpLearners = (
  state: StoreState,
  set: readonly NodeId[],
  now: Timestamp,
): readonly NodeId[] =>
  reachableLearners(state, set, now)
    .filter(
      (one) =>
        now - one.heardAt < backupTimeoutMs &&
        one.metadata !== undefined &&
        (isSameStamp(one.stamp, state.stamp) || holdsOpenWrite(state, one)),
    )
    .map((one) => one.node)
    .sort();

const holdsOpenWrite = (state: StoreState, peer: PeerStatus): boolean =>
  state.primaryWrite !== undefined && isSameStamp(peer.stamp, state.primaryWrite.stamp);

/** Whether a store that a new primary knows of has not been heard since it won. */
const awaitsFirstStatus = (state: StoreState, set: readonly NodeId[], now: Timestamp): boolean => {
  const holding = state.candidate.phase;
  if (holding.phase !== 'holdingLease' || now - holding.wonAt >= peerDiscoveryMs) return false;
  const known = [
    ...(state.metadata?.stores.map((one) => one.node) ?? []),
    ...state.session.members.filter((one) => one.role === 'store').map((one) => one.node),
  ];
  return known.some(
    (one) =>
      !set.includes(one) &&
      (state.peers.get(one)?.heardAt ?? -Infinity) < Math.max(0, holding.wonAt - recentlyHeardMs),
  );
};

/** Whether a store may soon be taken into a set that is not sufficient. */
export const awaitsLearner = (state: StoreState, set: readonly NodeId[], now: Timestamp): boolean =>
  awaitsFirstStatus(state, set, now) ||
  reachableLearners(state, set, now).some(
    (one) => now - Math.max(one.progressAt, state.shortageSince ?? now) < learnerStallTimeoutMs,
  );
