/**
 * Events and effects that the state machines of all processes share. Events are ticks, received frames and
 * lost connections; effects are frames to send and log lines. `runtime/run/event-loop` connects them to
 * the real clock and network, the simulator to virtual ones.
 */

import type { Address, Incarnation, NodeId, Timestamp } from '@switchwheel/types';
import type { Frame } from '../frame/frame.js';

/** Process at the other end of a channel. */
export interface Peer {
  readonly node: NodeId;
  /** Address at which it listens for channels. */
  readonly address: Address;
  readonly incarnation: Incarnation;
}

/** Event from outside a process, with the time at which it is handled. */
export type ProcessEvent =
  | { readonly kind: 'tick'; readonly now: Timestamp }
  | {
      readonly kind: 'frameReceived';
      readonly now: Timestamp;
      readonly from: Peer;
      readonly frame: Frame;
    }
  | { readonly kind: 'peerDisconnected'; readonly now: Timestamp; readonly address: Address };

type LogLevel = 'info' | 'warn' | 'error';
type LogField = readonly [name: string, value: string | number | boolean];

/** Effect that the event loop of every process can execute. */
export type ProcessEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly frame: Frame }
  | {
      readonly kind: 'log';
      readonly level: LogLevel;
      readonly message: string;
      readonly fields?: ReadonlyMap<string, string | number | boolean>;
    };

/** Creates the effect that sends a frame. */
export const send = (to: Address, frame: Frame): ProcessEffect => ({ kind: 'send', to, frame });

/** Creates the effect that writes a log line. */
export const log = (
  level: LogLevel,
  message: string,
  ...fields: readonly LogField[]
): ProcessEffect => ({ kind: 'log', level, message, fields: new Map(fields) });
