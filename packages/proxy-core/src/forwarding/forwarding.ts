import {
  type Address,
  type RequestId,
  type ErrorKind,
  type Timestamp,
  type Transition,
  withoutEntry,
  prependEffects,
  serviceLeaseOf,
  withEntry,
  transition,
  toDurationMs,
} from '@switchwheel/types';
import type { Forwarding, ForwardingEffect, ForwardingEvent, PendingForward } from './state.js';
import { maxForwardedRequests } from './state.js';

type ForwardingTransition = Transition<Forwarding, ForwardingEffect>;
/** How often a waiting request asks the keeper that is known again. */
const redispatchMs = 100;
/** How long a request waits for its service to have a keeper again: well over what a change of keeper takes. */
const leaderlessGraceMs = 2000;

/** A request of which an earlier leg may have run is never told as refused. */
const failRequest = (
  wagon: Pick<PendingForward, 'id' | 'mayHaveRun'>,
  errorKind: ErrorKind,
  text: string,
  retryMs: number,
): ForwardingEffect => ({
  kind: 'failRequest',
  id: wagon.id,
  errorKind: errorKind === 'rejected' && wagon.mayHaveRun ? 'lost' : errorKind,
  text,
  retryMs,
});
const endRequest = (state: Forwarding, id: RequestId): Forwarding => ({
  ...state,
  requests: withoutEntry(state.requests, id),
});

/** Sends a request to the keeper of its service, if one is known that has not just passed it back. */
const dispatch = (
  state: Forwarding,
  wagon: PendingForward,
  less: number,
  now: Timestamp,
): ForwardingTransition => {
  const keeper = state.leaseHolders.get(serviceLeaseOf(wagon.service));
  if (keeper === undefined || keeper.epoch < less) {
    const bare = withEntry(state.leaderless, wagon.service, {
      since: state.leaderless.get(wagon.service)?.since ?? now,
      tried: now,
    });
    return transition({
      ...state,
      leaderless: bare,
      requests: withEntry(state.requests, wagon.id, {
        ...wagon,
        phase: { stage: 'waiting', since: now },
      }),
    });
  }
  const to = keeper.door ?? keeper.address;
  const next: PendingForward = {
    ...wagon,
    phase: { stage: 'asked', keeper: to, epoch: keeper.epoch },
  };
  const {
    id,
    service,
    generation,
    route,
    className,
    method,
    host,
    path,
    fields,
    isIdempotent,
    isCacheable,
    mayHaveRun,
    attemptStarted,
    requiredPurgeSeq,
  } = next;
  return transition(
    { ...state, requests: withEntry(state.requests, wagon.id, next) },
    {
      kind: 'sendRequest',
      to,
      request: {
        kind: 'ask',
        id,
        service,
        generation,
        route,
        group: className,
        method,
        host,
        path,
        fields,
        repeatable: isIdempotent,
        storable: isCacheable,
        again: mayHaveRun,
        extra: attemptStarted,
        purged: requiredPurgeSeq,
        epoch: keeper.epoch,
        left: toDurationMs(Math.max(1, wagon.deadline - now)),
      },
    },
  );
};

const expired = (wagon: PendingForward): ForwardingEffect =>
  wagon.phase.stage === 'asked'
    ? failRequest(wagon, wagon.isIdempotent ? 'slow' : 'unknown', 'no result in time', 0)
    : failRequest(wagon, 'rejected', 'no keeper in time', 1000);

/** A keeper took a request of a service: it has one. */
const noteLeaderFound = (state: Forwarding, service: PendingForward['service']): Forwarding =>
  state.leaderless.has(service)
    ? { ...state, leaderless: withoutEntry(state.leaderless, service) }
    : state;

