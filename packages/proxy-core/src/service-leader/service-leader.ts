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
import {
  pickEndpoint,
  recordOutcome,
  recordHealthCheck,
  updateEndpoints,
  totalCapacity,
} from './endpoints.js';
import { hasToken, refillTokens, tokensAfterSend } from './rate-limit.js';
import type {
  Endpoint,
  ServiceLeader,
  ServiceLeaderEffect,
  ServiceLeaderEvent,
  Attempt,
  AttemptOutcome,
  PendingRequest,
} from './state.js';
import { startDueHealthChecks } from './health-checks.js';
import {
  recordCanaryOutcome,
  mayReceiveTraffic,
  startCanaries,
  advanceCanaries,
  countCanaryRequest,
  applyCanaryResults,
} from './canary.js';
import { addToWindow, windowSum } from './sliding-window.js';

type LeaderTransition = Transition<ServiceLeader, ServiceLeaderEffect>;
/** The rules are a fifth and sixty; what is used stays below, for what a keeper before may have spent. */
const extraAttemptShare = 0.15;
const extraAttemptBase = 35;
/** What a new keeper may use of it at once: half of what the one before it may have used, if that is as new. */
const newLeaderExtraBase = 12;
const extraAttemptWindowMs = 10_000;
const maxAttempts = 3;
const noRequest: RequestId = toRequestId('none');

/** Whether one more leg may be sent beyond each request's first. */
export const hasExtraAttemptBudget = (state: ServiceLeader, now: Timestamp): boolean => {
  const base =
    now - state.startedAt < extraAttemptWindowMs
      ? Math.floor(newLeaderExtraBase / 2 ** (state.recentLeaderCount - 1))
      : extraAttemptBase;
  return (
    windowSum(state.recentExtraAttempts, now) + 1 <=
    base + extraAttemptShare * windowSum(state.recentRequests, now)
  );
};

const attemptsByClass = (state: ServiceLeader): ReadonlyMap<ClassName, number> => {
  const count = new Map<ClassName, number>();
  for (const leg of state.attempts.values()) {
    const load = state.activeRequests.get(leg.requestId);
    if (load !== undefined) increment(count, load.className);
  }
  return count;
};

/** What must stay free for the other classes while one more request of this class is let in. */
const reservedSlots = (
  state: ServiceLeader,
  group: ClassName,
  room: number,
  used: ReadonlyMap<ClassName, number>,
): number => {
  let sum = 0;
  for (const [name, one] of state.classes) {
    if (name === group) continue;
    const share = Math.floor(one.share * room + 1e-9);
    const idle = Math.max(0, share - (used.get(name) ?? 0));
    const waits = (state.queues.get(name)?.length ?? 0) > 0;
    // A lender with nobody waiting lends all but one slot, so that its next request finds one.
    sum += one.lendsTo.includes(group) && !waits ? Math.min(1, idle) : idle;
  }
  return sum;
};

const mayAdmit = (state: ServiceLeader, group: ClassName, now: Timestamp): boolean => {
  const room = totalCapacity(state, now);
  const free = room - state.attempts.size;
  if (free <= 0) return false;
  const own = state.classes.get(group);
  const used = attemptsByClass(state);
  if (
    own !== undefined &&
    (used.get(group) ?? 0) < Math.max(1, Math.floor(own.share * room + 1e-9))
  )
    return true;
  return free > reservedSlots(state, group, room, used);
};

