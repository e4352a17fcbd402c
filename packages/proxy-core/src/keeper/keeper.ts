import {
  type RequestId,
  type ClassName,
  type Timestamp,
  type Transition,
  withoutEntry,
  prependEffects,
  addMs,
  withEntry,
  transition,
  increment,
  toRequestId,
} from '@switchwheel/types';
import { elect, judgeBay, judgeProbe, takeOrigins, totalRoom } from './bays.js';
import { affords, fill, tokensAfter } from './ceiling.js';
import type { Bay, Keeper, KeeperEffect, KeeperEvent, Leg, LegEnd, Load } from './state.js';
import { passProbes } from './probes.js';
import { judgeTrial, mayTry, meetReleases, passTrials, spend, takeVerdicts } from './trial.js';
import { addTo, sumOf } from './window.js';

type Done = Transition<Keeper, KeeperEffect>;
/** The rules are a fifth and sixty; what is used stays below, for what a keeper before may have spent. */
const extraShare = 0.15;
const extraBase = 35;
/** What a new keeper may use of it at once: half of what the one before it may have used, if that is as new. */
const firstBase = 12;
const extraSpan = 10_000;
const maxLegs = 3;
const noAsk: RequestId = toRequestId('none');

/** Whether one more leg may be sent beyond each request's first. */
export const mayExtra = (state: Keeper, now: Timestamp): boolean => {
  const base =
    now - state.opened < extraSpan ? Math.floor(firstBase / 2 ** (state.holdings - 1)) : extraBase;
  return sumOf(state.extra, now) + 1 <= base + extraShare * sumOf(state.traffic, now);
};

const usedBy = (state: Keeper): ReadonlyMap<ClassName, number> => {
  const count = new Map<ClassName, number>();
  for (const leg of state.legs.values()) {
    const load = state.running.get(leg.ask);
    if (load !== undefined) increment(count, load.group);
  }
  return count;
};

/** What must stay free for the other classes while one more request of this class is let in. */
const reserved = (
  state: Keeper,
  group: ClassName,
  room: number,
  used: ReadonlyMap<ClassName, number>,
): number => {
  let sum = 0;
  for (const [name, one] of state.groups) {
    if (name === group) continue;
    const share = Math.floor(one.share * room + 1e-9);
    const idle = Math.max(0, share - (used.get(name) ?? 0));
    const waits = (state.waiting.get(name)?.length ?? 0) > 0;
    // A lender with nobody waiting lends all but one slot, so that its next request finds one.
    sum += one.lendsTo.includes(group) && !waits ? Math.min(1, idle) : idle;
  }
  return sum;
};

const mayRun = (state: Keeper, group: ClassName, now: Timestamp): boolean => {
  const room = totalRoom(state, now);
  const free = room - state.legs.size;
  if (free <= 0) return false;
  const own = state.groups.get(group);
  const used = usedBy(state);
  if (
    own !== undefined &&
    (used.get(group) ?? 0) < Math.max(1, Math.floor(own.share * room + 1e-9))
  )
    return true;
  return free > reserved(state, group, room, used);
};

const launch = (state: Keeper, load: Load, bay: Bay, now: Timestamp): Done => {
  const leg: Leg = {
    id: state.nextLeg,
    ask: load.id,
    instance: bay.instance,
    release: bay.release,
    since: now,
  };
  const extra = load.legs > 0;
  const next: Keeper = {
    ...spend(state, bay.release),
    nextLeg: state.nextLeg + 1,
    legs: withEntry(state.legs, leg.id, leg),
    bays: withEntry(state.bays, bay.instance, { ...bay, used: bay.used + 1, lastLeg: leg.id }),
    running: withEntry(state.running, load.id, {
      ...load,
      legs: load.legs + 1,
      tried: new Set([...load.tried, bay.instance]),
    }),
    tokens: tokensAfter(state),
    traffic: extra ? state.traffic : addTo(state.traffic, now, 1),
    extra: extra ? addTo(state.extra, now, 1) : state.extra,
  };
  return transition(next, {
    kind: 'leg',
    leg: leg.id,
    ask: load.id,
    instance: bay.instance,
    address: bay.address,
    release: bay.release,
    spanMs: Math.max(1, load.until - now),
  });
};

