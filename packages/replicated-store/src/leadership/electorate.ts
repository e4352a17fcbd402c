/**
 * Membership changes of the electorate.
 *
 * The electorate is the set of voters whose majority grants and renews the primary's lease. It is part of
 * the cluster metadata and changes by one member at a time, so that every majority of the old electorate
 * intersects every majority of the new one.
 *
 * Invariant: before the electorate with serial s is replaced, (1) the primary of the current epoch has
 * committed the metadata that names it, and (2) a majority of it has renewed that primary's lease under s.
 * Each voter of that majority keeps the grant of the epoch and refuses vote requests of older electorates
 * from then on.
 *
 * A candidate that still polls an older electorate therefore needs the vote of a voter that has both the
 * newer serial and the newer grant, and that voter refuses it. Serials are unique: each primary assigns
 * serials from the range of its epoch, so an uncommitted change of a former primary never shares its
 * serial with another change, and counts as older.
 */

import { type Epoch, type NodeId, type Seq, type Timestamp, toSeq } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import { quorumSize } from '@switchwheel/election';
import type { Subscriber } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

type ElectorateMember = Electorate['members'][number];

/** Silence after which a registry no longer counts as live. */
const contactTimeoutMs = 1000;

const defaultRecoveryWindowMs = 4000;

/** Fraction of `recoveryWindowMs` after which a silent voter may be removed. */
const silentVoterShare = 0.4;

const minElectorate = 3;

/** Number of serials reserved for each epoch. */
const serialsPerEpoch = 1_000_000;

/** Failures that an electorate tolerates, most significant measure first. */
interface Resilience {
  /** Negative number of voters missing for a majority after the loss of the largest tolerated domains; 0 if none. */
  readonly shortOnDomainLoss: number;
  /** Live voters beyond a majority: the number that may fail in addition to those already lost. */
  readonly spareVoters: number;
  readonly live: number;
  /** Number of dead voters beyond the first; removing a single one from an electorate of odd size gains nothing. */
  readonly surplusDead: number;
}

/** Primary's view of the registries at one point in time. */
interface Registries {
  readonly isLive: (node: NodeId) => boolean;
  readonly isDead: (node: NodeId) => boolean;
  readonly domainOf: (node: NodeId) => string;
  readonly toleratedDomains: number;
}

/** Next serial after `serial` in the range of an epoch. */
const nextSerial = (serial: Seq, epoch: Epoch): Seq =>
  toSeq(Math.max(serial + 1, epoch * serialsPerEpoch));

/** Returns the electorate with the higher serial: the stored one or the one reported by voters. */
export const newerElectorate = (stored: Electorate, other: Electorate | undefined): Electorate =>
  other !== undefined && other.serial > stored.serial ? other : stored;

/** Newest known electorate, which this store polls as candidate and as primary. */
export const polledElectorate = (state: StoreState): Electorate | undefined => {
  const stored = state.metadata?.electorate;
  return stored === undefined ? undefined : newerElectorate(stored, state.session.electorate);
};

/** Records the time at which the polled electorate changed. */
export const recordPolledElectorate = (state: StoreState, now: Timestamp): StoreState => {
  const electorate = polledElectorate(state);
  if (electorate === undefined || electorate.serial === state.polledElectorate.serial) return state;
  return { ...state, polledElectorate: { serial: electorate.serial, since: now } };
};

/** Whether a majority of the electorate has renewed the lease under its serial. */
const isConfirmed = (state: StoreState, electorate: Electorate): boolean => {
  const leasePhase = state.candidate.phase;
  const { serial, since } = state.polledElectorate;
  if (leasePhase.phase !== 'holdingLease' || serial !== electorate.serial) return false;
  const renewed = electorate.members.filter(
    ({ node }) => (leasePhase.votes.get(node)?.requestedAt ?? -1) > since,
  );
  return renewed.length >= quorumSize(electorate.members.length);
};

const observeRegistries = (
  state: StoreState,
  leaseWonAt: Timestamp,
  now: Timestamp,
): Registries => {
  const { failureDomains, recoveryWindowMs = defaultRecoveryWindowMs } = state.settings;
  const silenceLimitMs = recoveryWindowMs * silentVoterShare;
  return {
    isLive: (node) => {
      const subscriber = state.subscribers.get(node);
      return subscriber?.voterStatus === 'ready' && now - subscriber.heardAt < contactTimeoutMs;
    },
    isDead: (node) => {
      const subscriber = state.subscribers.get(node);
      return (
        subscriber?.voterStatus === 'leaving' ||
        now - Math.max(subscriber?.heardAt ?? leaseWonAt, leaseWonAt) >= silenceLimitMs
      );
    },
    domainOf: (node) => {
      const zone = state.subscribers.get(node)?.zone;
      return zone === undefined ? node : (failureDomains?.domainOfZone.get(zone) ?? zone);
    },
    toleratedDomains: failureDomains?.tolerate ?? 0,
  };
};

