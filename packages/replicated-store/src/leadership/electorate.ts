/**
 * Membership changes of the electorate.
 *
 * The electorate is the set of voters of which a majority grants and renews the primary's lease. It
 * is part of the cluster metadata and changes by one member at a time, so that each majority of the
 * old one shares a voter with each majority of the new one.
 *
 * Invariant: before the electorate with serial s is replaced, (1) the metadata that names it has been
 * committed by the primary of the current epoch, and (2) a majority of it has renewed that primary's
 * lease under s. Each voter of that majority keeps the epoch's grant and refuses ballots of an older
 * electorate from then on.
 *
 * Hence a candidate that still polls an older electorate needs a majority that shares a voter with
 * one that has both the newer serial and the newer grant, and is refused by it. Serials are unique:
 * each one that a primary makes lies in the range of its epoch, so a change that a former primary
 * wrote down but did not commit never has the serial of another one, and counts as older.
 */

import { type Epoch, type NodeId, type Seq, type Timestamp, toSeq } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import { quorumSize } from '@switchwheel/election';
import type { Subscriber } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

type Member = Electorate['members'][number];

/** How recently a registry must have spoken to count as in touch. */
const contactTimeoutMs = 1000;

const defaultRecoveryWindowMs = 4000;

/** The part of `recoveryWindowMs` for which a voter is silent before its seat may go. */
const silentVoterShare = 0.4;

const minElectorate = 3;

/** How many serials each epoch has to itself. */
const serialsPerEpoch = 1_000_000;

/** What an electorate can bear, the most important figure first. */
interface Resilience {
  /** How many voters a majority lacks (below zero) once the largest tolerated domains are lost. */
  readonly shortOnDomainLoss: number;
  /** Voters that may be lost at once, with those counted that are lost already. */
  readonly machines: number;
  readonly live: number;
  /** Dead voters beyond the one that an odd electorate can keep at no cost. */
  readonly surplusDead: number;
}

/** What the primary knows of the registries at one moment. */
interface Registries {
  readonly isLive: (node: NodeId) => boolean;
  readonly isDead: (node: NodeId) => boolean;
  readonly domainOf: (node: NodeId) => string;
  readonly toleratedDomains: number;
}

/** The first serial that the primary of an epoch may give after this one. */
const nextSerial = (serial: Seq, epoch: Epoch): Seq =>
  toSeq(Math.max(serial + 1, epoch * serialsPerEpoch));

/** Of the stored electorate and the one that voters made known, the one with the higher serial. */
export const newerElectorate = (stored: Electorate, heard: Electorate | undefined): Electorate =>
  heard !== undefined && heard.serial > stored.serial ? heard : stored;

/** The newest electorate that this store knows: the one that it polls as a candidate and as primary. */
export const polledElectorate = (state: StoreState): Electorate | undefined => {
  const stored = state.metadata?.electorate;
  return stored === undefined ? undefined : newerElectorate(stored, state.session.electorate);
};

/** Notes since when the electorate that this store polls has been the one that it polls. */
export const notePolledElectorate = (state: StoreState, now: Timestamp): StoreState => {
  const set = polledElectorate(state);
  if (set === undefined || set.serial === state.polledElectorate.serial) return state;
  return { ...state, polledElectorate: { serial: set.serial, since: now } };
};

/** Whether a majority of the electorate has renewed the lease under its serial. */
const isConfirmed = (state: StoreState, set: Electorate): boolean => {
  const holding = state.candidate.phase;
  const { serial, since } = state.polledElectorate;
  if (holding.phase !== 'holdingLease' || serial !== set.serial) return false;
  const renewed = set.members.filter(
    ({ node }) => (holding.votes.get(node)?.requestedAt ?? -1) > since,
  );
  return renewed.length >= quorumSize(set.members.length);
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
      const known = state.subscribers.get(node);
      return known?.voterStatus === 'ready' && now - known.heardAt < contactTimeoutMs;
    },
    isDead: (node) => {
      const known = state.subscribers.get(node);
      return (
        known?.voterStatus === 'leaving' ||
        now - Math.max(known?.heardAt ?? leaseWonAt, leaseWonAt) >= silenceLimitMs
      );
    },
    domainOf: (node) => {
      const zone = state.subscribers.get(node)?.zone;
      return zone === undefined ? node : (failureDomains?.domainOfZone.get(zone) ?? zone);
    },
    toleratedDomains: failureDomains?.tolerate ?? 0,
  };
};

