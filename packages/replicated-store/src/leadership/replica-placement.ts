/**
 * Placement of replicas: selection of the stores for the in-sync set, and the failures that a set tolerates.
 *
 * A set is sufficient if one replica is left after the loss of any `tolerate` machines or any
 * `failureDomains.tolerate` failure domains, so it needs one more machine and one more domain than that.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { PeerStatus } from '../state/peers.js';
import { type StoreState, ownId } from '../state/state.js';
import { isSameLogPosition } from '../state/table.js';

/** Silence after which a store counts as unreachable. */
export const peerTimeoutMs = 1000;

/** Silence after which a learner or backup is no longer chosen as a replica. */
export const backupTimeoutMs = 650;

/** Time without progress after which a learner is no longer awaited during a shortage of replicas. */
const learnerStallTimeoutMs = 1500;

/** Time for which a new primary waits for the first status of known stores. */
const peerDiscoveryMs = 700;

/** Time before the election within which a store must have sent a status for its later silence to be conclusive. */
const recentlyHeardMs = 2000;

/** Zone of a store; undefined if it is not known. */
const knownZoneOf = (
  state: StoreState,
  node: NodeId,
): StoreState['session']['member']['area'] | undefined =>
  node === ownId(state)
    ? state.session.member.area
    : state.session.members.find((member) => member.node === node)?.area;

/** Zone of a store; a store in an unknown zone counts as a zone of its own. */
export const zoneOf = (state: StoreState, node: NodeId): string =>
  knownZoneOf(state, node) ?? `around ${node}`;

/** Failure domain of a store; undefined if its zone is not known. */
const domainOf = (state: StoreState, node: NodeId): string | undefined => {
  const zone = knownZoneOf(state, node);
  return zone === undefined
    ? undefined
    : (state.settings.failureDomains?.domainOfZone.get(zone) ?? zone);
};

const domainsOf = (state: StoreState, set: readonly NodeId[]): ReadonlySet<string> =>
  new Set(set.map((node) => domainOf(state, node)).filter((domain) => domain !== undefined));

/** Whether a set of replicas tolerates the failures required by the settings. */
export const hasEnoughReplicas = (state: StoreState, set: readonly NodeId[]): boolean =>
  set.length > state.settings.tolerate &&
  domainsOf(state, set).size > (state.settings.failureDomains?.tolerate ?? 0);

/** Returns the first store in a failure domain without a member of the set. */
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

/** Adds stores to a set until it has the wanted size and is sufficient, or no store improves it any more. */
export const chooseReplicas = (
  state: StoreState,
  initialSet: readonly NodeId[],
  stores: readonly NodeId[],
): readonly NodeId[] => {
  const wantedSize = Math.max(state.settings.copies, state.settings.tolerate + 1);
  const set = [...initialSet];
  let remaining = stores.filter((node) => !set.includes(node));
  while (set.length < wantedSize || !hasEnoughReplicas(state, set)) {
    const inOtherDomain = inNewDomain(state, set, remaining);
    // Beyond the wanted size only a store in a new domain improves the set.
    const next =
      set.length < wantedSize
        ? (inOtherDomain ?? inNewZone(state, set, remaining) ?? remaining[0])
        : inOtherDomain;
    if (next === undefined) break;
    set.push(next);
    remaining = remaining.filter((node) => node !== next);
  }
  return set;
};

/** Whether a peer belongs to this fleet or to none yet. */
const mayJoin = (state: StoreState, peer: PeerStatus): boolean =>
  peer.metadata === undefined || peer.metadata.fleet === state.metadata?.fleet;

/** Reachable stores outside a set that accept writes and are not stopping. */
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

/** Reachable stores outside a set whose status shows that they hold every committed write. */
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

/** Whether a new primary still waits for the first status of a known store. */
const awaitsFirstStatus = (state: StoreState, set: readonly NodeId[], now: Timestamp): boolean => {
  const lease = state.candidate.phase;
  if (lease.phase !== 'holdingLease' || now - lease.wonAt >= peerDiscoveryMs) return false;
  const knownStores = [
    ...(state.metadata?.stores.map((store) => store.node) ?? []),
    ...state.session.members.filter(({ role }) => role === 'store').map((member) => member.node),
  ];
  return knownStores.some(
    (node) =>
      !set.includes(node) &&
      (state.peers.get(node)?.heardAt ?? -Infinity) < Math.max(0, lease.wonAt - recentlyHeardMs),
  );
};

/** Whether a store may soon be added to an insufficient set. */
export const awaitsLearner = (state: StoreState, set: readonly NodeId[], now: Timestamp): boolean =>
  awaitsFirstStatus(state, set, now) ||
  reachableLearners(state, set, now).some(
    (learner) =>
      now - Math.max(learner.progressAt, state.shortageSince ?? now) < learnerStallTimeoutMs,
  );
