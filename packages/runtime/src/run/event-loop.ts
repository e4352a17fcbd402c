import {
  type Timestamp,
  type Transition,
  type StateMachine,
  createStateMachine,
} from '@switchwheel/types';
import type { ProcessEffect, ProcessEvent, ChannelPool } from '@switchwheel/transport';
import type { Logger } from '../log/logger.js';
import { now } from './clock.js';

/** How often time is let pass over a machine. */
export const tickIntervalMs = 25;

/** A machine bound to the real clock and network. */
export interface EventLoop<S, E> {
  readonly machine: StateMachine<S, E>;
  /** Hands an event over with the time at which it is acted on. */
  readonly dispatch: (make: (now: Timestamp) => E) => void;
  readonly stop: () => void;
  /** The longest time in milliseconds that the loop was held up since last asked. */
  readonly takeMaxLagMs: () => number;
}

/** Runs a machine: time, frames and channels go in, effects go out. */
export const runEventLoop = <S, E, F>(
  reduce: (state: S, event: E | ProcessEvent) => Transition<S, F | ProcessEffect>,
  first: S,
  yard: ChannelPool,
  log: Logger,
  run: (effect: F, tell: EventLoop<S, E | ProcessEvent>['dispatch']) => void,
  isWire: (effect: F | ProcessEffect) => effect is ProcessEffect,
  span = tickIntervalMs,
  also: () => void = () => undefined,
): EventLoop<S, E | ProcessEvent> => {
  const effect = (one: F | ProcessEffect): void => {
    if (!isWire(one)) run(one, tell);
    else if (one.kind === 'send') yard.send(one.to, one.frame);
    else log.write(one.level, one.message, one.fields);
  };
  const store = createStateMachine<S, E | ProcessEvent, F | ProcessEffect>(reduce, first, effect);
  const tell = (make: (now: Timestamp) => E | ProcessEvent): void => store.dispatch(make(now()));
  yard.on('frame', (from, frame) =>
    tell((at) => ({ kind: 'frameReceived', now: at, from, frame })),
  );
  yard.on('gone', (address) => tell((at) => ({ kind: 'peerDisconnected', now: at, address })));
  yard.on('fault', (text) => log.write('warn', text));
  let last = now();
  let worst = 0;
  const timer = setInterval(() => {
    const at = now();
    worst = Math.max(worst, at - last - span);
    last = at;
    tell((moment) => ({ kind: 'tick', now: moment }));
    also();
  }, span);
  return {
    machine: store,
    dispatch: tell,
    stop: () => clearInterval(timer),
    takeMaxLagMs: () => {
      const held = worst;
      worst = 0;
      return held;
    },
  };
};

export const isProcessEffect = (effect: { readonly kind: string }): effect is ProcessEffect =>
  effect.kind === 'send' || effect.kind === 'log';
