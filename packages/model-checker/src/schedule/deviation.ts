/**
 * Deviations from the default schedule. A schedule is a list of them: everything that is not named
 * in it happens in order, on time and once.
 */

/** A process of a machine. */
export type Role = 'registry' | 'store';

/** A process, by its machine's number and its role. */
export interface Endpoint {
  readonly machine: number;
  readonly role: Role;
}

/** A machine's processes end, and start again after a while. */
export interface Crash {
  readonly kind: 'crash';
  readonly at: number;
  readonly machine: number;
  readonly forMs: number;
  /** Whether the disk is still there, and if so whether the write in hand made it. */
  readonly disk: 'kept' | 'kept with pending write' | 'lost';
}

/** A machine's processes do nothing for a while; what reaches them waits, and their clock goes on. */
export interface Pause {
  readonly kind: 'pause';
  readonly at: number;
  readonly machine: number;
  readonly forMs: number;
}

/** Messages between a machine and the others (or one of them) do not pass for a while. */
export interface Cut {
  readonly kind: 'cut';
  readonly at: number;
  readonly machine: number;
  readonly peer: number | 'all';
  readonly way: 'both' | 'inbound' | 'outbound';
  /** Whether what is sent meanwhile is lost, or delivered when the cut ends. */
  readonly messages: 'lost' | 'held';
  readonly forMs: number;
}

/** A disk takes nothing for a while: it stalls, or refuses as it is full. */
export interface DiskFault {
  readonly kind: 'disk';
  readonly at: number;
  readonly machine: number;
  readonly trouble: 'stalled' | 'full';
  readonly forMs: number;
}

/** A machine that was not there before joins the cluster. */
export interface Join {
  readonly kind: 'join';
  readonly at: number;
  readonly machine: number;
}

/** What happens to the first message of a kind that is sent on a link from a time on. */
export interface MessageFault {
  readonly kind: 'message';
  readonly at: number;
  readonly frame: string;
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly action:
    | { readonly action: 'drop' }
    | { readonly action: 'delay'; readonly byMs: number }
    | { readonly action: 'repeat'; readonly afterMs: number };
}

export type Deviation = Crash | Pause | Cut | DiskFault | Join | MessageFault;

/** When the last consequence that a schedule itself brings about is over. */
export const deviationEnd = (deviation: Deviation): number => {
  switch (deviation.kind) {
    case 'join':
      return deviation.at;
    case 'message':
      return (
        deviation.at +
        (deviation.action.action === 'delay'
          ? deviation.action.byMs
          : deviation.action.action === 'repeat'
            ? deviation.action.afterMs
            : 0)
      );
    default:
      return deviation.at + deviation.forMs;
  }
};