const onRequestAccepted = (
  state: Forwarding,
  wagon: Omit<PendingForward, 'phase' | 'mayHaveRun' | 'attemptStarted'>,
  now: Timestamp,
): ForwardingTransition => {
  const bare = state.leaderless.get(wagon.service);
  if (bare !== undefined && now - bare.since > leaderlessGraceMs) {
    // Now and then one is sent to see whether a keeper is there again; the others are told at once.
    if (now - bare.tried < redispatchMs)
      return transition(
        state,
        failRequest({ id: wagon.id, mayHaveRun: false }, 'rejected', 'no keeper for a while', 1000),
      );
    return dispatch(
      { ...state, leaderless: withEntry(state.leaderless, wagon.service, { ...bare, tried: now }) },
      {
        ...wagon,
        mayHaveRun: false,
        attemptStarted: false,
        phase: { stage: 'waiting', since: now },
      },
      0,
      now,
    );
  }
  let same = 0;
  for (const one of state.requests.values()) if (one.className === wagon.className) same += 1;
  if (state.requests.size >= maxForwardedRequests || same >= maxForwardedRequests / 2)
    return transition(
      state,
      failRequest(
        { id: wagon.id, mayHaveRun: false },
        'rejected',
        'too many requests are under way',
        1000,
      ),
    );
  return dispatch(
    state,
    { ...wagon, mayHaveRun: false, attemptStarted: false, phase: { stage: 'waiting', since: now } },
    0,
    now,
  );
};

const onLeaseHoldersChanged = (
  state: Forwarding,
  event: Extract<ForwardingEvent, { kind: 'leaseHoldersChanged' }>,
): ForwardingTransition => {
  let next: ForwardingTransition = transition({ ...state, leaseHolders: event.leaseHolders });
  for (const service of state.leaderless.keys()) {
    if (
      event.leaseHolders.get(serviceLeaseOf(service)) !==
      state.leaseHolders.get(serviceLeaseOf(service))
    )
      next = transition(noteLeaderFound(next.state, service));
  }
  for (const wagon of state.requests.values()) {
    const keeper = event.leaseHolders.get(serviceLeaseOf(wagon.service));
    if (
      keeper === undefined ||
      keeper === state.leaseHolders.get(serviceLeaseOf(wagon.service)) ||
      wagon.phase.stage === 'answering'
    )
      continue;
    if (wagon.phase.stage === 'waiting')
      next = prependEffects(next.effects, dispatch(next.state, wagon, 0, event.now));
    else if (wagon.isIdempotent && wagon.phase.epoch < keeper.epoch) {
      // The keeper that was asked holds the service no more and may be frozen: what may run twice is asked of the new one.
      const left: ForwardingEffect = {
        kind: 'cancelRequest',
        to: wagon.phase.keeper,
        id: wagon.id,
      };
      next = prependEffects(
        [...next.effects, left],
        dispatch(next.state, { ...wagon, mayHaveRun: true }, 0, event.now),
      );
    }
  }
  return next;
};

/** What to do with a request of which it is certain that nothing ran. */
const retryRequest = (
  state: Forwarding,
  wagon: PendingForward,
  less: number,
  now: Timestamp,
): ForwardingTransition =>
  now >= wagon.deadline
    ? transition(
        endRequest(state, wagon.id),
        failRequest(wagon, 'rejected', 'no keeper took it', 500),
      )
    : dispatch(state, wagon, less, now);

const onRequestRejected = (
  state: Forwarding,
  event: Extract<ForwardingEvent, { kind: 'requestRejected' }>,
): ForwardingTransition => {
  const { frame, now } = event;
  const wagon = state.requests.get(frame.id);
  if (wagon?.phase.stage !== 'asked' || wagon.phase.keeper !== event.from) return transition(state);
  if (frame.moved) return retryRequest(state, wagon, wagon.phase.epoch + 1, now);
  return transition(
    endRequest(noteLeaderFound(state, wagon.service), frame.id),
    failRequest(wagon, frame.errorKind, frame.text, frame.retryAfter),
  );
};

const onChannelLost = (
  state: Forwarding,
  keeper: Address,
  unsent: ReadonlySet<RequestId>,
  now: Timestamp,
): ForwardingTransition => {
  let next: ForwardingTransition = transition(state);
  for (const wagon of state.requests.values()) {
    if (wagon.phase.stage !== 'asked' || wagon.phase.keeper !== keeper) continue;
    const safe = unsent.has(wagon.id) || wagon.isIdempotent;
    next = prependEffects(
      next.effects,
      safe
        ? retryRequest(
            next.state,
            { ...wagon, mayHaveRun: wagon.mayHaveRun || !unsent.has(wagon.id) },
            wagon.phase.epoch + 1,
            now,
          )
        : transition(
            endRequest(next.state, wagon.id),
            failRequest(wagon, 'unknown', 'the channel to the keeper ended before a result', 0),
          ),
    );
  }
  return next;
};

