/**
 * State, events and effects of the module that forwards requests at an edge.
 */

import type {
  Address,
  RequestId,
  ServiceClassName,
  LeaseName,
  Epoch,
  Generation,
  ErrorKind,
  Timestamp,
  Transition,
  RouteName,
  Seq,
  ServiceName,
} from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields, FrameOf, LeaseHolder } from '@switchwheel/transport';

/** Phase of a forwarded request. */
export type ForwardPhase =
  /** No suitable leader is known. */
  | { readonly phase: 'waiting'; readonly since: Timestamp }
  | { readonly phase: 'sent'; readonly leader: Address; readonly epoch: Epoch }
  /** The head of a response has arrived. */
  | { readonly phase: 'responding'; readonly leader: Address };

/** Request accepted by an edge. Its body stays with the request handler. */
export interface PendingForward {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly generation: Generation;
  readonly route: RouteName;
  readonly className: ServiceClassName;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly fields: HeaderFields;
  readonly isIdempotent: boolean;
  readonly isCacheable: boolean;
  readonly deadline: Timestamp;
  /** Last purge that a cache must have applied to respond to this request. */
  readonly requiredPurgeSeq: Seq;
  readonly phase: ForwardPhase;
  /** Whether an attempt may have run it; if so, it is never reported as rejected. */
  readonly mayHaveRun: boolean;
  /** Whether a leader reported the start of an attempt. */
  readonly hasAttemptStarted: boolean;
}

/** Request as passed in by the request handler. */
export type NewForward = Omit<PendingForward, 'phase' | 'mayHaveRun' | 'hasAttemptStarted'>;

/** Time since when a service has had no leader, and time of the last attempt to reach one. */
export interface LeaderAbsence {
  readonly since: Timestamp;
  readonly lastTriedAt: Timestamp;
}

/** State of the forwarding module of an edge. */
export interface Forwarding {
  readonly requests: ReadonlyMap<RequestId, PendingForward>;
  readonly leaseHolders: ReadonlyMap<LeaseName, LeaseHolder>;
  /** Services without a known leader. */
  readonly leaderAbsences: ReadonlyMap<ServiceName, LeaderAbsence>;
}

/** Initial state, without requests or known leaders. */
export const initialForwarding: Forwarding = {
  requests: new Map(),
  leaseHolders: new Map(),
  leaderAbsences: new Map(),
};

/** Maximum number of requests in progress per edge. A single class may use half of it. */
export const maxForwardedRequests = 2048;

/** Event for the forwarding module; times are of the monotonic clock. */
export type ForwardingEvent =
  | {
      readonly kind: 'requestAccepted';
      readonly now: Timestamp;
      readonly request: NewForward;
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
  /** The channel to a leader closed; no byte was sent of the requests in `unsentIds`. */
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
  /** This node is disconnected from the registries; requests that wait for a leader fail. */
  | { readonly kind: 'nodeDisconnected'; readonly now: Timestamp }
  | { readonly kind: 'tick'; readonly now: Timestamp };

/** Effect that the forwarding module requests from the request handler. */
export type ForwardingEffect =
  /** The request handler adds the body. */
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
      readonly retryAfterMs: number;
    };

/** State of the forwarding module after an event, with the requested effects. */
export type ForwardingTransition = Transition<Forwarding, ForwardingEffect>;