const open = (state: Keeper): boolean => !state.closing && affords(state);

const pick = (state: Keeper, load: Load, now: Timestamp): Bay | undefined =>
  elect(state, (bay) => !load.tried.has(bay.instance) && mayTry(state, bay.release), now) ??
  (load.begun ? undefined : elect(state, (bay) => mayTry(state, bay.release), now));

const leastShare = 0.05;
const shareOf = (state: Keeper, group: ClassName): number =>
  Math.max(leastShare, state.groups.get(group)?.share ?? 0);
const paidOf = (state: Keeper, group: ClassName): number => state.paid.get(group) ?? 0;

/** The classes that wait, in the order of their turns: under a ceiling whoever has had least of it for its share goes first. */
const turns = (state: Keeper): readonly ClassName[] => {
  const names = [...state.waiting.keys()];
  return state.rules.perSecond === undefined
    ? names
    : names.sort((one, two) => paidOf(state, one) - paidOf(state, two));
};

/** A class that begins to wait has no claim on turns from before. */
const joinTurns = (state: Keeper, group: ClassName): Keeper => {
  if (state.rules.perSecond === undefined || state.waiting.has(group)) return state;
  const others = [...state.waiting.keys()].map((name) => paidOf(state, name));
  return {
    ...state,
    paid:
      others.length === 0
        ? new Map()
        : withEntry(state.paid, group, Math.max(paidOf(state, group), Math.min(...others))),
  };
};

/** Lets in what may run, class by class, each in its order. */
const pump = (before: Keeper, now: Timestamp): Done => {
  let next: Done = transition(fill(before, now));
  for (let moved = true; moved;) {
    moved = false;
    for (const group of turns(next.state)) {
      const list = next.state.waiting.get(group) ?? [];
      if (!open(next.state) || !mayRun(next.state, group, now)) continue;
      const spare = mayExtra(next.state, now);
      const load = list.find((one) => one.legs === 0 || spare);
      if (load === undefined) continue;
      const bay = pick(next.state, load, now);
      if (bay === undefined) continue;
      const rest = list.filter((one) => one !== load);
      const waiting =
        rest.length === 0
          ? withoutEntry(next.state.waiting, group)
          : withEntry(next.state.waiting, group, rest);
      const paid = withEntry(
        next.state.paid,
        group,
        paidOf(next.state, group) + 1 / shareOf(next.state, group),
      );
      next = prependEffects(next.effects, launch({ ...next.state, waiting, paid }, load, bay, now));
      moved = true;
      if (next.state.rules.perSecond !== undefined) break;
    }
  }
  return next;
};

const away = (
  id: RequestId,
  errorKind: 'rejected' | 'unknown' | 'slow' | 'lost',
  text: string,
  retryMs: number,
  moved = false,
): KeeperEffect => ({ kind: 'turnAway', ask: id, errorKind, text, retryMs, moved });

/** How long a request of a class waits with so many of its class ahead: for slots, and for its part of the ceiling. */
const waitFor = (state: Keeper, group: ClassName, ahead: number, room: number): number => {
  const share = Math.max(state.groups.get(group)?.share ?? 0, 1 / Math.max(1, room));
  const bySlots = (ahead / Math.max(1, room * share)) * state.typical;
  const rate = state.rules.perSecond;
  if (rate === undefined) return bySlots;
  let sum = shareOf(state, group);
  for (const name of state.waiting.keys()) if (name !== group) sum += shareOf(state, name);
  return Math.max(bySlots, (ahead / ((rate * shareOf(state, group)) / sum)) * 1000);
};

/** How long a request of a class that comes now would wait. */
const estimate = (state: Keeper, group: ClassName, now: Timestamp): number => {
  const ahead = state.waiting.get(group)?.length ?? 0;
  const room = totalRoom(state, now);
  if (room === 0) return ahead === 0 ? 0 : 500;
  return waitFor(state, group, ahead, room);
};