/** How many of these voters are left if the largest failure domains that may be lost are. */
const votersAfterDomainLoss = (live: readonly Member[], registries: Registries): number => {
  const sizes = new Map<string, number>();
  for (const { node } of live) {
    const domain = registries.domainOf(node);
    sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
  }
  const largest = [...sizes.values()].sort((first, second) => second - first);
  const lost = largest.slice(0, registries.toleratedDomains);
  return lost.reduce((left, size) => left - size, live.length);
};

const resilienceOf = (members: readonly Member[], registries: Registries): Resilience => {
  const live = members.filter(({ node }) => registries.isLive(node));
  const dead = members.filter(({ node }) => registries.isDead(node));
  const needed = quorumSize(members.length);
  return {
    shortOnDomainLoss: Math.min(0, votersAfterDomainLoss(live, registries) - needed),
    machines: live.length - needed,
    live: live.length,
    surplusDead: Math.max(0, dead.length - 1),
  };
};

/** Above zero if the first bears more than the second. */
const compareResilience = (first: Resilience, second: Resilience): number =>
  first.shortOnDomainLoss - second.shortOnDomainLoss ||
  first.machines - second.machines ||
  first.live - second.live ||
  second.surplusDead - first.surplusDead;

/** All electorates that differ from this one by a single member. */
const neighbours = (
  members: readonly Member[],
  joinable: readonly Member[],
  registries: Registries,
): readonly (readonly Member[])[] => {
  const mayRemove = ({ node }: Member): boolean =>
    registries.isDead(node) || registries.toleratedDomains > 0;
  const removals =
    members.length > minElectorate
      ? members.filter(mayRemove).map((gone) => members.filter((member) => member !== gone))
      : [];
  const additions = joinable
    .filter((fresh) => !members.some(({ node }) => node === fresh.node))
    .map((fresh) => [...members, fresh]);
  return [...removals, ...additions];
};

interface Proposal {
  /** The electorate that is one change away. */
  readonly members: readonly Member[];
  /** What it can bear, or what one more change would make it bear. */
  readonly leadsTo: Resilience;
}

/** The neighbour that bears most; with `lookAhead` the one from which one more change does. */
const bestNeighbour = (
  members: readonly Member[],
  joinable: readonly Member[],
  registries: Registries,
  lookAhead: boolean,
): Proposal | undefined => {
  let best: Proposal | undefined;
  for (const candidate of neighbours(members, joinable, registries)) {
    const own = resilienceOf(candidate, registries);
    // A majority of the new electorate must be in touch, or the lease would end with the change.
    if (own.machines < 0) continue;
    const further = lookAhead
      ? bestNeighbour(candidate, joinable, registries, false)?.leadsTo
      : undefined;
    const leadsTo = further !== undefined && compareResilience(further, own) > 0 ? further : own;
    if (best === undefined || compareResilience(leadsTo, best.leadsTo) > 0)
      best = { members: candidate, leadsTo };
  }
  return best;
};

/** The electorate with the one change that is due next, if there is one. */
export const nextElectorate = (state: StoreState, now: Timestamp): Electorate | undefined => {
  const set = polledElectorate(state);
  const holding = state.candidate.phase;
  if (set === undefined || holding.phase !== 'holdingLease') return undefined;
  // A newer one that a former primary left behind is written down here before it is changed.
  if (set !== state.metadata?.electorate) return set;
  if (!isConfirmed(state, set)) return undefined;
  const registries = observeRegistries(state, holding.wonAt, now);
  const joinable = [...state.subscribers]
    .filter(([node]) => registries.isLive(node))
    .map(([node, { address }]: readonly [NodeId, Subscriber]) => ({ node, address }));
  const current = resilienceOf(set.members, registries);
  const lacksResilience =
    current.shortOnDomainLoss < 0 || current.machines < state.settings.tolerate;
  const best = bestNeighbour(
    set.members,
    joinable,
    registries,
    registries.toleratedDomains > 0 && lacksResilience,
  );
  if (best === undefined || compareResilience(best.leadsTo, current) <= 0) return undefined;
  return { serial: nextSerial(set.serial, holding.epoch), members: [...best.members] };
};