const startAttempt = (
  state: ServiceLeader,
  load: PendingRequest,
  bay: Endpoint,
  now: Timestamp,
): LeaderTransition => {
  const leg: Attempt = {
    id: state.nextAttemptId,
    requestId: load.id,
    instance: bay.instance,
    release: bay.release,
    startedAt: now,
  };
  const extra = load.attemptCount > 0;
  const next: ServiceLeader = {
    ...countCanaryRequest(state, bay.release),
    nextAttemptId: state.nextAttemptId + 1,
    attempts: withEntry(state.attempts, leg.id, leg),
    endpoints: withEntry(state.endpoints, bay.instance, {
      ...bay,
      activeAttempts: bay.activeAttempts + 1,
      lastAttemptId: leg.id,
    }),
    activeRequests: withEntry(state.activeRequests, load.id, {
      ...load,
      attemptCount: load.attemptCount + 1,
      triedInstances: new Set([...load.triedInstances, bay.instance]),
    }),
    tokens: tokensAfterSend(state),
    recentRequests: extra ? state.recentRequests : addToWindow(state.recentRequests, now, 1),
    recentExtraAttempts: extra
      ? addToWindow(state.recentExtraAttempts, now, 1)
      : state.recentExtraAttempts,
  };
  return transition(next, {
    kind: 'startAttempt',
    attemptId: leg.id,
    requestId: load.id,
    instance: bay.instance,
    address: bay.address,
    release: bay.release,
    timeoutMs: Math.max(1, load.deadline - now),
  });
};

const canSend = (state: ServiceLeader): boolean => !state.isClosing && hasToken(state);

const pickForRequest = (
  state: ServiceLeader,
  load: PendingRequest,
  now: Timestamp,
): Endpoint | undefined =>
  pickEndpoint(
    state,
    (bay) => !load.triedInstances.has(bay.instance) && mayReceiveTraffic(state, bay.release),
    now,
  ) ??
  (load.mayHaveRun
    ? undefined
    : pickEndpoint(state, (bay) => mayReceiveTraffic(state, bay.release), now));

const minClassShare = 0.05;
const classShare = (state: ServiceLeader, group: ClassName): number =>
  Math.max(minClassShare, state.classes.get(group)?.share ?? 0);
const rateUsageOf = (state: ServiceLeader, group: ClassName): number =>
  state.rateUsage.get(group) ?? 0;

/** The classes that wait, in the order of their turns: under a ceiling whoever has had least of it for its share goes first. */
const classTurnOrder = (state: ServiceLeader): readonly ClassName[] => {
  const names = [...state.queues.keys()];
  return state.serviceConfiguration.perSecond === undefined
    ? names
    : names.sort((one, two) => rateUsageOf(state, one) - rateUsageOf(state, two));
};

/** A class that begins to wait has no claim on turns from before. */
const enterTurnOrder = (state: ServiceLeader, group: ClassName): ServiceLeader => {
  if (state.serviceConfiguration.perSecond === undefined || state.queues.has(group)) return state;
  const others = [...state.queues.keys()].map((name) => rateUsageOf(state, name));
  return {
    ...state,
    rateUsage:
      others.length === 0
        ? new Map()
        : withEntry(
            state.rateUsage,
            group,
            Math.max(rateUsageOf(state, group), Math.min(...others)),
          ),
  };
};

/** Lets in what may run, class by class, each in its order. */
const admitQueued = (before: ServiceLeader, now: Timestamp): LeaderTransition => {
  let next: LeaderTransition = transition(refillTokens(before, now));
  for (let moved = true; moved;) {
    moved = false;
    for (const group of classTurnOrder(next.state)) {
      const list = next.state.queues.get(group) ?? [];
      if (!canSend(next.state) || !mayAdmit(next.state, group, now)) continue;
      const spare = hasExtraAttemptBudget(next.state, now);
      const load = list.find((one) => one.attemptCount === 0 || spare);
      if (load === undefined) continue;
      const bay = pickForRequest(next.state, load, now);
      if (bay === undefined) continue;
      const rest = list.filter((one) => one !== load);
      const waiting =
        rest.length === 0
          ? withoutEntry(next.state.queues, group)
          : withEntry(next.state.queues, group, rest);
      const paid = withEntry(
        next.state.rateUsage,
        group,
        rateUsageOf(next.state, group) + 1 / classShare(next.state, group),
      );
      next = prependEffects(
        next.effects,
        startAttempt({ ...next.state, queues: waiting, rateUsage: paid }, load, bay, now),
      );
      moved = true;
      if (next.state.serviceConfiguration.perSecond !== undefined) break;
    }
  }
  return next;
};

