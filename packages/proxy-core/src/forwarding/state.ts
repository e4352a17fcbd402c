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
import type { ForwardedRequest, HeaderFields, FrameOf, LeaseHolder } from '@switchwheel/transport';

/** A request that an edge has taken on, without its body. */
export interface PendingForward {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly generation: Generation;
  readonly route: RouteName;
  readonly className: ClassName;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly fields: HeaderFields;
  readonly isIdempotent: boolean;
  readonly isCacheable: boolean;
  readonly deadline: Timestamp;
  readonly requiredPurgeSeq: Seq;
  readonly phase:
    | { readonly stage: 'waiting'; readonly since: Timestamp }
    | { readonly stage: 'asked'; readonly keeper: Address; readonly epoch: Epoch }
    /** The first byte of a result is with the caller's side. */
    | { readonly stage: 'answering'; readonly keeper: Address };
  readonly mayHaveRun: boolean;
  /** Whether a keeper said that a leg of it began. */
  readonly attemptStarted: boolean;
}

export interface Forwarding {
  readonly requests: ReadonlyMap<RequestId, PendingForward>;
  readonly leaseHolders: ReadonlyMap<LeaseName, LeaseHolder>;
  /** Since when no request of a service found a keeper, and when one last tried. */
  readonly leaderless: ReadonlyMap<
    ServiceName,
    { readonly since: Timestamp; readonly tried: Timestamp }
  >;
}
export const initialForwarding: Forwarding = {
  requests: new Map(),
  leaseHolders: new Map(),
  leaderless: new Map(),
};
/** The most requests one edge has under way. */
export const maxForwardedRequests = 2048;

export type ForwardingEvent =
  | {
      readonly kind: 'requestAccepted';
      readonly now: Timestamp;
      readonly request: Omit<PendingForward, 'phase' | 'mayHaveRun' | 'attemptStarted'>;
    }
  | {
      readonly kind: 'leaseHoldersChanged';
      readonly now: Timestamp;
      readonly leaseHolders: ReadonlyMap<LeaseName, LeaseHolder>;
    }
  | {
      readonly kind: 'responseStarted';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'result'>;
    }
  | {
      readonly kind: 'requestRejected';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'reject'>;
    }
  | {
      readonly kind: 'attemptStarted';
      readonly now: Timestamp;
      readonly from: Address;
      readonly id: RequestId;
    }
  | { readonly kind: 'responseCompleted'; readonly now: Timestamp; readonly id: RequestId }
  /** A channel to a keeper ended; `unsent` names asks of which no byte left. */
  | {
      readonly kind: 'channelLost';
      readonly now: Timestamp;
      readonly leader: Address;
      readonly unsentIds: ReadonlySet<RequestId>;
    }
  | {
      readonly kind: 'requestCancelled';
      readonly now: Timestamp;
      readonly id: RequestId;
      readonly text: string;
    }
  /** This node is out of touch: it gives up what waits. */
  | { readonly kind: 'nodeDisconnected'; readonly now: Timestamp }
  | { readonly kind: 'tick'; readonly now: Timestamp };

export type ForwardingEffect =
  /** The shell adds the body and hands it over. */
  | {
      readonly kind: 'sendRequest';
      readonly to: Address;
      readonly request: Omit<ForwardedRequest, 'body'>;
    }
  | { readonly kind: 'cancelRequest'; readonly to: Address; readonly id: RequestId }
  | {
      readonly kind: 'startResponse';
      readonly to: Address;
      readonly id: RequestId;
      readonly frame: FrameOf<'result'>;
    }
  | {
      readonly kind: 'failRequest';
      readonly id: RequestId;
      readonly errorKind: ErrorKind;
      readonly text: string;
      readonly retryMs: number;
    };
