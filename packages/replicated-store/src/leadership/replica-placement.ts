/**
 * Placement of replicas: which stores make up the in-sync set, and how many losses a set bears.
 *
 * A set is sufficient if `tolerate` machines, and `failureDomains.tolerate` zones or regions, can be
 * lost at once with one replica left: it has a machine more, and is in a domain more.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { PeerStatus } from '../state/peers.js';
import { type StoreState, ownId } from '../state/state.js';
import { isSameLogPosition } from '../state/table.js';

/** How long a store may be silent before it counts as out of reach, in milliseconds (as all times here). */
export const peerTimeoutMs = 1000;

/** How long a learner or backup may be silent and still be chosen. */
export const backupTimeoutMs = 650;

/** How long a learner that makes no progress is waited for while there are too few replicas. */
const learnerStallTimeoutMs = 1500;

/** How long a new primary waits to hear of the stores that it has not heard yet. */
const peerDiscoveryMs = 700;

/** How recently before the election a store must have been heard for its silence since to count. */
const recentlyHeardMs = 2000;

/** The zone of a store, if this store knows it. */
const knownZoneOf = (
  state: StoreState,
  node: NodeId,
): StoreState['session']['member']['area'] | undefined =>
  node === ownId(state)
    ? state.session.member.area
    : state.session.members.find((member) => member.node === node)?.area;

/** The zone of a store; one that is not known counts as a zone of its own. */
export const zoneOf = (state: StoreState, node: NodeId): string =>
  knownZoneOf(state, node) ?? `around ${node}`;

/** The failure domain of a store, if its zone is known. */
const domainOf = (state: StoreState, node: NodeId): string | undefined => {
  const zone = knownZoneOf(state, node);
  return zone === undefined
    ? undefined
    : (state.settings.failureDomains?.domainOfZone.get(zone) ?? zone);
};

const domainsOf = (state: StoreState, set: readonly NodeId[]): ReadonlySet<string> =>
  new Set(set.map((node) => domainOf(state, node)).filter((domain) => domain !== undefined));

/** Whether a set of replicas bears the losses that the settings ask it to bear. */
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
  return stores.find((node) => {
    const domain = domainOf(state, node);
    return domain !== undefined && !domains.has(domain);
  });
};

const inNewZone = (
  state: StoreState,
  set: readonly NodeId[],
  stores: readonly NodeId[],
): NodeId | undefined => {
  const zones = new Set(set.map((node) => zoneOf(state, node)));
  return stores.find((node) => !zones.has(zoneOf(state, node)));
};

/** Adds stores to a set until it has `copies` members and is sufficient, as far as they help. */
export const chooseReplicas = (
  state: StoreState,
  kept: readonly NodeId[],
  stores: readonly NodeId[],
): readonly NodeId[] => {
  const wanted = Math.max(state.settings.copies, state.settings.tolerate + 1);
  const set = [...kept];
  let left = stores.filter((node) => !set.includes(node));
  while (set.length < wanted || !hasEnoughReplicas(state, set)) {
    const inOtherDomain = inNewDomain(state, set, left);
    // Beyond the wanted number only a store in a new domain helps.
    const next =
      set.length < wanted
        ? (inOtherDomain ?? inNewZone(state, set, left) ?? left[0])
        : inOtherDomain;
    if (next === undefined) break;
    set.push(next);
    left = left.filter((node) => node !== next);
  }
  return set;
};

/** Whether a peer belongs to this fleet, or to none yet. */
const mayJoin = (state: StoreState, peer: PeerStatus): boolean =>
  peer.metadata === undefined || peer.metadata.fleet === state.metadata?.fleet;

/** The stores in reach, with working disks, that are no members of a set. */
const reachableLearners = (
  state: StoreState,
  set: readonly NodeId[],
  now: Timestamp,
): readonly PeerStatus[] =>
  [...state.peers.values()].filter(
    (peer) =>
      !set.includes(peer.node) &&
      !peer.isDiskFull &&
      !peer.isStopping &&
      now - peer.heardAt < peerTimeoutMs &&
      mayJoin(state, peer),
  );

/** The stores outside of a set that hold every committed write, by their own status. */
export const caughtUpLearners = (
  state: StoreState,
  set: readonly NodeId[],
  now: Timestamp,
): readonly NodeId[] =>
  reachableLearners(state, set, now)
    .filter(
      (peer) =>
        now - peer.heardAt < backupTimeoutMs &&
        peer.metadata !== undefined &&
        (isSameLogPosition(peer.logPosition, state.logPosition) || holdsOpenWrite(state, peer)),
    )
    .map((peer) => peer.node)
    .sort();

const holdsOpenWrite = (state: StoreState, peer: PeerStatus): boolean =>
  state.primaryWrite !== undefined &&
  isSameLogPosition(peer.logPosition, state.primaryWrite.logPosition);

/** Whether a store that a new primary knows of has not been heard lately: its status may still come. */
const awaitsFirstStatus = (state: StoreState, set: readonly NodeId[], now: Timestamp): boolean => {
  const lease = state.candidate.phase;
  if (lease.phase !== 'holdingLease' || now - lease.wonAt >= peerDiscoveryMs) return false;
  const known = [
    ...(state.metadata?.stores.map((store) => store.node) ?? []),
    ...state.session.members.filter(({ role }) => role === 'store').map((member) => member.node),
  ];
  return known.some(
    (node) =>
      !set.includes(node) &&
      (state.peers.get(node)?.heardAt ?? -Infinity) < Math.max(0, lease.wonAt - recentlyHeardMs),
  );
};

/** Whether a store may soon be taken into a set that is not sufficient. */
export const awaitsLearner = (state: StoreState, set: readonly NodeId[], now: Timestamp): boolean =>
  awaitsFirstStatus(state, set, now) ||
  reachableLearners(state, set, now).some(
    (learner) =>
      now - Math.max(learner.progressAt, state.shortageSince ?? now) < learnerStallTimeoutMs,
  );