const rejectRequest = (
  id: RequestId,
  errorKind: 'rejected' | 'unknown' | 'slow' | 'lost',
  text: string,
  retryMs: number,
  moved = false,
): ServiceLeaderEffect => ({
  kind: 'rejectRequest',
  requestId: id,
  errorKind,
  text,
  retryMs,
  leaderMoved: moved,
});

/** How long a request of a class waits with so many of its class ahead: for slots, and for its part of the ceiling. */
const queueWaitMs = (
  state: ServiceLeader,
  group: ClassName,
  ahead: number,
  room: number,
): number => {
  const share = Math.max(state.classes.get(group)?.share ?? 0, 1 / Math.max(1, room));
  const bySlots = (ahead / Math.max(1, room * share)) * state.latencyEwmaMs;
  const rate = state.serviceConfiguration.perSecond;
  if (rate === undefined) return bySlots;
  let sum = classShare(state, group);
  for (const name of state.queues.keys()) if (name !== group) sum += classShare(state, name);
  return Math.max(bySlots, (ahead / ((rate * classShare(state, group)) / sum)) * 1000);
};

/** How long a request of a class that comes now would wait. */
const estimatedWaitMs = (state: ServiceLeader, group: ClassName, now: Timestamp): number => {
  const ahead = state.queues.get(group)?.length ?? 0;
  const room = totalCapacity(state, now);
  if (room === 0) return ahead === 0 ? 0 : 500;
  return queueWaitMs(state, group, ahead, room);
};

/** How long requests wait for an origin to come up at all, and when to ask again after that. */
const noEndpointGraceMs = 1000;
const noEndpointRetryMs = 500;
const isWithoutEndpoints = (state: ServiceLeader, now: Timestamp): boolean =>
  state.noEndpointSince !== undefined && now - state.noEndpointSince > noEndpointGraceMs;

const onRequestArrived = (
  state: ServiceLeader,
  event: Extract<ServiceLeaderEvent, { kind: 'requestArrived' }>,
): LeaderTransition => {
  const { now, id, className } = event;
  if (state.isClosing)
    return transition(state, rejectRequest(id, 'rejected', 'the keeper is closing', 0, true));
  if (
    state.activeRequests.has(id) ||
    [...state.queues.values()].some((list) => list.some((one) => one.id === id))
  )
    return transition(state);
  if (isWithoutEndpoints(state, now))
    return transition(
      { ...state, requestCount: state.requestCount + 1 },
      rejectRequest(
        id,
        event.mayHaveRun ? 'lost' : 'rejected',
        'no origin for a while',
        noEndpointRetryMs,
      ),
    );
  const wait = estimatedWaitMs(state, className, now);
  // Each class has a waitlist of its own: one that floods does not fill another's.
  if ((state.queues.get(className)?.length ?? 0) >= state.serviceConfiguration.waitlist)
    return transition(
      state,
      rejectRequest(id, 'rejected', 'the waitlist is full', Math.max(250, wait)),
    );
  if (wait + Math.min(state.latencyEwmaMs, event.remainingMs / 2) > event.remainingMs)
    return transition(
      state,
      rejectRequest(id, 'rejected', 'the deadline can not be met', Math.max(250, wait)),
    );
  const load: PendingRequest = {
    id,
    className,
    isIdempotent: event.isIdempotent,
    arrivedAt: now,
    deadline: addMs(now, event.remainingMs),
    attemptCount: event.hasEarlierAttempt ? 1 : 0,
    triedInstances: new Set(),
    mayHaveRun: event.mayHaveRun,
  };
  const base = enterTurnOrder({ ...state, requestCount: state.requestCount + 1 }, className);
  return admitQueued(
    {
      ...base,
      queues: withEntry(base.queues, className, [...(base.queues.get(className) ?? []), load]),
    },
    now,
  );
};

const removeAttempt = (state: ServiceLeader, leg: Attempt): ServiceLeader => {
  const bay = state.endpoints.get(leg.instance);
  const bays =
    bay === undefined
      ? state.endpoints
      : !bay.isLive && bay.activeAttempts <= 1
        ? withoutEntry(state.endpoints, leg.instance)
        : withEntry(state.endpoints, leg.instance, {
            ...bay,
            activeAttempts: Math.max(0, bay.activeAttempts - 1),
          });
  return { ...state, attempts: withoutEntry(state.attempts, leg.id), endpoints: bays };
};

