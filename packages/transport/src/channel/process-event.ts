import type { Address, Incarnation, Timestamp, NodeId } from '@switchwheel/types';
import type { Frame } from '../frame/frame.js';

/** Who is at the other end of a channel. */
export interface Peer {
  readonly node: NodeId;
  readonly address: Address;
  readonly incarnation: Incarnation;
}

/** What reaches a machine from the outside, each with the time it is acted on. */
export type ProcessEvent =
  | { readonly kind: 'tick'; readonly now: Timestamp }
  | {
      readonly kind: 'frameReceived';
      readonly now: Timestamp;
      readonly from: Peer;
      readonly frame: Frame;
    }
  | { readonly kind: 'peerDisconnected'; readonly now: Timestamp; readonly address: Address };

/** What every machine may ask of its shell. */
export type ProcessEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly frame: Frame }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'warn' | 'error';
      readonly message: string;
      readonly fields?: ReadonlyMap<string, string | number | boolean>;
    };

export const send = (to: Address, frame: Frame): ProcessEffect => ({ kind: 'send', to, frame });
export const log = (
  level: 'info' | 'warn' | 'error',
  text: string,
  ...facts: readonly (readonly [string, string | number | boolean])[]
): ProcessEffect => ({ kind: 'log', level, message: text, fields: new Map(facts) });
