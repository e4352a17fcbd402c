import {
  type Timestamp,
  type ServiceName,
  type Transition,
  withoutEntry,
  prependEffects,
  serviceLeaseOf,
  primaryLease,
  withEntry,
  clockOrigin,
  transition,
} from '@switchwheel/types';
import { type FrameOf, log, send } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { standing } from '@switchwheel/membership';
import { cabinStep, takes } from '../cabin/machine.js';
import type { CabinEffect } from '../cabin/state.js';
import { forwardStep } from '../forward/forward.js';
import type { ForwardEvent } from '../forward/state.js';
import { atRest, keeperStep } from '../keeper/keeper.js';
import { type Keeper, type KeeperEffect, type KeeperEvent, newKeeper } from '../keeper/state.js';
import { holdingsOf, noteHeights } from './heights.js';
import type { Proxy, ProxyEffect, ProxyEvent } from './state.js';

type Done = Transition<Proxy, ProxyEffect>;
const then = (first: Done, next: (state: Proxy) => Done): Done =>
  prependEffects(first.effects, next(first.state));

const wrap = (state: Proxy, name: string, effect: KeeperEffect): readonly ProxyEffect[] => {
  if (effect.kind === 'barred')
    return [
      log(
        'warn',
        'an origin is passed over for a while',
        ['instance', effect.instance],
        ['why', effect.text],
      ),
    ];
  if (effect.kind === 'probe') return [effect];
  if (effect.kind !== 'trial') return [{ ...effect, keeper: name }];
  const store = state.cabin.nodeSession.holders.get(primaryLease);
  if (store === undefined) return [];
  const { service, release, spent, bad, good, seen, state: verdict } = effect;
  const word: FrameOf<'trial'> = {
    kind: 'trial',
    service,
    release,
    spent,
    bad,
    good,
    seen,
    state: verdict,
    at: state.cabin.nodeSession.heartbeatSentAt,
    node: state.cabin.nodeSession.member.node,
  };
  return [
    send(store.address, word),
    ...(verdict === 'bad'
      ? [
          log(
            'error',
            'a release is judged bad',
            ['service', service],
            ['release', release],
            ['bad', bad],
          ),
        ]
      : []),
  ];
};

const tellKeeper = (state: Proxy, name: string, event: KeeperEvent): Done => {
  const keeper = state.keepers.get(name);
  if (keeper === undefined) return transition(state);
  const done = keeperStep(keeper, event);
  const keepers =
    done.state.closing && atRest(done.state)
      ? withoutEntry(state.keepers, name)
      : withEntry(state.keepers, name, done.state);
  const next = { ...state, keepers };
  return transition(next, ...done.effects.flatMap((one) => wrap(next, name, one)));
};

/** Closes a keeper whose lease is over before anything else is acted on: a process that slept acts on nothing stale. */
const fence = (state: Proxy, now: Timestamp): Done => {
  let next: Done = transition(state);
  for (const [service, name] of state.active) {
    const candidate = state.cabin.candidates.get(service);
    const keeper = state.keepers.get(name);
    if (
      candidate !== undefined &&
      keeper !== undefined &&
      holdsLease(candidate, now) &&
      heldEpoch(candidate) === keeper.epoch
    )
      continue;
    next = then(next, (one) =>
      tellKeeper({ ...one, active: withoutEntry(one.active, service) }, name, {
        kind: 'close',
        now,
      }),
    );
  }
  return next;
};

const openKeeper = (
  state: Proxy,
  service: ServiceName,
  epoch: Keeper['epoch'],
  now: Timestamp,
): Done => {
  const rules = state.cabin.table?.services.get(service);
  if (rules === undefined || state.cabin.table === undefined) return transition(state);
  const name = `${service}#${epoch}`;
  const holdings = holdingsOf(state.heights, serviceLeaseOf(service), epoch, now);
  const keeper = newKeeper(
    service,
    epoch,
    rules,
    state.cabin.table.meeting.get(service) ?? new Map(),
    now,
    holdings,
  );
  const opened: Proxy = {
    ...state,
    keepers: withEntry(state.keepers, name, keeper),
    active: withEntry(state.active, service, name),
  };
  const taught = then(
    transition(opened, log('info', 'keeps a service', ['service', service], ['epoch', epoch])),
    (one) => tellKeeper(one, name, { kind: 'verdicts', now, verdicts: one.cabin.verdicts }),
  );
  return then(taught, (one) =>
    tellKeeper(one, name, { kind: 'origins', now, origins: one.cabin.nodeSession.origins }),
  );
};

const onCabinEffect = (state: Proxy, effect: CabinEffect, now: Timestamp): Done => {
  switch (effect.kind) {
    case 'kept':
      return openKeeper(state, effect.service, heldEpoch(effect.candidate), now);
    case 'unkept':
      return fence(state, now);
    case 'adopt': {
      let next: Done = transition(state, effect);
      for (const [service, name] of state.active) {
        const rules = effect.table.services.get(service);
        if (rules !== undefined)
          next = then(next, (one) =>
            tellKeeper(one, name, {
              kind: 'rules',
              now,
              rules,
              groups: effect.table.meeting.get(service) ?? new Map(),
            }),
          );
      }
      return next;
    }
    default:
      return transition(state, effect);
  }
};

