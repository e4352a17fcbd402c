/**
 * The events and effects that the state machines of all processes share: time, frames and lost
 * connections come in; frames and log lines go out. `runtime/run/event-loop` binds them to the real
 * clock and network, the simulator to virtual ones.
 */

import type { Address, Incarnation, NodeId, Timestamp } from '@switchwheel/types';
import type { Frame } from '../frame/frame.js';

/** The process at the other end of a channel. */
export interface Peer {
  readonly node: NodeId;
  /** Where it listens for channels. */
  readonly address: Address;
  readonly incarnation: Incarnation;
}

/** What reaches a process from outside, each with the time at which it is handled. */
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

/** What every process may have done on its behalf. */
export type ProcessEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly frame: Frame }
  | {
      readonly kind: 'log';
      readonly level: LogLevel;
      readonly message: string;
      readonly fields?: ReadonlyMap<string, string | number | boolean>;
    };

/** The effect that sends a frame. */
export const send = (to: Address, frame: Frame): ProcessEffect => ({ kind: 'send', to, frame });

/** The effect that writes a log line. */
export const log = (
  level: LogLevel,
  message: string,
  ...fields: readonly LogField[]
): ProcessEffect => ({ kind: 'log', level, message, fields: new Map(fields) });