/** Number of live voters left after the loss of the largest tolerated failure domains. */
const votersAfterDomainLoss = (
  live: readonly ElectorateMember[],
  registries: Registries,
): number => {
  const sizes = new Map<string, number>();
  for (const { node } of live) {
    const domain = registries.domainOf(node);
    sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
  }
  const largestFirst = [...sizes.values()].sort((first, second) => second - first);
  const lost = largestFirst.slice(0, registries.toleratedDomains);
  return lost.reduce((remaining, size) => remaining - size, live.length);
};

const resilienceOf = (members: readonly ElectorateMember[], registries: Registries): Resilience => {
  const live = members.filter(({ node }) => registries.isLive(node));
  const dead = members.filter(({ node }) => registries.isDead(node));
  const needed = quorumSize(members.length);
  return {
    shortOnDomainLoss: Math.min(0, votersAfterDomainLoss(live, registries) - needed),
    spareVoters: live.length - needed,
    live: live.length,
    surplusDead: Math.max(0, dead.length - 1),
  };
};

/** Returns a positive number if the first electorate tolerates more than the second. */
const compareResilience = (first: Resilience, second: Resilience): number =>
  first.shortOnDomainLoss - second.shortOnDomainLoss ||
  first.spareVoters - second.spareVoters ||
  first.live - second.live ||
  second.surplusDead - first.surplusDead;

/** Electorates that differ from the given one by a single member. */
const singleMemberChanges = (
  members: readonly ElectorateMember[],
  joinable: readonly ElectorateMember[],
  registries: Registries,
): readonly (readonly ElectorateMember[])[] => {
  const mayRemove = ({ node }: ElectorateMember): boolean =>
    registries.isDead(node) || registries.toleratedDomains > 0;
  const removals =
    members.length > minElectorate
      ? members.filter(mayRemove).map((removed) => members.filter((member) => member !== removed))
      : [];
  const additions = joinable
    .filter((added) => !members.some(({ node }) => node === added.node))
    .map((added) => [...members, added]);
  return [...removals, ...additions];
};

interface Proposal {
  /** Electorate after the change. */
  readonly members: readonly ElectorateMember[];
  /** Best resilience reachable by this change, or by one further change with look-ahead. */
  readonly reachableResilience: Resilience;
}

/** Most resilient single-member change; with `looksAhead` also considers one further change. */
const bestChange = (
  members: readonly ElectorateMember[],
  joinable: readonly ElectorateMember[],
  registries: Registries,
  looksAhead: boolean,
): Proposal | undefined => {
  let best: Proposal | undefined;
  for (const changed of singleMemberChanges(members, joinable, registries)) {
    const ownResilience = resilienceOf(changed, registries);
    // Without a live majority of the new electorate the lease would end with the change.
    if (ownResilience.spareVoters < 0) continue;
    const furtherResilience = looksAhead
      ? bestChange(changed, joinable, registries, false)?.reachableResilience
      : undefined;
    const reachableResilience =
      furtherResilience !== undefined && compareResilience(furtherResilience, ownResilience) > 0
        ? furtherResilience
        : ownResilience;
    if (best === undefined || compareResilience(reachableResilience, best.reachableResilience) > 0)
      best = { members: changed, reachableResilience };
  }
  return best;
};

/** Returns the electorate after the next due change; undefined if none is due. */
export const nextElectorate = (state: StoreState, now: Timestamp): Electorate | undefined => {
  const electorate = polledElectorate(state);
  const leasePhase = state.candidate.phase;
  if (electorate === undefined || leasePhase.phase !== 'holdingLease') return undefined;
  // A newer electorate of a former primary is committed here before it is changed.
  if (electorate !== state.metadata?.electorate) return electorate;
  if (!isConfirmed(state, electorate)) return undefined;
  const registries = observeRegistries(state, leasePhase.wonAt, now);
  const joinable = [...state.subscribers]
    .filter(([node]) => registries.isLive(node))
    .map(([node, { address }]: readonly [NodeId, Subscriber]) => ({ node, address }));
  const current = resilienceOf(electorate.members, registries);
  const lacksResilience =
    current.shortOnDomainLoss < 0 || current.spareVoters < state.settings.tolerate;
  const best = bestChange(
    electorate.members,
    joinable,
    registries,
    registries.toleratedDomains > 0 && lacksResilience,
  );
  if (best === undefined || compareResilience(best.reachableResilience, current) <= 0)
    return undefined;
  return { serial: nextSerial(electorate.serial, leasePhase.epoch), members: [...best.members] };
};
