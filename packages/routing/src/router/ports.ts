/** What the edge router receives and gives: requests, replies, its limits, and the client that reaches origins. */

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

/** The names of the headers that clients and origins use, in lower case. */
export interface HeaderNames {
  /** The id that each attempt of a client bears, and that origins echo. */
  readonly requestId: string;
  /** How many milliseconds the client, or the origin, has left. */
  readonly timeLeftMs: string;
  /** The one instance that may run a request. */
  readonly targetInstance: string;
  /** In a response: the origin did not run the request. */
  readonly unprocessed: string;
  /** The tags that purges by tag name. */
  readonly cacheTags: string;
  /** A success without it is not the origin's; undefined where origins give no proof. */
  readonly originProof: string | undefined;
}

/** The header names of a fleet that no platform has given others. */
export const defaultHeaderNames: HeaderNames = {
  requestId: 'switchwheel-id',
  timeLeftMs: 'switchwheel-deadline-ms',
  targetInstance: 'switchwheel-instance',
  unprocessed: 'switchwheel-unrun',
  cacheTags: 'cache-tag',
  originProof: undefined,
};

/** The limits that the fleet's edges keep together. */
export interface EdgeLimits {
  /** In any window extra attempts (retries and hedges) are this part of the requests, and the slack beside. */
  readonly extraAttemptRatio: number;
  readonly extraAttemptSlack: number;
  readonly extraAttemptWindowMs: number;
  /** In any window a service may be sent this many times what its rate allows. */
  readonly rateLimitWindowMs: number;
  readonly rateLimitOverageFactor: number;
  /** How long cached objects may be served after this edge last had every purge. */
  readonly maxPurgeLagMs: number;
  /** How soon after its confirmation a configuration has to be in force. */
  readonly maxApplyMs: number;
}

/** The limits where the settings give none. */
export const defaultEdgeLimits: EdgeLimits = {
  extraAttemptRatio: 0.2,
  extraAttemptSlack: 60,
  extraAttemptWindowMs: 10_000,
  rateLimitWindowMs: 5000,
  rateLimitOverageFactor: 1.1,
  maxPurgeLagMs: 1500,
  maxApplyMs: 2000,
};

/** A client's request with its whole body; names of fields are in lower case. */
export interface IncomingRequest {
  /** The client's id of the request; empty if it gave none. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** How long the client waits; undefined if it did not say. */
  readonly timeoutMs: number | undefined;
}

/** What a client gets in the end. */
export type ClientReply =
  | {
      readonly kind: 'failure';
      readonly errorKind: ErrorKind;
      readonly text: string;
      /** After how many milliseconds the client may try again; 0 says nothing about it. */
      readonly retryAfterMs: number;
    }
  /** An object that may be shared, and the last purge that it is known to have survived. */
  | {
      readonly kind: 'cached';
      readonly entry: CacheEntry;
      readonly purgeSeq: Seq;
    }
  | { readonly kind: 'response'; readonly response: OriginResponse };

/** Called once with the reply to a request. */
export type ReplyCallback = (reply: ClientReply) => void;

/** One attempt: a request as it is sent to one origin. */
export interface AttemptRequest {
  readonly service: ServiceName;
  readonly address: Address;
  readonly instance: InstanceId;
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly timeoutMs: number;
  /** Whether a connection of its own is opened for it: a refusal to open it is then certain. */
  readonly needsNewConnection: boolean;
}

/** Hears how an attempt ended; one of the two is called, once. */
export interface AttemptHandlers {
  readonly onResponse: (response: OriginResponse) => void;
  readonly onFailure: (mayHaveReachedOrigin: boolean, text: string) => void;
}

/** Sends attempts to origins. */
export interface OriginClient {
  /** Sends an attempt; gives what to call to cancel it, after which no handler is called. */
  readonly send: (attempt: AttemptRequest, handlers: AttemptHandlers) => () => void;
  /** Closes the idle connections to an instance that is gone. */
  readonly closeIdleConnections: (instance: InstanceId) => void;
}

/** What a router reads: the time, and the state of its node's agent. */
export interface RouterContext {
  readonly now: () => Timestamp;
  readonly nodeAgent: () => NodeAgent;
}
