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
import { type FrameOf, type Holder, type Member, send } from '@switchwheel/transport';
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
import type { Cabin, CabinEffect } from './state.js';

type Done = Transition<Cabin, CabinEffect>;
const rankSpan = 150;
/** Callers wait while a service has no keeper, so its lease is shorter than the primary's. */
const keeperLease = 600;

const weight = (service: ServiceName, node: string): string =>
  createHash('sha1').update(`${service} ${node}`).digest('hex');

/** The shields in the order in which they should keep a service: spread by name, the areas taking turns. */
export const order = (service: ServiceName, shields: readonly Member[]): readonly Member[] =>
  [...shields].sort((one, two) => (weight(service, one.node) < weight(service, two.node) ? -1 : 1));

const shields = (state: Cabin): readonly Member[] => {
  const near = state.nodeSession.members.filter((one) => one.role === 'shield');
  return near.some((one) => one.node === state.nodeSession.member.node)
    ? near
    : [...near, state.nodeSession.member];
};

/** This shield's stand towards a service: one that rests if it never stood. */
const candidateOf = (state: Cabin, service: ServiceName): Candidate =>
  state.candidates.get(service) ??
  newCandidate(state.nodeSession.member.node, serviceLeaseOf(service), [], keeperLease);

const electionContext = (state: Cabin, service: ServiceName): ElectionContext | undefined => {
  const { fleet, electorate, member } = state.nodeSession;
  if (fleet === undefined || electorate === undefined) return undefined;
  const held: Holder = {
    duty: serviceLeaseOf(service),
    epoch: highestEpoch(state.nodeSession, serviceLeaseOf(service)),
    node: member.node,
    address: member.address,
    ...(member.door === undefined ? {} : { door: member.door }),
  };
  return { fleet, electorate, held, countRecovering: true };
};

const heldBy = (state: Cabin, service: ServiceName): Holder | undefined =>
  state.nodeSession.holders.get(serviceLeaseOf(service));

/** Whether this shield should stand now: at once if it is first in order, the others after it in turn. */
const wantsElection = (state: Cabin, service: ServiceName, now: Timestamp): boolean => {
  if (state.stopping || state.table === undefined) return false;
  const duty = serviceLeaseOf(service);
  const holder = heldBy(state, service);
  const near =
    holder !== undefined && state.nodeSession.members.some((one) => one.node === holder.node);
  const since = state.vacant.get(duty);
  if (
    holder !== undefined &&
    near &&
    holder.node !== state.nodeSession.member.node &&
    since === undefined
  )
    return false;
  const row = order(
    service,
    shields(state).filter(
      (one) => one.node === state.nodeSession.member.node || holder?.node !== one.node,
    ),
  );
  const rank = row.findIndex((one) => one.node === state.nodeSession.member.node);
  return since !== undefined && now - since >= rank * rankSpan;
};

const follow = (
  state: Cabin,
  service: ServiceName,
  before: Candidate,
  after: Candidate,
  now: Timestamp,
): Done => {
  const was = before.phase.phase === 'holdingLease';
  const is = after.phase.phase === 'holdingLease';
  const next = { ...state, candidates: withEntry(state.candidates, service, after) };
  if (!was && is && holdsLease(after, now))
    return transition(
      { ...next, vacant: withoutEntry(next.vacant, serviceLeaseOf(service)) },
      { kind: 'kept', service, candidate: after },
    );
  if (was && !is) return transition(next, { kind: 'unkept', service });
  return transition(next);
};

const watch = (state: Cabin, now: Timestamp): Cabin => {
  let vacant = state.vacant;
  for (const service of state.table?.services.keys() ?? []) {
    const duty = serviceLeaseOf(service);
    const holder = heldBy(state, service);
    const open =
      holder === undefined || !state.nodeSession.members.some((one) => one.node === holder.node);
    if (open && !vacant.has(duty)) vacant = withEntry(vacant, duty, now);
  }
  return vacant === state.vacant ? state : { ...state, vacant };
};

/** Takes in what a voter says of leases that are over. */
export const takeVacant = (
  state: Cabin,
  word: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): Cabin => {
  if (state.nodeSession.member.role !== 'shield') return state;
  const told = new Set(word.vacant);
  let vacant = state.vacant;
  for (const service of state.table?.services.keys() ?? []) {
    const duty = serviceLeaseOf(service);
    const holder = heldBy(state, service);
    const near =
      holder !== undefined && state.nodeSession.members.some((one) => one.node === holder.node);
    if (told.has(duty)) vacant = vacant.has(duty) ? vacant : withEntry(vacant, duty, now);
    else if (near) vacant = withoutEntry(vacant, duty);
  }
  return vacant === state.vacant ? state : { ...state, vacant };
};

