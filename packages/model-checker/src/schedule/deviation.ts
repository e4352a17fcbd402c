/**
 * Deviations from the default schedule, in which every message is delivered in order, on time and
 * exactly once, and no fault occurs. A schedule is a list of deviations.
 */

/** Kind of a process on a machine. */
export type Role = 'registry' | 'store';

/** Process, identified by the index of its machine and its role. */
export interface Endpoint {
  readonly machine: number;
  readonly role: Role;
}

/** Crash of all processes of a machine, with a restart after `durationMs`; never if that is infinite. */
export interface Crash {
  readonly kind: 'crash';
  readonly at: number;
  readonly machine: number;
  readonly durationMs: number;
  /** State of the disk at the restart: intact, with or without the pending write, or empty. */
  readonly disk: 'kept' | 'kept with pending write' | 'lost';
}

/** Pause of all processes of a machine: events wait, and the clock continues. */
export interface Pause {
  readonly kind: 'pause';
  readonly at: number;
  readonly machine: number;
  readonly durationMs: number;
}

/** Network partition between a machine and one peer or all others. */
export interface Cut {
  readonly kind: 'cut';
  readonly at: number;
  readonly machine: number;
  readonly peer: number | 'all';
  readonly direction: 'both' | 'inbound' | 'outbound';
  /** Whether messages sent during the partition are lost, or delivered when it ends. */
  readonly messages: 'lost' | 'held';
  readonly durationMs: number;
}

/** Disk that accepts no writes for a time: they stall, or fail as the disk is full. */
export interface DiskFault {
  readonly kind: 'disk';
  readonly at: number;
  readonly machine: number;
  readonly fault: 'stalled' | 'full';
  readonly durationMs: number;
}

/** Start of a machine that joins the cluster. */
export interface Join {
  readonly kind: 'join';
  readonly at: number;
  readonly machine: number;
}

/** Fault of the first message of a frame kind that is sent on a link at or after a time. */
export interface MessageFault {
  readonly kind: 'message';
  readonly at: number;
  readonly frame: string;
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly action:
    | { readonly kind: 'drop' }
    | { readonly kind: 'delay'; readonly byMs: number }
    | { readonly kind: 'repeat'; readonly afterMs: number };
}

/** Any deviation from the default schedule. */
export type Deviation = Crash | Pause | Cut | DiskFault | Join | MessageFault;

/** Returns the time at which the direct effect of a deviation ends; Infinity if it never does. */
export const deviationEnd = (deviation: Deviation): number => {
  switch (deviation.kind) {
    case 'join':
      return deviation.at;
    case 'message':
      return (
        deviation.at +
        (deviation.action.kind === 'delay'
          ? deviation.action.byMs
          : deviation.action.kind === 'repeat'
            ? deviation.action.afterMs
            : 0)
      );
    default:
      return deviation.at + deviation.durationMs;
  }
};
