import type {
  Address,
  InstanceId,
  ErrorKind,
  Timestamp,
  Seq,
  ServiceName,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { NodeAgent, CacheEntry } from '@switchwheel/proxy-core';
import type { OriginResponse } from '../attempt-state/attempt-state.js';

/** The header names that callers and origins use, all in lower case. */
export interface HeaderNames {
  /** The id that each try of a caller bears, and that origins echo. */
  readonly requestId: string;
  /** Milliseconds that the caller, or the origin, has left. */
  readonly timeLeftMs: string;
  /** The one instance that may run a request. */
  readonly targetInstance: string;
  /** Says that the origin did not run the request. */
  readonly unprocessed: string;
  /** What purges by tag go by. */
  readonly cacheTags: string;
  /** Without it a success is not the origin's. */
  readonly originProof: string | undefined;
}
export const defaultHeaderNames: HeaderNames = {
  requestId: 'switchwheel-id',
  timeLeftMs: 'switchwheel-deadline-ms',
  targetInstance: 'switchwheel-instance',
  unprocessed: 'switchwheel-unrun',
  cacheTags: 'cache-tag',
  originProof: undefined,
};

/** What the rules leave to one edge of the fleet. */
export interface EdgeLimits {
  /** Extra legs: a share of the requests, and some more, in any window. */
  readonly extraAttemptRatio: number;
  readonly extraAttemptSlack: number;
  readonly extraAttemptWindowMs: number;
  /** How much over its rate a service may be asked in any window. */
  readonly rateLimitWindowMs: number;
  readonly rateLimitOverageFactor: number;
  /** How long what is kept may be told after this edge last was known to have heard of every purge. */
  readonly maxPurgeLagMs: number;
  /** Within which span after its confirmation a description has to be in force. */
  readonly maxApplyMs: number;
}
export const defaultEdgeLimits: EdgeLimits = {
  extraAttemptRatio: 0.2,
  extraAttemptSlack: 60,
  extraAttemptWindowMs: 10_000,
  rateLimitWindowMs: 5000,
  rateLimitOverageFactor: 1.1,
  maxPurgeLagMs: 1500,
  maxApplyMs: 2000,
};

/** A request as it came from a caller, with its whole body; names of fields as they came. */
export interface IncomingRequest {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly timeoutMs: number | undefined;
}

/** What a caller is told. */
export type ClientReply =
  | {
      readonly kind: 'failure';
      readonly errorKind: ErrorKind;
      readonly text: string;
      readonly retryAfterMs: number;
    }
  /** An object that may be shared, and the last purge that it is known to have outlived. */
  | {
      readonly kind: 'cached';
      readonly entry: CacheEntry;
      readonly purgeSeq: Seq;
    }
  | { readonly kind: 'response'; readonly response: OriginResponse };
export type ReplyCallback = (word: ClientReply) => void;

/** A request on its way to one origin. */
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
  /** Whether a connection of its own is opened for it: then a refusal to open is certain. */
  readonly needsNewConnection: boolean;
}

export interface AttemptHandlers {
  readonly onResponse: (answer: OriginResponse) => void;
  readonly onFailure: (sent: boolean, text: string) => void;
}

/** Sends requests to origins; gives what to call to break one off. */
export interface OriginClient {
  readonly send: (order: AttemptRequest, ears: AttemptHandlers) => () => void;
  /** Connections to an instance that is no more are closed when they are idle. */
  readonly forget: (instance: InstanceId) => void;
}

/** What the way of a request stands on. */
export interface RouterContext {
  readonly now: () => Timestamp;
  readonly nodeAgent: () => NodeAgent;
}