/** Lets time pass over all stands of this shield. */
export const passDuties = (before: Cabin, now: Timestamp): Done => {
  if (before.nodeSession.member.role !== 'shield' || before.table === undefined)
    return transition(before);
  let next: Done = transition(watch(before, now));
  for (const service of before.table.services.keys()) {
    const state = next.state;
    const own = electionContext(state, service);
    if (own === undefined) continue;
    const duty = serviceLeaseOf(service);
    const known = candidateOf(state, service);
    const candidate = observeEpoch(known, highestEpoch(state.nodeSession, duty));
    if (known.phase.phase === 'holdingLease' && candidate.highest > heldEpoch(known)) {
      // Somebody remembers a higher epoch than the voters that voted: this holding would be fenced off, a new one is stood for.
      const given = stepDown(candidate, own, now, 0);
      const followed = follow(state, service, known, given.state, now);
      next = prependEffects([...next.effects, ...given.effects], {
        ...followed,
        state: { ...followed.state, vacant: withEntry(followed.state.vacant, duty, now) },
      });
      continue;
    }
    const passed = tickCandidate(
      candidate,
      own,
      wantsElection(state, service, now),
      state.dice,
      now,
    );
    const followed = follow(
      { ...state, dice: passed.state.dice },
      service,
      candidate,
      passed.state.candidate,
      now,
    );
    next = prependEffects([...next.effects, ...passed.effects], followed);
  }
  for (const [service, candidate] of next.state.candidates) {
    if (before.table.services.has(service) || candidate.phase.phase === 'idle') continue;
    // The service left the description: its duty is laid down.
    const given = stepDown(candidate, electionContext(next.state, service), now, 1000);
    const dropped = { ...next.state, candidates: withoutEntry(next.state.candidates, service) };
    next = prependEffects(
      [...next.effects, ...given.effects],
      transition(dropped, { kind: 'unkept' as const, service }),
    );
  }
  return next;
};

export const onVote = (state: Cabin, word: FrameOf<'vote'>, now: Timestamp): Done => {
  const known = state.nodeSession.electorate;
  const nodeSession =
    word.electorate !== undefined && (known === undefined || word.electorate.serial > known.serial)
      ? { ...state.nodeSession, electorate: word.electorate }
      : state.nodeSession;
  const base = { ...state, nodeSession };
  for (const [service, candidate] of base.candidates) {
    if (candidate.duty !== word.duty) continue;
    const own = electionContext(base, service);
    return own === undefined
      ? transition(base)
      : follow(base, service, candidate, countVote(candidate, own, word, now), now);
  }
  return transition(base);
};

/** Hands every duty over before a stop: the next in order is told to stand at once. */
export const handOver = (state: Cabin, now: Timestamp): Done => {
  let next: Done = transition(state);
  for (const [service, candidate] of state.candidates) {
    if (!holdsLease(candidate, now)) continue;
    const heir = order(service, shields(state)).find(
      (one) => one.node !== state.nodeSession.member.node,
    );
    const given = stepDown(candidate, electionContext(state, service), now, 60_000);
    const told =
      heir === undefined
        ? []
        : [
            send(heir.address, {
              kind: 'handover' as const,
              duty: candidate.duty,
              epoch: heldEpoch(candidate),
            }),
          ];
    const after = {
      ...next.state,
      candidates: withEntry(next.state.candidates, service, given.state),
    };
    next = prependEffects(
      [...next.effects, ...given.effects, ...told],
      transition(after, { kind: 'unkept' as const, service }),
    );
  }
  return next;
};

/** The keeper of a service hands it over to this shield. */
export const onHandover = (state: Cabin, word: FrameOf<'handover'>, now: Timestamp): Done => {
  for (const service of state.table?.services.keys() ?? []) {
    if (serviceLeaseOf(service) !== word.duty) continue;
    const own = electionContext(state, service);
    if (own === undefined || state.stopping) return transition(state);
    const candidate = observeEpoch(candidateOf(state, service), word.epoch);
    const passed = tickCandidate(candidate, own, true, state.dice, now);
    return transition(
      {
        ...state,
        dice: passed.state.dice,
        vacant: withEntry(state.vacant, word.duty, now),
        candidates: withEntry(state.candidates, service, passed.state.candidate),
      },
      ...passed.effects,
    );
  }
  return transition(state);
};

/** The duties held now, as told to registries. */
export const heldNow = (state: Cabin, now: Timestamp): Holder[] =>
  [...state.candidates].flatMap(([service, candidate]) => {
    const own = holdsLease(candidate, now) ? electionContext(state, service)?.held : undefined;
    return own === undefined ? [] : [{ ...own, epoch: heldEpoch(candidate) }];
  });