const attemptsOf = (state: ServiceLeader, ask: RequestId): readonly Attempt[] =>
  [...state.attempts.values()].filter((one) => one.requestId === ask);

/** Whether another leg is allowed after one ended: nothing ran for certain, or running twice does no harm. */
const mayRetry = (load: PendingRequest, how: AttemptOutcome): boolean =>
  how.kind === 'unrun' || how.kind === 'unopened' || load.isIdempotent;

const onAttemptEnded = (
  before: ServiceLeader,
  event: Extract<ServiceLeaderEvent, { kind: 'attemptEnded' }>,
): LeaderTransition => {
  const { now, outcome, durationMs } = event;
  const leg = before.attempts.get(event.attemptId);
  if (leg === undefined) return transition(before);
  const judged = recordOutcome(removeAttempt(before, leg), leg.instance, outcome, durationMs, now);
  const tried = recordCanaryOutcome(judged.state, leg.release, outcome, now);
  const effects: ServiceLeaderEffect[] = [...tried.effects];
  if (judged.barred !== undefined)
    effects.push({ kind: 'reportEjection', instance: leg.instance, text: judged.barred });
  let state = tried.state;
  if (outcome.kind === 'good')
    state = { ...state, latencyEwmaMs: state.latencyEwmaMs * 0.95 + durationMs * 0.05 };
  const load = state.activeRequests.get(leg.requestId);
  if (load === undefined) return prependEffects(effects, admitQueued(state, now));
  const left = attemptsOf(state, leg.requestId);
  const begun = load.mayHaveRun || (outcome.kind !== 'unrun' && outcome.kind !== 'unopened');
  const settled = { ...state, activeRequests: withoutEntry(state.activeRequests, leg.requestId) };
  if (
    outcome.kind === 'good' ||
    (outcome.kind === 'bad' &&
      (!load.isIdempotent ||
        load.attemptCount >= maxAttempts ||
        !hasExtraAttemptBudget(state, now) ||
        pickForRequest(state, load, now) === undefined))
  ) {
    if (outcome.kind === 'bad' && left.length > 0)
      return prependEffects(
        effects,
        admitQueued(
          {
            ...state,
            activeRequests: withEntry(state.activeRequests, load.id, {
              ...load,
              mayHaveRun: begun,
            }),
          },
          now,
        ),
      );
    effects.push(
      { kind: 'useResponse', attemptId: leg.id, requestId: leg.requestId },
      ...left.map((one): ServiceLeaderEffect => ({ kind: 'cancelAttempt', attemptId: one.id })),
    );
    return prependEffects(effects, admitQueued(settled, now));
  }
  if (left.length > 0)
    return prependEffects(
      effects,
      admitQueued(
        {
          ...state,
          activeRequests: withEntry(state.activeRequests, load.id, { ...load, mayHaveRun: begun }),
        },
        now,
      ),
    );
  if (state.isClosing && !begun && mayRetry(load, outcome))
    return prependEffects(
      effects,
      transition(settled, rejectRequest(leg.requestId, 'rejected', 'the keeper moved', 0, true)),
    );
  const again =
    !state.isClosing &&
    mayRetry(load, outcome) &&
    now < load.deadline &&
    load.attemptCount < maxAttempts &&
    hasExtraAttemptBudget(state, now);
  if (again) {
    const list = [{ ...load, mayHaveRun: begun }, ...(settled.queues.get(load.className) ?? [])];
    return prependEffects(
      effects,
      admitQueued({ ...settled, queues: withEntry(settled.queues, load.className, list) }, now),
    );
  }
  const text =
    'text' in outcome
      ? outcome.text
      : outcome.kind === 'unrun'
        ? 'the origin refused it unrun'
        : 'no result in time';
  effects.push(
    !begun
      ? rejectRequest(leg.requestId, 'rejected', text, 500)
      : rejectRequest(leg.requestId, outcome.kind === 'slow' ? 'slow' : 'lost', text, 0),
  );
  return prependEffects(effects, admitQueued(settled, now));
};