/** How long requests wait for an origin to come up at all, and when to ask again after that. */
const bareSpan = 1000;
const bareRetry = 500;
const isBare = (state: Keeper, now: Timestamp): boolean =>
  state.bare !== undefined && now - state.bare > bareSpan;

const onArrive = (state: Keeper, event: Extract<KeeperEvent, { kind: 'arrive' }>): Done => {
  const { now, id, group } = event;
  if (state.closing)
    return transition(state, away(id, 'rejected', 'the keeper is closing', 0, true));
  if (
    state.running.has(id) ||
    [...state.waiting.values()].some((list) => list.some((one) => one.id === id))
  )
    return transition(state);
  if (isBare(state, now))
    return transition(
      { ...state, sent: state.sent + 1 },
      away(id, event.again ? 'lost' : 'rejected', 'no origin for a while', bareRetry),
    );
  const wait = estimate(state, group, now);
  // Each class has a waitlist of its own: one that floods does not fill another's.
  if ((state.waiting.get(group)?.length ?? 0) >= state.rules.waitlist)
    return transition(state, away(id, 'rejected', 'the waitlist is full', Math.max(250, wait)));
  if (wait + Math.min(state.typical, event.left / 2) > event.left)
    return transition(
      state,
      away(id, 'rejected', 'the deadline can not be met', Math.max(250, wait)),
    );
  const load: Load = {
    id,
    group,
    repeatable: event.repeatable,
    came: now,
    until: addMs(now, event.left),
    legs: event.extra ? 1 : 0,
    tried: new Set(),
    begun: event.again,
  };
  const base = joinTurns({ ...state, sent: state.sent + 1 }, group);
  return pump(
    {
      ...base,
      waiting: withEntry(base.waiting, group, [...(base.waiting.get(group) ?? []), load]),
    },
    now,
  );
};

const endLeg = (state: Keeper, leg: Leg): Keeper => {
  const bay = state.bays.get(leg.instance);
  const bays =
    bay === undefined
      ? state.bays
      : !bay.up && bay.used <= 1
        ? withoutEntry(state.bays, leg.instance)
        : withEntry(state.bays, leg.instance, { ...bay, used: Math.max(0, bay.used - 1) });
  return { ...state, legs: withoutEntry(state.legs, leg.id), bays };
};

const others = (state: Keeper, ask: RequestId): readonly Leg[] =>
  [...state.legs.values()].filter((one) => one.ask === ask);

/** Whether another leg is allowed after one ended: nothing ran for certain, or running twice does no harm. */
const maySend = (load: Load, how: LegEnd): boolean =>
  how.end === 'unrun' || how.end === 'unopened' || load.repeatable;

