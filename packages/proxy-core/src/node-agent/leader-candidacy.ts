import { createHash } from 'node:crypto';
import {
  type Timestamp,
  type ServiceName,
  type Transition,
  withoutEntry,
  prependEffects,
  serviceLeaseOf,
  withEntry,
  transition,
} from '@switchwheel/types';
import { type FrameOf, type LeaseHolder, type Member, send } from '@switchwheel/transport';
import {
  type ElectionContext,
  type Candidate,
  countVote,
  observeEpoch,
  heldEpoch,
  holdsLease,
  stepDown,
  newCandidate,
  tickCandidate,
} from '@switchwheel/election';
import { highestEpoch } from '@switchwheel/membership';
import type { NodeAgent, NodeAgentEffect } from './state.js';

type AgentTransition = Transition<NodeAgent, NodeAgentEffect>;
const rankDelayMs = 150;
/** Callers wait while a service has no keeper, so its lease is shorter than the primary's. */
const leaderLeaseMs = 600;

const rendezvousWeight = (service: ServiceName, node: string): string =>
  createHash('sha1').update(`${service} ${node}`).digest('hex');

/** The shields in the order in which they should keep a service: spread by name, the areas taking turns. */
export const leadershipOrder = (
  service: ServiceName,
  shields: readonly Member[],
): readonly Member[] =>
  [...shields].sort((one, two) =>
    rendezvousWeight(service, one.node) < rendezvousWeight(service, two.node) ? -1 : 1,
  );

const shieldMembers = (state: NodeAgent): readonly Member[] => {
  const near = state.nodeSession.members.filter((one) => one.role === 'shield');
  return near.some((one) => one.node === state.nodeSession.member.node)
    ? near
    : [...near, state.nodeSession.member];
};

/** This shield's stand towards a service: one that rests if it never stood. */
const candidateOf = (state: NodeAgent, service: ServiceName): Candidate =>
  state.candidates.get(service) ??
  newCandidate(state.nodeSession.member.node, serviceLeaseOf(service), [], leaderLeaseMs);

const electionContext = (state: NodeAgent, service: ServiceName): ElectionContext | undefined => {
  const { fleet, electorate, member } = state.nodeSession;
  if (fleet === undefined || electorate === undefined) return undefined;
  const held: LeaseHolder = {
    duty: serviceLeaseOf(service),
    epoch: highestEpoch(state.nodeSession, serviceLeaseOf(service)),
    node: member.node,
    address: member.address,
    ...(member.door === undefined ? {} : { door: member.door }),
  };
  return { fleet, electorate, holderRecord: held, countsRecoveringVoters: true };
};

const leaseHolder = (state: NodeAgent, service: ServiceName): LeaseHolder | undefined =>
  state.nodeSession.holders.get(serviceLeaseOf(service));

/** Whether this shield should stand now: at once if it is first in order, the others after it in turn. */
const wantsElection = (state: NodeAgent, service: ServiceName, now: Timestamp): boolean => {
  if (state.isStopping || state.compiledConfiguration === undefined) return false;
  const duty = serviceLeaseOf(service);
  const holder = leaseHolder(state, service);
  const near =
    holder !== undefined && state.nodeSession.members.some((one) => one.node === holder.node);
  const since = state.vacantSince.get(duty);
  if (
    holder !== undefined &&
    near &&
    holder.node !== state.nodeSession.member.node &&
    since === undefined
  )
    return false;
  const row = leadershipOrder(
    service,
    shieldMembers(state).filter(
      (one) => one.node === state.nodeSession.member.node || holder?.node !== one.node,
    ),
  );
  const rank = row.findIndex((one) => one.node === state.nodeSession.member.node);
  return since !== undefined && now - since >= rank * rankDelayMs;
};

const applyCandidate = (
  state: NodeAgent,
  service: ServiceName,
  before: Candidate,
  after: Candidate,
  now: Timestamp,
): AgentTransition => {
  const was = before.phase.phase === 'holdingLease';
  const is = after.phase.phase === 'holdingLease';
  const next = { ...state, candidates: withEntry(state.candidates, service, after) };
  if (!was && is && holdsLease(after, now))
    return transition(
      { ...next, vacantSince: withoutEntry(next.vacantSince, serviceLeaseOf(service)) },
      { kind: 'startLeading', service, candidate: after },
    );
  if (was && !is) return transition(next, { kind: 'stopLeading', service });
  return transition(next);
};

const noteVacantLeases = (state: NodeAgent, now: Timestamp): NodeAgent => {
  let vacant = state.vacantSince;
  for (const service of state.compiledConfiguration?.services.keys() ?? []) {
    const duty = serviceLeaseOf(service);
    const holder = leaseHolder(state, service);
    const open =
      holder === undefined || !state.nodeSession.members.some((one) => one.node === holder.node);
    if (open && !vacant.has(duty)) vacant = withEntry(vacant, duty, now);
  }
  return vacant === state.vacantSince ? state : { ...state, vacantSince: vacant };
};

/** Takes in what a voter says of leases that are over. */
export const applyVacantLeases = (
  state: NodeAgent,
  word: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): NodeAgent => {
  if (state.nodeSession.member.role !== 'shield') return state;
  const told = new Set(word.vacant);
  let vacant = state.vacantSince;
  for (const service of state.compiledConfiguration?.services.keys() ?? []) {
    const duty = serviceLeaseOf(service);
    const holder = leaseHolder(state, service);
    const near =
      holder !== undefined && state.nodeSession.members.some((one) => one.node === holder.node);
    if (told.has(duty)) vacant = vacant.has(duty) ? vacant : withEntry(vacant, duty, now);
    else if (near) vacant = withoutEntry(vacant, duty);
  }
  return vacant === state.vacantSince ? state : { ...state, vacantSince: vacant };
};

