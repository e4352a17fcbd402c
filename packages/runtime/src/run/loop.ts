import { type Timestamp, type Transition, type Store, createStore } from '@switchwheel/types';
import type { WireEffect, WireEvent, ChannelPool } from '@switchwheel/transport';
import type { Log } from '../log/log.js';
import { now } from './clock.js';

/** How often time is let pass over a machine. */
export const tickSpan = 25;

/** A machine bound to the real clock and network. */
export interface Loop<S, E> {
  readonly store: Store<S, E>;
  /** Hands an event over with the time at which it is acted on. */
  readonly tell: (make: (now: Timestamp) => E) => void;
  readonly end: () => void;
  /** The longest time in milliseconds that the loop was held up since last asked. */
  readonly lag: () => number;
}

/** Runs a machine: time, frames and channels go in, effects go out. */
export const runLoop = <S, E, F>(
  reduce: (state: S, event: E | WireEvent) => Transition<S, F | WireEffect>,
  first: S,
  yard: ChannelPool,
  log: Log,
  run: (effect: F, tell: Loop<S, E | WireEvent>['tell']) => void,
  isWire: (effect: F | WireEffect) => effect is WireEffect,
  span = tickSpan,
  also: () => void = () => undefined,
): Loop<S, E | WireEvent> => {
  const effect = (one: F | WireEffect): void => {
    if (!isWire(one)) run(one, tell);
    else if (one.kind === 'send') yard.send(one.to, one.frame);
    else log.write(one.level, one.text, one.facts);
  };
  const store = createStore<S, E | WireEvent, F | WireEffect>(reduce, first, effect);
  const tell = (make: (now: Timestamp) => E | WireEvent): void => store.dispatch(make(now()));
  yard.on('frame', (from, frame) => tell((at) => ({ kind: 'frame', now: at, from, frame })));
  yard.on('gone', (address) => tell((at) => ({ kind: 'gone', now: at, address })));
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
    store,
    tell,
    end: () => clearInterval(timer),
    lag: () => {
      const held = worst;
      worst = 0;
      return held;
    },
  };
};

export const isWireEffect = (effect: { readonly kind: string }): effect is WireEffect =>
  effect.kind === 'send' || effect.kind === 'log';