const onEnded = (before: Keeper, event: Extract<KeeperEvent, { kind: 'ended' }>): Done => {
  const { now, how, ms } = event;
  const leg = before.legs.get(event.leg);
  if (leg === undefined) return transition(before);
  const judged = judgeBay(endLeg(before, leg), leg.instance, how, ms, now);
  const tried = judgeTrial(judged.state, leg.release, how, now);
  const effects: KeeperEffect[] = [...tried.effects];
  if (judged.barred !== undefined)
    effects.push({ kind: 'barred', instance: leg.instance, text: judged.barred });
  let state = tried.state;
  if (how.end === 'good') state = { ...state, typical: state.typical * 0.95 + ms * 0.05 };
  const load = state.running.get(leg.ask);
  if (load === undefined) return prependEffects(effects, pump(state, now));
  const left = others(state, leg.ask);
  const begun = load.begun || (how.end !== 'unrun' && how.end !== 'unopened');
  const settled = { ...state, running: withoutEntry(state.running, leg.ask) };
  if (
    how.end === 'good' ||
    (how.end === 'bad' &&
      (!load.repeatable ||
        load.legs >= maxLegs ||
        !mayExtra(state, now) ||
        pick(state, load, now) === undefined))
  ) {
    if (how.end === 'bad' && left.length > 0)
      return prependEffects(
        effects,
        pump({ ...state, running: withEntry(state.running, load.id, { ...load, begun }) }, now),
      );
    effects.push(
      { kind: 'use', leg: leg.id, ask: leg.ask },
      ...left.map((one): KeeperEffect => ({ kind: 'cut', leg: one.id })),
    );
    return prependEffects(effects, pump(settled, now));
  }
  if (left.length > 0)
    return prependEffects(
      effects,
      pump({ ...state, running: withEntry(state.running, load.id, { ...load, begun }) }, now),
    );
  if (state.closing && !begun && maySend(load, how))
    return prependEffects(
      effects,
      transition(settled, away(leg.ask, 'rejected', 'the keeper moved', 0, true)),
    );
  const again =
    !state.closing &&
    maySend(load, how) &&
    now < load.until &&
    load.legs < maxLegs &&
    mayExtra(state, now);
  if (again) {
    const list = [{ ...load, begun }, ...(settled.waiting.get(load.group) ?? [])];
    return prependEffects(
      effects,
      pump({ ...settled, waiting: withEntry(settled.waiting, load.group, list) }, now),
    );
  }
  const text =
    'text' in how
      ? how.text
      : how.end === 'unrun'
        ? 'the origin refused it unrun'
        : 'no result in time';
  effects.push(
    !begun
      ? away(leg.ask, 'rejected', text, 500)
      : away(leg.ask, how.end === 'slow' ? 'slow' : 'lost', text, 0),
  );
  return prependEffects(effects, pump(settled, now));
};

/** A result is on its way to the caller in parts: the other legs of its request end. */
const onStreaming = (state: Keeper, id: number): Done => {
  const ask = state.legs.get(id)?.ask ?? noAsk;
  const load = state.running.get(ask);
  if (load === undefined) return transition(state);
  const cuts = others(state, ask)
    .filter((one) => one.id !== id)
    .map((one): KeeperEffect => ({ kind: 'cut', leg: one.id }));
  return transition(
    {
      ...state,
      running: withEntry(state.running, ask, { ...load, repeatable: false, legs: maxLegs }),
    },
    ...cuts,
  );
};

const onQuit = (state: Keeper, id: RequestId, now: Timestamp): Done => {
  let waiting = state.waiting;
  for (const [group, list] of state.waiting) {
    if (list.some((one) => one.id === id))
      waiting = withEntry(
        waiting,
        group,
        list.filter((one) => one.id !== id),
      );
  }
  const load = state.running.get(id);
  // A leg that may have run an unsafe request is left to end; a repeatable one is cut to free its slot.
  const cuts =
    load?.repeatable === true
      ? others(state, id).map((one): KeeperEffect => ({ kind: 'cut', leg: one.id }))
      : [];
  const next = {
    ...state,
    waiting,
    running: load === undefined ? state.running : withoutEntry(state.running, id),
  };
  return prependEffects(cuts, pump(next, now));
};

/** The origins that may take a request at all, now or after a while. */
const usable = (state: Keeper): readonly Bay[] =>
  [...state.bays.values()].filter((bay) => bay.up && mayTry(state, bay.release));

/** Takes note of whether there is any. */
const noteBare = (state: Keeper, now: Timestamp): Keeper => {
  if (usable(state).length === 0) return state.bare === undefined ? { ...state, bare: now } : state;
  return state.bare === undefined ? state : { ...state, bare: undefined };
};

/** When the first origin that is passed over may be tried again; nothing if none is up. */
const firstOpen = (state: Keeper, now: Timestamp): number | undefined => {
  const open = usable(state).map((bay) =>
    bay.fit.probe === 'bad' ? now + state.rules.probe.everyMs : Math.max(now, bay.fit.barredUntil),
  );
  return open.length === 0 ? undefined : Math.min(...open);
};

/** Whether a waiting request can't be served in its time any more: then it is told at once, not at its deadline. */
const hopeless = (
  state: Keeper,
  load: Load,
  place: number,
  room: number,
  open: number | undefined,
  now: Timestamp,
): boolean => {
  if (now >= load.until - Math.min(state.typical, 50)) return true;
  if (open === undefined) return isBare(state, now);
  const wait = room === 0 ? 0 : waitFor(state, load.group, place, room);
  // Half the guess: what goes faster than thought is still served.
  return Math.max(now, open) + wait / 2 > load.until;
};