/** Lets time pass over all stands of this shield. */
export const tickCandidacies = (before: NodeAgent, now: Timestamp): AgentTransition => {
  if (before.nodeSession.member.role !== 'shield' || before.compiledConfiguration === undefined)
    return transition(before);
  let next: AgentTransition = transition(noteVacantLeases(before, now));
  for (const service of before.compiledConfiguration.services.keys()) {
    const state = next.state;
    const own = electionContext(state, service);
    if (own === undefined) continue;
    const duty = serviceLeaseOf(service);
    const known = candidateOf(state, service);
    const candidate = observeEpoch(known, highestEpoch(state.nodeSession, duty));
    if (known.phase.phase === 'holdingLease' && candidate.highest > heldEpoch(known)) {
      // Somebody remembers a higher epoch than the voters that voted: this holding would be fenced off, a new one is stood for.
      const given = stepDown(candidate, own, now, 0);
      const followed = applyCandidate(state, service, known, given.state, now);
      next = prependEffects([...next.effects, ...given.effects], {
        ...followed,
        state: { ...followed.state, vacantSince: withEntry(followed.state.vacantSince, duty, now) },
      });
      continue;
    }
    const passed = tickCandidate(
      candidate,
      own,
      wantsElection(state, service, now),
      state.randomState,
      now,
    );
    const followed = applyCandidate(
      { ...state, randomState: passed.state.dice },
      service,
      candidate,
      passed.state.candidate,
      now,
    );
    next = prependEffects([...next.effects, ...passed.effects], followed);
  }
  for (const [service, candidate] of next.state.candidates) {
    if (before.compiledConfiguration.services.has(service) || candidate.phase.phase === 'idle')
      continue;
    // The service left the description: its duty is laid down.
    const given = stepDown(candidate, electionContext(next.state, service), now, 1000);
    const dropped = { ...next.state, candidates: withoutEntry(next.state.candidates, service) };
    next = prependEffects(
      [...next.effects, ...given.effects],
      transition(dropped, { kind: 'stopLeading' as const, service }),
    );
  }
  return next;
};

export const onVote = (
  state: NodeAgent,
  word: FrameOf<'vote'>,
  now: Timestamp,
): AgentTransition => {
  const known = state.nodeSession.electorate;
  const nodeSession =
    word.electorate !== undefined && (known === undefined || word.electorate.serial > known.serial)
      ? { ...state.nodeSession, electorate: word.electorate }
      : state.nodeSession;
  const base = { ...state, nodeSession };
  for (const [service, candidate] of base.candidates) {
    if (candidate.leaseName !== word.duty) continue;
    const own = electionContext(base, service);
    return own === undefined
      ? transition(base)
      : applyCandidate(base, service, candidate, countVote(candidate, own, word, now), now);
  }
  return transition(base);
};

/** Hands every duty over before a stop: the next in order is told to stand at once. */
export const handOverLeases = (state: NodeAgent, now: Timestamp): AgentTransition => {
  let next: AgentTransition = transition(state);
  for (const [service, candidate] of state.candidates) {
    if (!holdsLease(candidate, now)) continue;
    const heir = leadershipOrder(service, shieldMembers(state)).find(
      (one) => one.node !== state.nodeSession.member.node,
    );
    const given = stepDown(candidate, electionContext(state, service), now, 60_000);
    const told =
      heir === undefined
        ? []
        : [
            send(heir.address, {
              kind: 'handover' as const,
              duty: candidate.leaseName,
              epoch: heldEpoch(candidate),
            }),
          ];
    const after = {
      ...next.state,
      candidates: withEntry(next.state.candidates, service, given.state),
    };
    next = prependEffects(
      [...next.effects, ...given.effects, ...told],
      transition(after, { kind: 'stopLeading' as const, service }),
    );
  }
  return next;
};

/** The keeper of a service hands it over to this shield. */
export const onHandover = (
  state: NodeAgent,
  word: FrameOf<'handover'>,
  now: Timestamp,
): AgentTransition => {
  for (const service of state.compiledConfiguration?.services.keys() ?? []) {
    if (serviceLeaseOf(service) !== word.duty) continue;
    const own = electionContext(state, service);
    if (own === undefined || state.isStopping) return transition(state);
    const candidate = observeEpoch(candidateOf(state, service), word.epoch);
    const passed = tickCandidate(candidate, own, true, state.randomState, now);
    return transition(
      {
        ...state,
        randomState: passed.state.dice,
        vacantSince: withEntry(state.vacantSince, word.duty, now),
        candidates: withEntry(state.candidates, service, passed.state.candidate),
      },
      ...passed.effects,
    );
  }
  return transition(state);
};

/** The duties held now, as told to registries. */
export const heldLeases = (state: NodeAgent, now: Timestamp): LeaseHolder[] =>
  [...state.candidates].flatMap(([service, candidate]) => {
    const own = holdsLease(candidate, now)
      ? electionContext(state, service)?.holderRecord
      : undefined;
    return own === undefined ? [] : [{ ...own, epoch: heldEpoch(candidate) }];
  });
