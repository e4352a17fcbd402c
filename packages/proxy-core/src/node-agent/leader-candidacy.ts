/**
 * Candidacies of a shield for service leases: when it starts an election, how votes are counted and
 * which leases it holds. The election protocol itself is in `@switchwheel/election`.
 */

import {
  type ServiceName,
  type Timestamp,
  prependEffects,
  serviceLeaseOf,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import type { FrameOf, LeaseHolder } from '@switchwheel/transport';
import {
  type Candidate,
  type ElectionContext,
  countVote,
  heldEpoch,
  holdsLease,
  observeEpoch,
  stepDown,
  tickCandidate,
} from '@switchwheel/election';
import { highestEpoch } from '@switchwheel/membership';
import { leadershipOrder, shieldMembers } from './leadership-order.js';
import { candidateOf, electionContext, leaseHolder } from './service-lease.js';
import type { AgentTransition, NodeAgent } from './state.js';
import { recordVacantLeases } from './vacant-leases.js';

/** Delay per rank in the leadership order before a shield starts an election for a vacant lease. */
const rankDelayMs = 150;
/** Time during which a shield starts no election for the lease of a removed service. */
const removedServicePauseMs = 1000;

/**
 * Whether this shield should start an election: the first shield in the leadership order does so at
 * once, each further one after a delay.
 */
const shouldStartElection = (state: NodeAgent, service: ServiceName, now: Timestamp): boolean => {
  if (state.isStopping || state.compiledConfiguration === undefined) return false;
  const self = state.nodeSession.member.node;
  const holder = leaseHolder(state, service);
  const vacantSince = state.vacantSince.get(serviceLeaseOf(service));
  if (vacantSince === undefined) return false;
  // The previous holder has failed or resigned, so it is excluded from the order.
  const shields = shieldMembers(state).filter(
    (shield) => shield.node === self || holder?.node !== shield.node,
  );
  const rank = leadershipOrder(service, shields).findIndex((shield) => shield.node === self);
  return now - vacantSince >= rank * rankDelayMs;
};

/**
 * Replaces a candidate, and starts or stops leading the service if its lease was acquired or lost.
 */
const applyCandidate = (
  state: NodeAgent,
  service: ServiceName,
  { before, after }: { readonly before: Candidate; readonly after: Candidate },
  now: Timestamp,
): AgentTransition => {
  const hadLease = before.phase.phase === 'holdingLease';
  const hasLease = after.phase.phase === 'holdingLease';
  const next = { ...state, candidates: withEntry(state.candidates, service, after) };
  if (!hadLease && hasLease && holdsLease(after, now))
    return transition(
      { ...next, vacantSince: withoutEntry(next.vacantSince, serviceLeaseOf(service)) },
      { kind: 'startLeading', service, candidate: after },
    );
  if (hadLease && !hasLease) return transition(next, { kind: 'stopLeading', service });
  return transition(next);
};

/** Resigns a lease that is fenced off by a higher epoch, so that it can be acquired again. */
const resignFencedLease = (
  state: NodeAgent,
  service: ServiceName,
  { before, after }: { readonly before: Candidate; readonly after: Candidate },
  context: ElectionContext,
  now: Timestamp,
): AgentTransition => {
  const resigned = stepDown(after, context, now, 0);
  const applied = applyCandidate(state, service, { before, after: resigned.state }, now);
  const lease = serviceLeaseOf(service);
  const vacantSince = withEntry(applied.state.vacantSince, lease, now);
  return prependEffects(resigned.effects, {
    ...applied,
    state: { ...applied.state, vacantSince },
  });
};

const tickCandidacy = (
  state: NodeAgent,
  service: ServiceName,
  context: ElectionContext,
  now: Timestamp,
): AgentTransition => {
  const previous = candidateOf(state, service);
  const candidate = observeEpoch(
    previous,
    highestEpoch(state.nodeSession, serviceLeaseOf(service)),
  );
  if (previous.phase.phase === 'holdingLease' && candidate.highestEpoch > heldEpoch(previous))
    return resignFencedLease(state, service, { before: previous, after: candidate }, context, now);
  const ticked = tickCandidate(
    candidate,
    context,
    shouldStartElection(state, service, now),
    state.randomState,
    now,
  );
  const applied = applyCandidate(
    { ...state, randomState: ticked.state.randomState },
    service,
    { before: candidate, after: ticked.state.candidate },
    now,
  );
  return prependEffects(ticked.effects, applied);
};

/** Resigns the lease of a service that was removed from the configuration. */
const dropCandidacy = (
  state: NodeAgent,
  service: ServiceName,
  candidate: Candidate,
  now: Timestamp,
): AgentTransition => {
  const context = electionContext(state, service);
  const resigned = stepDown(candidate, context, now, removedServicePauseMs);
  const dropped: AgentTransition = transition(
    { ...state, candidates: withoutEntry(state.candidates, service) },
    { kind: 'stopLeading', service },
  );
  return prependEffects(resigned.effects, dropped);
};

/** Advances all candidacies of a shield to the current time. */
export const tickCandidacies = (before: NodeAgent, now: Timestamp): AgentTransition => {
  const services = before.compiledConfiguration?.services;
  if (before.nodeSession.member.role !== 'shield' || services === undefined)
    return transition(before);
  let next: AgentTransition = transition(recordVacantLeases(before, now));
  for (const service of services.keys()) {
    const context = electionContext(next.state, service);
    if (context === undefined) continue;
    next = prependEffects(next.effects, tickCandidacy(next.state, service, context, now));
  }
  for (const [service, candidate] of next.state.candidates) {
    if (services.has(service) || candidate.phase.phase === 'idle') continue;
    next = prependEffects(next.effects, dropCandidacy(next.state, service, candidate, now));
  }
  return next;
};

/**
 * Counts a vote for the candidate of its lease, and adopts a newer electorate that comes with it.
 */
export const onVote = (
  before: NodeAgent,
  vote: FrameOf<'vote'>,
  now: Timestamp,
): AgentTransition => {
  const currentElectorate = before.nodeSession.electorate;
  const isNewer =
    vote.electorate !== undefined &&
    (currentElectorate === undefined || vote.electorate.serial > currentElectorate.serial);
  const nodeSession = isNewer
    ? { ...before.nodeSession, electorate: vote.electorate }
    : before.nodeSession;
  const state = { ...before, nodeSession };
  for (const [service, candidate] of state.candidates) {
    if (candidate.leaseName !== vote.duty) continue;
    const context = electionContext(state, service);
    if (context === undefined) return transition(state);
    const after = countVote(candidate, context, vote, now);
    return applyCandidate(state, service, { before: candidate, after }, now);
  }
  return transition(state);
};

/** Returns the service leases that this shield holds, as reported to registries. */
export const heldLeases = (state: NodeAgent, now: Timestamp): LeaseHolder[] =>
  [...state.candidates].flatMap(([service, candidate]) => {
    const record = holdsLease(candidate, now)
      ? electionContext(state, service)?.holderRecord
      : undefined;
    return record === undefined ? [] : [{ ...record, epoch: heldEpoch(candidate) }];
  });
