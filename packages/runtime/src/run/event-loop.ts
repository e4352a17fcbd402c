/**
 * Binds a process's state machine to the real clock and network: ticks, frames and lost connections go
 * in; frames and log lines go out. Effects of the process's own kinds are left to its runner.
 */

import {
  type StateMachine,
  type Timestamp,
  type Transition,
  createStateMachine,
} from '@switchwheel/types';
import type { ChannelPool, ProcessEffect, ProcessEvent } from '@switchwheel/transport';
import type { Logger } from '../log/logger.js';
import { now } from './clock.js';

/** How often a machine gets a tick, in milliseconds. */
export const tickIntervalMs = 25;

/** A machine that runs on the real clock and network. */
export interface EventLoop<S, E> {
  readonly stateMachine: StateMachine<S, E>;
  /** Dispatches the event that `make` builds with the current time. */
  readonly dispatch: (make: (now: Timestamp) => E) => void;
  /** Ends the ticks; frames are still handled until the channels are closed. */
  readonly stop: () => void;
  /** The longest time in milliseconds that ticks were late by since the last call. */
  readonly takeMaxLagMs: () => number;
}

/** A repeated call that knows how late it was. */
interface Ticker {
  readonly stop: () => void;
  readonly takeMaxLagMs: () => number;
}

const startTicker = (intervalMs: number, onTick: () => void): Ticker => {
  let lastTickAt = now();
  let maxLagMs = 0;
  const timer = setInterval(() => {
    const tickAt = now();
    maxLagMs = Math.max(maxLagMs, tickAt - lastTickAt - intervalMs);
    lastTickAt = tickAt;
    onTick();
  }, intervalMs);
  return {
    stop: () => clearInterval(timer),
    takeMaxLagMs: () => {
      const lagMs = maxLagMs;
      maxLagMs = 0;
      return lagMs;
    },
  };
};

/**
 * Starts a machine.
 *
 * @param reduce the reducer of the process
 * @param initialState its state before the first event
 * @param channels carries frames to and from other processes
 * @param log gets the machine's log lines and the channels' faults
 * @param runEffect carries out effects of the process's own kinds
 * @param isShared tells the effects of all processes from those of its own kinds
 * @param intervalMs how often the machine gets a tick
 * @param afterTick is called after each tick
 */
export const startEventLoop = <S, E, F>(
  reduce: (state: S, event: E | ProcessEvent) => Transition<S, F | ProcessEffect>,
  initialState: S,
  channels: ChannelPool,
  log: Logger,
  runEffect: (effect: F, dispatch: EventLoop<S, E | ProcessEvent>['dispatch']) => void,
  isShared: (effect: F | ProcessEffect) => effect is ProcessEffect,
  intervalMs = tickIntervalMs,
  afterTick: () => void = () => undefined,
): EventLoop<S, E | ProcessEvent> => {
  const runAnyEffect = (effect: F | ProcessEffect): void => {
    if (!isShared(effect)) runEffect(effect, dispatch);
    else if (effect.kind === 'send') channels.send(effect.to, effect.frame);
    else log.write(effect.level, effect.message, effect.fields);
  };
  const stateMachine = createStateMachine<S, E | ProcessEvent, F | ProcessEffect>(
    reduce,
    initialState,
    runAnyEffect,
  );
  const dispatch = (make: (now: Timestamp) => E | ProcessEvent): void =>
    stateMachine.dispatch(make(now()));
  channels.on('frame', (from, frame) =>
    dispatch((receivedAt) => ({ kind: 'frameReceived', now: receivedAt, from, frame })),
  );
  channels.on('disconnected', (address) =>
    dispatch((closedAt) => ({ kind: 'peerDisconnected', now: closedAt, address })),
  );
  channels.on('failure', (message) => log.write('warn', message));
  const ticker = startTicker(intervalMs, () => {
    dispatch((tickAt) => ({ kind: 'tick', now: tickAt }));
    afterTick();
  });
  return { stateMachine, dispatch, stop: ticker.stop, takeMaxLagMs: ticker.takeMaxLagMs };
};

/** Whether an effect is one that the event loop carries out for every process. */
export const isProcessEffect = (effect: { readonly kind: string }): effect is ProcessEffect =>
  effect.kind === 'send' || effect.kind === 'log';
