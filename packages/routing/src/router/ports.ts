/** Interfaces of the edge router: requests, replies, limits, header names and the origin client. */

import type {
  Address,
  ErrorKind,
  InstanceId,
  Seq,
  ServiceName,
  Timestamp,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { CacheEntry, NodeAgent } from '@switchwheel/proxy-core';
import type { OriginResponse } from '../attempt-state/attempt-state.js';

/** Names of the headers exchanged with clients and origins, in lower case. */
export interface HeaderNames {
  /** Request id, set by the client and echoed by origins. */
  readonly requestId: string;
  /** Remaining time in milliseconds until the sender gives up. */
  readonly timeLeftMs: string;
  /** Instance that may run the request; all others must reject it. */
  readonly targetInstance: string;
  /** Response header by which an origin states that it did not run the request. */
  readonly unprocessed: string;
  /** Response header with the tags by which an object can be purged. */
  readonly cacheTags: string;
  /** Header that every successful response must carry to be accepted; undefined if origins send none. */
  readonly originProof: string | undefined;
}

/** Header names used unless the platform sets others. */
export const defaultHeaderNames: HeaderNames = {
  requestId: 'switchwheel-id',
  timeLeftMs: 'switchwheel-deadline-ms',
  targetInstance: 'switchwheel-instance',
  unprocessed: 'switchwheel-unrun',
  cacheTags: 'cache-tag',
  originProof: undefined,
};

/** Limits that all edges of the fleet keep in sum. */
export interface EdgeLimits {
  /** Extra attempts (retries and hedges) in any window are at most this ratio of the requests, plus the slack. */
  readonly extraAttemptRatio: number;
  readonly extraAttemptSlack: number;
  readonly extraAttemptWindowMs: number;
  /** Requests to a service in any window are at most its rate limit times the overage factor. */
  readonly rateLimitWindowMs: number;
  readonly rateLimitOverageFactor: number;
  /** Maximum time that cached objects are served after this edge last had all purges. */
  readonly maxPurgeLagMs: number;
  /** Maximum time between the confirmation of a configuration and its use at an edge. */
  readonly maxApplyMs: number;
}

/** Limits used unless the settings set others. */
export const defaultEdgeLimits: EdgeLimits = {
  extraAttemptRatio: 0.2,
  extraAttemptSlack: 60,
  extraAttemptWindowMs: 10_000,
  rateLimitWindowMs: 5000,
  rateLimitOverageFactor: 1.1,
  maxPurgeLagMs: 1500,
  maxApplyMs: 2000,
};

/** A client's request with its complete body; field names are in lower case. */
export interface IncomingRequest {
  /** Request id set by the client; empty if there is none. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Time that the client waits for a response; undefined if it sent none. */
  readonly timeoutMs: number | undefined;
}

/** Whom an edge serves: a client, another edge of its zone, or an edge of another zone. */
export type Requester = 'client' | PeerRequester;

/** Another edge, by its zone. An edge of another zone gets objects from the cache or an origin, never from a third edge. */
export type PeerRequester = 'zoneEdge' | 'remoteEdge';

/** Final reply to a client. */
export type ClientReply =
  | {
      readonly kind: 'failure';
      readonly errorKind: ErrorKind;
      readonly text: string;
      /** Delay in milliseconds after which the client may retry; 0 for no advice. */
      readonly retryAfterMs: number;
      /** Whether the owner of the object has used up its share of the rate limit, so that no edge can fetch the object now. */
      readonly isOwnerLimited?: boolean;
    }
  /** A shareable object, and the latest purge that is known not to have removed it. */
  | {
      readonly kind: 'cached';
      readonly entry: CacheEntry;
      readonly purgeSeq: Seq;
    }
  | { readonly kind: 'response'; readonly response: OriginResponse };

/** Callback for the reply to a request; called at most once. */
export type ReplyCallback = (reply: ClientReply) => void;

/** An attempt: a request as it is sent to one origin. */
export interface AttemptRequest {
  readonly service: ServiceName;
  readonly address: Address;
  readonly instance: InstanceId;
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /**
   * Time left until the request's deadline. Origin clients don't enforce it: the router's tick ends requests
   * whose deadline has passed.
   */
  readonly timeoutMs: number;
  /** Whether to open a new connection, so that a refused connection proves that the request was not sent. */
  readonly needsNewConnection: boolean;
}

/** Callbacks for the outcome of an attempt; exactly one of them is called, once, unless the attempt is cancelled. */
export interface AttemptHandlers {
  readonly onResponse: (response: OriginResponse) => void;
  readonly onFailure: (mayHaveReachedOrigin: boolean, text: string) => void;
}

/** Sends attempts to origins. */
export interface OriginClient {
  /** Sends an attempt; returns a function that cancels it, after which no handler is called. */
  readonly send: (attempt: AttemptRequest, handlers: AttemptHandlers) => () => void;
  /** Closes the idle connections to an instance that has left. */
  readonly closeIdleConnections: (instance: InstanceId) => void;
}

/** Read access to the current time and to the state of the node agent. */
export interface RouterContext {
  readonly now: () => Timestamp;
  readonly nodeAgent: () => NodeAgent;
}
