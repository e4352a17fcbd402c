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
import type { Forward, ForwardEffect, ForwardEvent, Wagon } from './state.js';
import { maxWagons } from './state.js';

type Done = Transition<Forward, ForwardEffect>;
/** How often a waiting request asks the keeper that is known again. */
const askAgain = 100;
/** How long a request waits for its service to have a keeper again: well over what a change of keeper takes. */
const strandSpan = 2000;

/** A request of which an earlier leg may have run is never told as refused. */
const fail = (
  wagon: Pick<Wagon, 'id' | 'again'>,
  errorKind: ErrorKind,
  text: string,
  retryMs: number,
): ForwardEffect => ({
  kind: 'fail',
  id: wagon.id,
  errorKind: errorKind === 'rejected' && wagon.again ? 'lost' : errorKind,
  text,
  retryMs,
});
const end = (state: Forward, id: RequestId): Forward => ({
  ...state,
  wagons: withoutEntry(state.wagons, id),
});

/** Sends a request to the keeper of its service, if one is known that has not just passed it back. */
const dispatch = (state: Forward, wagon: Wagon, less: number, now: Timestamp): Done => {
  const keeper = state.keepers.get(serviceLeaseOf(wagon.service));
  if (keeper === undefined || keeper.epoch < less) {
    const bare = withEntry(state.bare, wagon.service, {
      since: state.bare.get(wagon.service)?.since ?? now,
      tried: now,
    });
    return transition({
      ...state,
      bare,
      wagons: withEntry(state.wagons, wagon.id, {
        ...wagon,
        stage: { stage: 'waiting', since: now },
      }),
    });
  }
  const to = keeper.door ?? keeper.address;
  const next: Wagon = { ...wagon, stage: { stage: 'asked', keeper: to, epoch: keeper.epoch } };
  const {
    id,
    service,
    generation,
    route,
    group,
    method,
    host,
    path,
    fields,
    repeatable,
    storable,
    again,
    begun,
    purged,
  } = next;
  return transition(
    { ...state, wagons: withEntry(state.wagons, wagon.id, next) },
    {
      kind: 'ask',
      to,
      ask: {
        kind: 'ask',
        id,
        service,
        generation,
        route,
        group,
        method,
        host,
        path,
        fields,
        repeatable,
        storable,
        again,
        extra: begun,
        purged,
        epoch: keeper.epoch,
        left: toDurationMs(Math.max(1, wagon.until - now)),
      },
    },
  );
};

const late = (wagon: Wagon): ForwardEffect =>
  wagon.stage.stage === 'asked'
    ? fail(wagon, wagon.repeatable ? 'slow' : 'unknown', 'no result in time', 0)
    : fail(wagon, 'rejected', 'no keeper in time', 1000);

/** A keeper took a request of a service: it has one. */
const found = (state: Forward, service: Wagon['service']): Forward =>
  state.bare.has(service) ? { ...state, bare: withoutEntry(state.bare, service) } : state;

const onTake = (
  state: Forward,
  wagon: Omit<Wagon, 'stage' | 'again' | 'begun'>,
  now: Timestamp,
): Done => {
  const bare = state.bare.get(wagon.service);
  if (bare !== undefined && now - bare.since > strandSpan) {
    // Now and then one is sent to see whether a keeper is there again; the others are told at once.
    if (now - bare.tried < askAgain)
      return transition(
        state,
        fail({ id: wagon.id, again: false }, 'rejected', 'no keeper for a while', 1000),
      );
    return dispatch(
      { ...state, bare: withEntry(state.bare, wagon.service, { ...bare, tried: now }) },
      { ...wagon, again: false, begun: false, stage: { stage: 'waiting', since: now } },
      0,
      now,
    );
  }
  let same = 0;
  for (const one of state.wagons.values()) if (one.group === wagon.group) same += 1;
  if (state.wagons.size >= maxWagons || same >= maxWagons / 2)
    return transition(
      state,
      fail({ id: wagon.id, again: false }, 'rejected', 'too many requests are under way', 1000),
    );
  return dispatch(
    state,
    { ...wagon, again: false, begun: false, stage: { stage: 'waiting', since: now } },
    0,
    now,
  );
};

const onKeepers = (state: Forward, event: Extract<ForwardEvent, { kind: 'keepers' }>): Done => {
  let next: Done = transition({ ...state, keepers: event.keepers });
  for (const service of state.bare.keys()) {
    if (event.keepers.get(serviceLeaseOf(service)) !== state.keepers.get(serviceLeaseOf(service)))
      next = transition(found(next.state, service));
  }
  for (const wagon of state.wagons.values()) {
    const keeper = event.keepers.get(serviceLeaseOf(wagon.service));
    if (
      keeper === undefined ||
      keeper === state.keepers.get(serviceLeaseOf(wagon.service)) ||
      wagon.stage.stage === 'answering'
    )
      continue;
    if (wagon.stage.stage === 'waiting')
      next = prependEffects(next.effects, dispatch(next.state, wagon, 0, event.now));
    else if (wagon.repeatable && wagon.stage.epoch < keeper.epoch) {
      // The keeper that was asked holds the service no more and may be frozen: what may run twice is asked of the new one.
      const left: ForwardEffect = { kind: 'cancel', to: wagon.stage.keeper, id: wagon.id };
      next = prependEffects(
        [...next.effects, left],
        dispatch(next.state, { ...wagon, again: true }, 0, event.now),
      );
    }
  }
  return next;
};

