/** Events of a simulated cluster. */

import type { Timestamp } from '@switchwheel/types';
import type { Frame, Peer } from '@switchwheel/transport';
import type { DiskWrite, StoreEvent } from '@switchwheel/replicated-store';
import type { Deviation, Endpoint } from '../schedule/deviation.js';
import type { OperatorRequest } from './operator.js';

/** Event at a point of simulated time; one with an incarnation is dropped if the machine has restarted since. */
export type ScheduledEvent =
  | { readonly kind: 'tick'; readonly target: Endpoint; readonly incarnation: number }
  | {
      readonly kind: 'message';
      readonly from: Peer;
      readonly sender: Endpoint;
      readonly to: Endpoint;
      readonly frame: Frame;
    }
  | { readonly kind: 'peerDisconnected'; readonly peer: Endpoint; readonly to: Endpoint }
  | { readonly kind: 'readDisk'; readonly machine: number; readonly incarnation: number }
  | {
      readonly kind: 'diskWrite';
      readonly machine: number;
      readonly incarnation: number;
      readonly write: DiskWrite;
    }
  | {
      readonly kind: 'storeEvent';
      readonly machine: number;
      readonly incarnation: number;
      readonly event: (now: Timestamp) => StoreEvent;
    }
  | {
      readonly kind: 'operatorRequest';
      readonly operatorRequest: OperatorRequest;
      readonly minGeneration: number;
      readonly correlationId: number;
    }
  | { readonly kind: 'operatorTurn' }
  | { readonly kind: 'startMachine'; readonly machine: number }
  | { readonly kind: 'resumeMachine'; readonly machine: number }
  | { readonly kind: 'recoverDisk'; readonly machine: number }
  | { readonly kind: 'deviation'; readonly deviation: Deviation };

/** Message in flight between two processes. */
export type MessageEvent = Extract<ScheduledEvent, { kind: 'message' }>;

/** Write that a store has submitted to its disk. */
export type DiskWriteEvent = Extract<ScheduledEvent, { kind: 'diskWrite' }>;

/** Returns the index of the machine whose processes handle an event; undefined if no process does. */
export const machineIndexOf = (event: ScheduledEvent): number | undefined => {
  switch (event.kind) {
    case 'tick':
      return event.target.machine;
    case 'message':
    case 'peerDisconnected':
      return event.to.machine;
    case 'operatorRequest':
      return event.operatorRequest.machine;
    case 'readDisk':
    case 'storeEvent':
      return event.machine;
    default:
      return undefined;
  }
};