/** A result is on its way to the caller in parts: the other legs of its request end. */
const onStreamingStarted = (state: ServiceLeader, id: number): LeaderTransition => {
  const ask = state.attempts.get(id)?.requestId ?? noRequest;
  const load = state.activeRequests.get(ask);
  if (load === undefined) return transition(state);
  const cuts = attemptsOf(state, ask)
    .filter((one) => one.id !== id)
    .map((one): ServiceLeaderEffect => ({ kind: 'cancelAttempt', attemptId: one.id }));
  return transition(
    {
      ...state,
      activeRequests: withEntry(state.activeRequests, ask, {
        ...load,
        isIdempotent: false,
        attemptCount: maxAttempts,
      }),
    },
    ...cuts,
  );
};

const onRequestCancelled = (
  state: ServiceLeader,
  id: RequestId,
  now: Timestamp,
): LeaderTransition => {
  let waiting = state.queues;
  for (const [group, list] of state.queues) {
    if (list.some((one) => one.id === id))
      waiting = withEntry(
        waiting,
        group,
        list.filter((one) => one.id !== id),
      );
  }
  const load = state.activeRequests.get(id);
  // A leg that may have run an unsafe request is left to end; a repeatable one is cut to free its slot.
  const cuts =
    load?.isIdempotent === true
      ? attemptsOf(state, id).map((one): ServiceLeaderEffect => ({
          kind: 'cancelAttempt',
          attemptId: one.id,
        }))
      : [];
  const next = {
    ...state,
    queues: waiting,
    activeRequests:
      load === undefined ? state.activeRequests : withoutEntry(state.activeRequests, id),
  };
  return prependEffects(cuts, admitQueued(next, now));
};

/** The origins that may take a request at all, now or after a while. */
const usableEndpoints = (state: ServiceLeader): readonly Endpoint[] =>
  [...state.endpoints.values()].filter(
    (bay) => bay.isLive && mayReceiveTraffic(state, bay.release),
  );

/** Takes note of whether there is any. */
const noteEndpointAvailability = (state: ServiceLeader, now: Timestamp): ServiceLeader => {
  if (usableEndpoints(state).length === 0)
    return state.noEndpointSince === undefined ? { ...state, noEndpointSince: now } : state;
  return state.noEndpointSince === undefined ? state : { ...state, noEndpointSince: undefined };
};

/** When the first origin that is passed over may be tried again; nothing if none is up. */
const nextAvailableAt = (state: ServiceLeader, now: Timestamp): number | undefined => {
  const open = usableEndpoints(state).map((bay) =>
    bay.health.healthCheck === 'bad'
      ? now + state.serviceConfiguration.probe.everyMs
      : Math.max(now, bay.health.ejectedUntil),
  );
  return open.length === 0 ? undefined : Math.min(...open);
};

/** Whether a waiting request can't be served in its time any more: then it is told at once, not at its deadline. */
const cannotMeetDeadline = (
  state: ServiceLeader,
  load: PendingRequest,
  place: number,
  room: number,
  open: number | undefined,
  now: Timestamp,
): boolean => {
  if (now >= load.deadline - Math.min(state.latencyEwmaMs, 50)) return true;
  if (open === undefined) return isWithoutEndpoints(state, now);
  const wait = room === 0 ? 0 : queueWaitMs(state, load.className, place, room);
  // Half the guess: what goes faster than thought is still served.
  return Math.max(now, open) + wait / 2 > load.deadline;
};

/** Ends what can't be served in its time, and says when to come back. */
const rejectUnservable = (state: ServiceLeader, now: Timestamp): LeaderTransition => {
  let waiting = state.queues;
  const effects: ServiceLeaderEffect[] = [];
  const room = totalCapacity(state, now);
  const open = nextAvailableAt(state, now);
  for (const [group, list] of state.queues) {
    const late = list.filter((one, place) =>
      cannotMeetDeadline(state, one, place, room, open, now),
    );
    if (late.length === 0) continue;
    const rest = list.filter((one) => !late.includes(one));
    waiting = rest.length === 0 ? withoutEntry(waiting, group) : withEntry(waiting, group, rest);
    effects.push(
      ...late.map((one) =>
        one.mayHaveRun
          ? rejectRequest(one.id, 'lost', 'no further leg in time', 0)
          : rejectRequest(
              one.id,
              'rejected',
              'no slot in time',
              Math.max(250, estimatedWaitMs(state, group, now)),
            ),
      ),
    );
  }
  return transition(waiting === state.queues ? state : { ...state, queues: waiting }, ...effects);
};

