/**
 * Connects the state machine of a process to the real clock and network: dispatches ticks, received frames
 * and lost connections, and sends frames and writes log lines. All other effects are passed to a function
 * of the process.
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

/** Default interval between the ticks of a state machine. */
export const tickIntervalMs = 25;

/** State machine that runs on the real clock and network. */
export interface EventLoop<S, E> {
  readonly stateMachine: StateMachine<S, E>;
  /** Dispatches the event that `createEvent` returns for the current time. */
  readonly dispatch: (createEvent: (now: Timestamp) => E) => void;
  /** Stops the ticks; frames are still handled until the channels are closed. */
  readonly stop: () => void;
  /** Returns the maximum delay of a tick since the last call, in milliseconds. */
  readonly takeMaxLagMs: () => number;
}

/** Timer that measures the delay of its ticks. */
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
 * Starts a state machine.
 *
 * @param reduce reducer of the process
 * @param initialState state before the first event
 * @param channels channels to other processes
 * @param log receives the log lines of the state machine and the failures of the channels
 * @param runEffect executes the effects that are specific to the process
 * @param isCommonEffect decides whether the event loop executes an effect itself, see {@link isProcessEffect}
 * @param intervalMs interval between ticks
 * @param afterTick called after each tick
 */
export const startEventLoop = <S, E, F>(
  reduce: (state: S, event: E | ProcessEvent) => Transition<S, F | ProcessEffect>,
  initialState: S,
  channels: ChannelPool,
  log: Logger,
  runEffect: (effect: F, dispatch: EventLoop<S, E | ProcessEvent>['dispatch']) => void,
  isCommonEffect: (effect: F | ProcessEffect) => effect is ProcessEffect,
  intervalMs = tickIntervalMs,
  afterTick: () => void = () => undefined,
): EventLoop<S, E | ProcessEvent> => {
  const runAnyEffect = (effect: F | ProcessEffect): void => {
    if (!isCommonEffect(effect)) runEffect(effect, dispatch);
    else if (effect.kind === 'send') channels.send(effect.to, effect.frame);
    else log.write(effect.level, effect.message, effect.fields);
  };
  const stateMachine = createStateMachine<S, E | ProcessEvent, F | ProcessEffect>(
    reduce,
    initialState,
    runAnyEffect,
  );
  const dispatch = (createEvent: (now: Timestamp) => E | ProcessEvent): void =>
    stateMachine.dispatch(createEvent(now()));
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

/** Whether an effect is one that the event loop of every process executes. */
export const isProcessEffect = (effect: { readonly kind: string }): effect is ProcessEffect =>
  effect.kind === 'send' || effect.kind === 'log';