/** Ends what can't be served in its time, and says when to come back. */
const expire = (state: Keeper, now: Timestamp): Done => {
  let waiting = state.waiting;
  const effects: KeeperEffect[] = [];
  const room = totalRoom(state, now);
  const open = firstOpen(state, now);
  for (const [group, list] of state.waiting) {
    const late = list.filter((one, place) => hopeless(state, one, place, room, open, now));
    if (late.length === 0) continue;
    const rest = list.filter((one) => !late.includes(one));
    waiting = rest.length === 0 ? withoutEntry(waiting, group) : withEntry(waiting, group, rest);
    effects.push(
      ...late.map((one) =>
        one.begun
          ? away(one.id, 'lost', 'no further leg in time', 0)
          : away(one.id, 'rejected', 'no slot in time', Math.max(250, estimate(state, group, now))),
      ),
    );
  }
  return transition(waiting === state.waiting ? state : { ...state, waiting }, ...effects);
};

/** Sends a second leg for repeatable requests that take far longer than they should. */
const hedge = (before: Keeper, now: Timestamp): Done => {
  const span = before.rules.hedgeMs ?? Math.max(50, before.typical * 4);
  let next: Done = transition(before);
  for (const leg of before.legs.values()) {
    if (now - leg.since < span) continue;
    const load = next.state.running.get(leg.ask);
    if (
      load === undefined ||
      !load.repeatable ||
      load.legs >= 2 ||
      !open(next.state) ||
      !mayExtra(next.state, now)
    )
      continue;
    if (!mayRun(next.state, load.group, now)) continue;
    const bay = elect(
      next.state,
      (one) => !load.tried.has(one.instance) && mayTry(next.state, one.release),
      now,
    );
    if (bay !== undefined) next = prependEffects(next.effects, launch(next.state, load, bay, now));
  }
  return next;
};

/** Legs to origins that are known to be gone or judged bad get no new company; those under way end by themselves. */
const onClose = (state: Keeper): Done => {
  const effects = [...state.waiting.values()]
    .flat()
    .map((one) =>
      one.begun
        ? away(one.id, 'lost', 'the keeper moved', 0)
        : away(one.id, 'rejected', 'the keeper moved', 0, true),
    );
  return transition({ ...state, closing: true, waiting: new Map() }, ...effects);
};

const onTick = (state: Keeper, now: Timestamp): Done => {
  if (state.closing) return transition(state);
  const late = expire(noteBare(state, now), now);
  const trials = passTrials(late.state, now);
  const probes = passProbes(fill(trials.state, now), now);
  const pumped = pump(probes.state, now);
  return prependEffects(
    [...late.effects, ...trials.effects, ...probes.effects, ...pumped.effects],
    hedge(pumped.state, now),
  );
};

/** The keeper of a service: one function for every change of its state. */
export const keeperStep = (state: Keeper, event: KeeperEvent): Done => {
  switch (event.kind) {
    case 'arrive':
      return onArrive(state, event);
    case 'streaming':
      return onStreaming(state, event.leg);
    case 'ended':
      return onEnded(state, event);
    case 'quit':
      return onQuit(state, event.id, event.now);
    case 'origins': {
      const met = meetReleases(takeOrigins(state, event.origins, event.now), event.now);
      return prependEffects(met.effects, pump(noteBare(met.state, event.now), event.now));
    }
    case 'probed':
      return pump(judgeProbe(state, event.instance, event.good), event.now);
    case 'rules':
      return pump({ ...state, rules: event.rules, groups: event.groups }, event.now);
    case 'verdicts':
      return pump(takeVerdicts(state, event.verdicts, event.now), event.now);
    case 'tick':
      return onTick(state, event.now);
    case 'close':
      return onClose(state);
  }
};

/** Whether nothing of a keeper is under way any more. */
export const atRest = (state: Keeper): boolean => state.legs.size === 0;