const tellForward = (state: Proxy, event: ForwardEvent): Done => {
  const done = forwardStep(state.forward, event);
  return transition({ ...state, forward: done.state }, ...done.effects);
};

/** What the control side learned goes to where it is used. */
const carry = (before: Proxy, state: Proxy, now: Timestamp): Done => {
  let next: Done = transition(state);
  const was = before.cabin;
  const is = state.cabin;
  if (was.nodeSession.holders !== is.nodeSession.holders) {
    const heights = noteHeights(state.heights, is.nodeSession.holders, now);
    next = then(transition({ ...state, heights }), (one) =>
      tellForward(one, { kind: 'keepers', now, keepers: is.nodeSession.holders }),
    );
  }
  if (was.nodeSession.origins !== is.nodeSession.origins) {
    for (const name of state.active.values())
      next = then(next, (one) =>
        tellKeeper(one, name, { kind: 'origins', now, origins: is.nodeSession.origins }),
      );
    const up = new Set(
      [...is.nodeSession.origins.values()]
        .filter((one) => standing(one, now))
        .map((one) => one.instance),
    );
    next = then(next, (one) => transition(one, { kind: 'gates', standing: up }));
  }
  if (was.verdicts !== is.verdicts) {
    for (const name of state.active.values())
      next = then(next, (one) =>
        tellKeeper(one, name, { kind: 'verdicts', now, verdicts: is.verdicts }),
      );
  }
  return next;
};

const onCabin = (state: Proxy, event: Parameters<typeof cabinStep>[1]): Done => {
  const done = cabinStep(state.cabin, event);
  let next: Done = transition({ ...state, cabin: done.state });
  for (const effect of done.effects)
    next = then(next, (one) => onCabinEffect(one, effect, event.now));
  return then(next, (one) => carry(state, one, event.now));
};

const onTick = (state: Proxy, now: Timestamp): Done => {
  let next = onCabin(state, { kind: 'tick', now });
  for (const [name, keeper] of next.state.keepers) {
    if (!keeper.closing)
      next = then(next, (one) =>
        tellKeeper(one, name, { kind: 'origins', now, origins: one.cabin.nodeSession.origins }),
      );
    next = then(next, (one) => tellKeeper(one, name, { kind: 'tick', now }));
  }
  next = then(next, (one) => tellForward(one, { kind: 'tick', now }));
  return next.state.forward.wagons.size === 0 || takes(next.state.cabin, now)
    ? next
    : then(next, (one) => tellForward(one, { kind: 'adrift', now }));
};

const onAsked = (state: Proxy, event: Extract<ProxyEvent, { kind: 'asked' }>): Done => {
  const { ask, now } = event;
  const name = state.active.get(ask.service);
  const keeper = name === undefined ? undefined : state.keepers.get(name);
  const moved = {
    kind: 'turnAway' as const,
    keeper: '',
    ask: ask.id,
    errorKind: 'rejected' as const,
    text: 'not the keeper',
    retryMs: 0,
    moved: true,
  };
  if (name === undefined || keeper === undefined || ask.epoch > keeper.epoch)
    return transition(state, moved);
  return tellKeeper(state, name, {
    kind: 'arrive',
    now,
    id: ask.id,
    group: ask.group,
    repeatable: ask.repeatable,
    again: ask.again,
    extra: ask.extra,
    left: ask.left,
  });
};

const onQuit = (state: Proxy, event: Extract<ProxyEvent, { kind: 'quitAsk' }>): Done => {
  let next: Done = transition(state);
  for (const name of state.keepers.keys())
    next = then(next, (one) =>
      tellKeeper(one, name, { kind: 'quit', now: event.now, id: event.id }),
    );
  return next;
};

const act = (state: Proxy, event: ProxyEvent): Done => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frame':
    case 'gone':
    case 'built':
    case 'unbuilt':
    case 'stop':
      return onCabin(state, event);
    case 'take':
      return tellForward(state, event);
    case 'asked':
      return onAsked(state, event);
    case 'quitAsk':
      return onQuit(state, event);
    case 'streaming':
      return tellKeeper(state, event.keeper, { kind: 'streaming', now: event.now, leg: event.leg });
    case 'legEnded':
      return tellKeeper(state, event.keeper, {
        kind: 'ended',
        now: event.now,
        leg: event.leg,
        how: event.how,
        ms: event.ms,
      });
    case 'probed': {
      const name = state.active.get(event.service);
      return name === undefined
        ? transition(state)
        : tellKeeper(state, name, {
            kind: 'probed',
            now: event.now,
            instance: event.instance,
            good: event.good,
            ms: event.ms,
          });
    }
    case 'result':
    case 'begun':
    case 'reject':
    case 'done':
    case 'quit':
    case 'lost':
      return tellForward(state, event);
  }
};

/** A process that did nothing for so long slept, was stopped, or was held up. */
const sleepSpan = 1500;
const notice = (state: Proxy, now: Timestamp): Proxy => ({
  ...state,
  acted: now,
  woke: state.acted > clockOrigin && now - state.acted > sleepSpan ? now : state.woke,
});

/** The proxy: one function for every change of its state. */
export const proxyStep = (state: Proxy, event: ProxyEvent): Done =>
  then(fence(notice(state, event.now), event.now), (one) => act(one, event));