/** What to do with a request of which it is certain that nothing ran. */
const retry = (state: Forward, wagon: Wagon, less: number, now: Timestamp): Done =>
  now >= wagon.until
    ? transition(end(state, wagon.id), fail(wagon, 'rejected', 'no keeper took it', 500))
    : dispatch(state, wagon, less, now);

const onBounce = (state: Forward, event: Extract<ForwardEvent, { kind: 'reject' }>): Done => {
  const { frame, now } = event;
  const wagon = state.wagons.get(frame.id);
  if (wagon?.stage.stage !== 'asked' || wagon.stage.keeper !== event.from) return transition(state);
  if (frame.moved) return retry(state, wagon, wagon.stage.epoch + 1, now);
  return transition(
    end(found(state, wagon.service), frame.id),
    fail(wagon, frame.errorKind, frame.text, frame.retryAfter),
  );
};

const onLost = (
  state: Forward,
  keeper: Address,
  unsent: ReadonlySet<RequestId>,
  now: Timestamp,
): Done => {
  let next: Done = transition(state);
  for (const wagon of state.wagons.values()) {
    if (wagon.stage.stage !== 'asked' || wagon.stage.keeper !== keeper) continue;
    const safe = unsent.has(wagon.id) || wagon.repeatable;
    next = prependEffects(
      next.effects,
      safe
        ? retry(
            next.state,
            { ...wagon, again: wagon.again || !unsent.has(wagon.id) },
            wagon.stage.epoch + 1,
            now,
          )
        : transition(
            end(next.state, wagon.id),
            fail(wagon, 'unknown', 'the channel to the keeper ended before a result', 0),
          ),
    );
  }
  return next;
};

const onTick = (state: Forward, now: Timestamp): Done => {
  let next: Done = transition(state);
  for (const wagon of state.wagons.values()) {
    if (wagon.stage.stage === 'answering') continue;
    if (now >= wagon.until) {
      const cancel: readonly ForwardEffect[] =
        wagon.stage.stage === 'asked'
          ? [{ kind: 'cancel', to: wagon.stage.keeper, id: wagon.id }]
          : [];
      next = transition(end(next.state, wagon.id), ...next.effects, ...cancel, late(wagon));
    } else if (
      wagon.stage.stage === 'waiting' &&
      now - (state.bare.get(wagon.service)?.since ?? now) > strandSpan
    ) {
      next = transition(
        end(next.state, wagon.id),
        ...next.effects,
        fail(wagon, 'rejected', 'no keeper for a while', 1000),
      );
    } else if (wagon.stage.stage === 'waiting' && now - wagon.stage.since > askAgain) {
      // Passed back by a keeper that is still the one known: it is asked again after a little while.
      next = prependEffects(next.effects, dispatch(next.state, wagon, 0, now));
    }
  }
  return next;
};

/** The edge's side of forwarding: one function for every change of its state. */
export const forwardStep = (state: Forward, event: ForwardEvent): Done => {
  switch (event.kind) {
    case 'take':
      return onTake(state, event.wagon, event.now);
    case 'keepers':
      return onKeepers(state, event);
    case 'result': {
      const wagon = state.wagons.get(event.frame.id);
      if (wagon?.stage.stage !== 'asked' || wagon.stage.keeper !== event.from)
        return transition(state);
      return transition(
        {
          ...found(state, wagon.service),
          wagons: withEntry(state.wagons, wagon.id, {
            ...wagon,
            stage: { stage: 'answering', keeper: wagon.stage.keeper },
          }),
        },
        { kind: 'begin', to: event.from, id: wagon.id, frame: event.frame },
      );
    }
    case 'begun': {
      const wagon = state.wagons.get(event.id);
      if (wagon?.stage.stage !== 'asked' || wagon.stage.keeper !== event.from || wagon.begun)
        return transition(state);
      return transition({
        ...found(state, wagon.service),
        wagons: withEntry(state.wagons, wagon.id, { ...wagon, begun: true }),
      });
    }
    case 'reject':
      return onBounce(state, event);
    case 'done':
      return transition(end(state, event.id));
    case 'lost':
      return onLost(state, event.keeper, event.unsent, event.now);
    case 'quit': {
      const wagon = state.wagons.get(event.id);
      if (wagon === undefined) return transition(state);
      return transition(
        end(state, event.id),
        ...(wagon.stage.stage === 'waiting'
          ? []
          : [{ kind: 'cancel' as const, to: wagon.stage.keeper, id: event.id }]),
        // Of what was asked of a keeper nobody can say that it did not run.
        fail(
          wagon,
          wagon.stage.stage === 'waiting' ? 'rejected' : 'unknown',
          event.text,
          wagon.stage.stage === 'waiting' ? 1000 : 0,
        ),
      );
    }
    case 'adrift': {
      const waiting = [...state.wagons.values()].filter((one) => one.stage.stage === 'waiting');
      return transition(
        waiting.reduce((next, one) => end(next, one.id), state),
        ...waiting.map((one) => fail(one, 'rejected', 'this node is out of touch', 1000)),
      );
    }
    case 'tick':
      return onTick(state, event.now);
  }
};
