/** What the simulation of a cluster does at a moment of virtual time. */

import type { Timestamp } from '@switchwheel/types';
import type { Frame, Peer } from '@switchwheel/transport';
import type { DiskWrite, StoreEvent } from '@switchwheel/replicated-store';
import type { Deviation, Endpoint } from '../schedule/deviation.js';
import type { OperatorRequest } from './operator.js';

/** One thing that is to happen; `incarnation` bounds it to the machine's processes of that start. */
export type ScheduledEvent =
  | { readonly kind: 'tick'; readonly target: Endpoint; readonly incarnation: number }
  | {
      readonly kind: 'message';
      readonly from: Peer;
      readonly sender: Endpoint;
      readonly to: Endpoint;
      readonly frame: Frame;
    }
  | { readonly kind: 'gone'; readonly of: Endpoint; readonly to: Endpoint }
  | { readonly kind: 'read disk'; readonly machine: number; readonly incarnation: number }
  | {
      readonly kind: 'disk write';
      readonly machine: number;
      readonly incarnation: number;
      readonly write: DiskWrite;
    }
  | {
      readonly kind: 'store event';
      readonly machine: number;
      readonly incarnation: number;
      readonly event: (now: Timestamp) => StoreEvent;
    }
  | {
      readonly kind: 'call';
      readonly call: OperatorRequest;
      readonly floor: number;
      readonly ref: number;
    }
  | { readonly kind: 'operator' }
  | { readonly kind: 'start'; readonly machine: number }
  | { readonly kind: 'wake'; readonly machine: number }
  | { readonly kind: 'disk well'; readonly machine: number }
  | { readonly kind: 'deviation'; readonly deviation: Deviation };

/** A message on its way between two processes. */
export type MessageEvent = Extract<ScheduledEvent, { kind: 'message' }>;

/** A write that a store has given to its disk. */
export type DiskWriteEvent = Extract<ScheduledEvent, { kind: 'disk write' }>;

/** The machine whose processes act on an event; undefined if it is not one of processes. */
export const machineIndexOf = (event: ScheduledEvent): number | undefined => {
  switch (event.kind) {
    case 'tick':
      return event.target.machine;
    case 'message':
    case 'gone':
      return event.to.machine;
    case 'call':
      return event.call.machine;
    case 'read disk':
    case 'store event':
      return event.machine;
    default:
      return undefined;
  }
};