const onTick = (state: Forwarding, now: Timestamp): ForwardingTransition => {
  let next: ForwardingTransition = transition(state);
  for (const wagon of state.requests.values()) {
    if (wagon.phase.stage === 'answering') continue;
    if (now >= wagon.deadline) {
      const cancel: readonly ForwardingEffect[] =
        wagon.phase.stage === 'asked'
          ? [{ kind: 'cancelRequest', to: wagon.phase.keeper, id: wagon.id }]
          : [];
      next = transition(
        endRequest(next.state, wagon.id),
        ...next.effects,
        ...cancel,
        expired(wagon),
      );
    } else if (
      wagon.phase.stage === 'waiting' &&
      now - (state.leaderless.get(wagon.service)?.since ?? now) > leaderlessGraceMs
    ) {
      next = transition(
        endRequest(next.state, wagon.id),
        ...next.effects,
        failRequest(wagon, 'rejected', 'no keeper for a while', 1000),
      );
    } else if (wagon.phase.stage === 'waiting' && now - wagon.phase.since > redispatchMs) {
      // Passed back by a keeper that is still the one known: it is asked again after a little while.
      next = prependEffects(next.effects, dispatch(next.state, wagon, 0, now));
    }
  }
  return next;
};

/** The edge's side of forwarding: one function for every change of its state. */
export const forwardingTransition = (
  state: Forwarding,
  event: ForwardingEvent,
): ForwardingTransition => {
  switch (event.kind) {
    case 'requestAccepted':
      return onRequestAccepted(state, event.request, event.now);
    case 'leaseHoldersChanged':
      return onLeaseHoldersChanged(state, event);
    case 'responseStarted': {
      const wagon = state.requests.get(event.frame.id);
      if (wagon?.phase.stage !== 'asked' || wagon.phase.keeper !== event.from)
        return transition(state);
      return transition(
        {
          ...noteLeaderFound(state, wagon.service),
          requests: withEntry(state.requests, wagon.id, {
            ...wagon,
            phase: { stage: 'answering', keeper: wagon.phase.keeper },
          }),
        },
        { kind: 'startResponse', to: event.from, id: wagon.id, frame: event.frame },
      );
    }
    case 'attemptStarted': {
      const wagon = state.requests.get(event.id);
      if (
        wagon?.phase.stage !== 'asked' ||
        wagon.phase.keeper !== event.from ||
        wagon.attemptStarted
      )
        return transition(state);
      return transition({
        ...noteLeaderFound(state, wagon.service),
        requests: withEntry(state.requests, wagon.id, { ...wagon, attemptStarted: true }),
      });
    }
    case 'requestRejected':
      return onRequestRejected(state, event);
    case 'responseCompleted':
      return transition(endRequest(state, event.id));
    case 'channelLost':
      return onChannelLost(state, event.leader, event.unsentIds, event.now);
    case 'requestCancelled': {
      const wagon = state.requests.get(event.id);
      if (wagon === undefined) return transition(state);
      return transition(
        endRequest(state, event.id),
        ...(wagon.phase.stage === 'waiting'
          ? []
          : [{ kind: 'cancelRequest' as const, to: wagon.phase.keeper, id: event.id }]),
        // Of what was asked of a keeper nobody can say that it did not run.
        failRequest(
          wagon,
          wagon.phase.stage === 'waiting' ? 'rejected' : 'unknown',
          event.text,
          wagon.phase.stage === 'waiting' ? 1000 : 0,
        ),
      );
    }
    case 'nodeDisconnected': {
      const waiting = [...state.requests.values()].filter((one) => one.phase.stage === 'waiting');
      return transition(
        waiting.reduce((next, one) => endRequest(next, one.id), state),
        ...waiting.map((one) => failRequest(one, 'rejected', 'this node is out of touch', 1000)),
      );
    }
    case 'tick':
      return onTick(state, event.now);
  }
};