/** Sends a second leg for repeatable requests that take far longer than they should. */
const hedgeSlowAttempts = (before: ServiceLeader, now: Timestamp): LeaderTransition => {
  const span = before.serviceConfiguration.hedgeMs ?? Math.max(50, before.latencyEwmaMs * 4);
  let next: LeaderTransition = transition(before);
  for (const leg of before.attempts.values()) {
    if (now - leg.startedAt < span) continue;
    const load = next.state.activeRequests.get(leg.requestId);
    if (
      load === undefined ||
      !load.isIdempotent ||
      load.attemptCount >= 2 ||
      !canSend(next.state) ||
      !hasExtraAttemptBudget(next.state, now)
    )
      continue;
    if (!mayAdmit(next.state, load.className, now)) continue;
    const bay = pickEndpoint(
      next.state,
      (one) => !load.triedInstances.has(one.instance) && mayReceiveTraffic(next.state, one.release),
      now,
    );
    if (bay !== undefined)
      next = prependEffects(next.effects, startAttempt(next.state, load, bay, now));
  }
  return next;
};

/** Legs to origins that are known to be gone or judged bad get no new company; those under way end by themselves. */
const onLeadershipEnded = (state: ServiceLeader): LeaderTransition => {
  const effects = [...state.queues.values()]
    .flat()
    .map((one) =>
      one.mayHaveRun
        ? rejectRequest(one.id, 'lost', 'the keeper moved', 0)
        : rejectRequest(one.id, 'rejected', 'the keeper moved', 0, true),
    );
  return transition({ ...state, isClosing: true, queues: new Map() }, ...effects);
};

const onTick = (state: ServiceLeader, now: Timestamp): LeaderTransition => {
  if (state.isClosing) return transition(state);
  const late = rejectUnservable(noteEndpointAvailability(state, now), now);
  const trials = advanceCanaries(late.state, now);
  const probes = startDueHealthChecks(refillTokens(trials.state, now), now);
  const pumped = admitQueued(probes.state, now);
  return prependEffects(
    [...late.effects, ...trials.effects, ...probes.effects, ...pumped.effects],
    hedgeSlowAttempts(pumped.state, now),
  );
};

/** The keeper of a service: one function for every change of its state. */
export const serviceLeaderTransition = (
  state: ServiceLeader,
  event: ServiceLeaderEvent,
): LeaderTransition => {
  switch (event.kind) {
    case 'requestArrived':
      return onRequestArrived(state, event);
    case 'streamingStarted':
      return onStreamingStarted(state, event.attemptId);
    case 'attemptEnded':
      return onAttemptEnded(state, event);
    case 'requestCancelled':
      return onRequestCancelled(state, event.id, event.now);
    case 'originsUpdated': {
      const met = startCanaries(updateEndpoints(state, event.origins, event.now), event.now);
      return prependEffects(
        met.effects,
        admitQueued(noteEndpointAvailability(met.state, event.now), event.now),
      );
    }
    case 'healthChecked':
      return admitQueued(recordHealthCheck(state, event.instance, event.isHealthy), event.now);
    case 'configurationChanged':
      return admitQueued(
        { ...state, serviceConfiguration: event.serviceConfiguration, classes: event.classes },
        event.now,
      );
    case 'canaryResultsUpdated':
      return admitQueued(applyCanaryResults(state, event.canaryResults, event.now), event.now);
    case 'tick':
      return onTick(state, event.now);
    case 'leadershipEnded':
      return onLeadershipEnded(state);
  }
};

/** Whether nothing of a keeper is under way any more. */
export const isIdle = (state: ServiceLeader): boolean => state.attempts.size === 0;
