/**
 * The state of an edge's forwarding: the requests that it has taken on and their way to the leaders
 * of their services, with the events that change it and the effects that it asks for.
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

/** How far a request is on its way. */
export type ForwardPhase =
  /** No leader is known that would take it. */
  | { readonly phase: 'waiting'; readonly since: Timestamp }
  | { readonly phase: 'sent'; readonly leader: Address; readonly epoch: Epoch }
  /** The head of a response has come in. */
  | { readonly phase: 'responding'; readonly leader: Address };

/** A request that an edge has taken on, without its body, which the request handler keeps. */
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
  /** A cache must have applied the purges up to this one to respond. */
  readonly requiredPurgeSeq: Seq;
  readonly phase: ForwardPhase;
  /** Whether an attempt may have run it: then it is never reported as rejected. */
  readonly mayHaveRun: boolean;
  /** Whether a leader reported that an attempt started. */
  readonly hasAttemptStarted: boolean;
}

/** A request as the request handler hands it over. */
export type NewForward = Omit<PendingForward, 'phase' | 'mayHaveRun' | 'hasAttemptStarted'>;

/** Since when no request of a service has found a leader, and when the last one tried. */
export interface LeaderAbsence {
  readonly since: Timestamp;
  readonly lastTriedAt: Timestamp;
}

/** The whole state of an edge's forwarding. */
export interface Forwarding {
  readonly requests: ReadonlyMap<RequestId, PendingForward>;
  readonly leaseHolders: ReadonlyMap<LeaseName, LeaseHolder>;
  /** The services of which no leader is known. */
  readonly leaderAbsences: ReadonlyMap<ServiceName, LeaderAbsence>;
}

/** Nothing is forwarded, and no leader is known. */
export const initialForwarding: Forwarding = {
  requests: new Map(),
  leaseHolders: new Map(),
  leaderAbsences: new Map(),
};

/** The most requests that one edge has under way; one class may have half of them. */
export const maxForwardedRequests = 2048;

/** What happens to the forwarded requests of an edge; times are of the monotonic clock. */
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
  /** A channel to a leader closed; of the requests in `unsentIds` no byte was sent. */
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
  /** This node lost touch with the registries: it gives up what waits for a leader. */
  | { readonly kind: 'nodeDisconnected'; readonly now: Timestamp }
  | { readonly kind: 'tick'; readonly now: Timestamp };

/** What the forwarding asks of the request handler. */
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

/** The state after an event, and the effects that the event asks for. */
export type ForwardingTransition = Transition<Forwarding, ForwardingEffect>;
