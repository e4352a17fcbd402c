import type {
  Address,
  RequestId,
  ClassName,
  LeaseName,
  Epoch,
  Generation,
  ErrorKind,
  Timestamp,
  RouteName,
  Seq,
  ServiceName,
} from '@switchwheel/types';
import type { Ask, Fields, FrameOf, Holder } from '@switchwheel/transport';

/** A request that an edge has taken on, without its body. */
export interface Wagon {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly generation: Generation;
  readonly route: RouteName;
  readonly group: ClassName;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly fields: Fields;
  readonly repeatable: boolean;
  readonly storable: boolean;
  readonly until: Timestamp;
  readonly purged: Seq;
  readonly stage:
    | { readonly stage: 'waiting'; readonly since: Timestamp }
    | { readonly stage: 'asked'; readonly keeper: Address; readonly epoch: Epoch }
    /** The first byte of a result is with the caller's side. */
    | { readonly stage: 'answering'; readonly keeper: Address };
  readonly again: boolean;
  /** Whether a keeper said that a leg of it began. */
  readonly begun: boolean;
}

export interface Forward {
  readonly wagons: ReadonlyMap<RequestId, Wagon>;
  readonly keepers: ReadonlyMap<LeaseName, Holder>;
  /** Since when no request of a service found a keeper, and when one last tried. */
  readonly bare: ReadonlyMap<ServiceName, { readonly since: Timestamp; readonly tried: Timestamp }>;
}
export const newForward: Forward = { wagons: new Map(), keepers: new Map(), bare: new Map() };
/** The most requests one edge has under way. */
export const maxWagons = 2048;

export type ForwardEvent =
  | {
      readonly kind: 'take';
      readonly now: Timestamp;
      readonly wagon: Omit<Wagon, 'stage' | 'again' | 'begun'>;
    }
  | {
      readonly kind: 'keepers';
      readonly now: Timestamp;
      readonly keepers: ReadonlyMap<LeaseName, Holder>;
    }
  | {
      readonly kind: 'result';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'result'>;
    }
  | {
      readonly kind: 'reject';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'reject'>;
    }
  | {
      readonly kind: 'begun';
      readonly now: Timestamp;
      readonly from: Address;
      readonly id: RequestId;
    }
  | { readonly kind: 'done'; readonly now: Timestamp; readonly id: RequestId }
  /** A channel to a keeper ended; `unsent` names asks of which no byte left. */
  | {
      readonly kind: 'lost';
      readonly now: Timestamp;
      readonly keeper: Address;
      readonly unsent: ReadonlySet<RequestId>;
    }
  | {
      readonly kind: 'quit';
      readonly now: Timestamp;
      readonly id: RequestId;
      readonly text: string;
    }
  /** This node is out of touch: it gives up what waits. */
  | { readonly kind: 'adrift'; readonly now: Timestamp }
  | { readonly kind: 'tick'; readonly now: Timestamp };

export type ForwardEffect =
  /** The shell adds the body and hands it over. */
  | { readonly kind: 'ask'; readonly to: Address; readonly ask: Omit<Ask, 'body'> }
  | { readonly kind: 'cancel'; readonly to: Address; readonly id: RequestId }
  | {
      readonly kind: 'begin';
      readonly to: Address;
      readonly id: RequestId;
      readonly frame: FrameOf<'result'>;
    }
  | {
      readonly kind: 'fail';
      readonly id: RequestId;
      readonly errorKind: ErrorKind;
      readonly text: string;
      readonly retryMs: number;
    };
