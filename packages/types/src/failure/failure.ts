/**
 * Error kinds with their meaning, their HTTP status, and whether the origin or service is known not to
 * have processed the request. The names are part of the wire protocol and of HTTP bodies.
 */

/** All error kinds; {@link errorResponseFor} returns the response to each. */
export const errorKinds = [
  /** Load was shed, or no attempt could be started in time: not run, may be retried. 503. */
  'rejected',
  /** An attempt was sent and its outcome is unknown: the request may have run. 502. */
  'unknown',
  /** The request could not be parsed, e.g. invalid HTTP or JSON: not run. 400. */
  'malformed',
  /** The body or the header fields of the request exceed their limit: not run. 413. */
  'oversized',
  /** The deadline passed before a response arrived: the request may have run. 504. */
  'slow',
  /** The connection to the origin or service leader failed mid-request: it may have run. 502. */
  'lost',
  /** The client is not authorized to make the request: not run. 403. */
  'denied',
  /** The request was parsed but fails validation, e.g. of a configuration: not run. 422. */
  'invalid',
  /** The request is based on a superseded state, e.g. an older generation: not run. 409. */
  'stale',
  /** The path, route or name does not exist: not run. 404. */
  'absent',
  /** The process cannot serve yet, e.g. it has no configuration: not run, may be retried. 503. */
  'unready',
  /** Stored data failed an integrity check: not run. 500. */
  'damaged',
  /** A peer sent bytes that are not a frame of this protocol: they are discarded. 400. */
  'foreign',
  /** Internal error: the request may have run. 500. */
  'broken',
] as const;

/** Name of an error kind, as on the wire. */
export type ErrorKind = (typeof errorKinds)[number];

/** HTTP response to a failure, for a client or an operator. */
export interface ErrorResponse {
  readonly status: number;
  /** Whether the request is known not to have run; if false, it may or may not have. */
  readonly didNotRun: boolean;
  /** Seconds after which the client may retry; absent if a retry is not advised. */
  readonly retryAfter?: number;
}

const responses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  rejected: { status: 503, didNotRun: true, retryAfter: 1 },
  unknown: { status: 502, didNotRun: false },
  malformed: { status: 400, didNotRun: true },
  oversized: { status: 413, didNotRun: true },
  slow: { status: 504, didNotRun: false },
  lost: { status: 502, didNotRun: false },
  denied: { status: 403, didNotRun: true },
  invalid: { status: 422, didNotRun: true },
  stale: { status: 409, didNotRun: true },
  absent: { status: 404, didNotRun: true },
  unready: { status: 503, didNotRun: true, retryAfter: 1 },
  damaged: { status: 500, didNotRun: true },
  foreign: { status: 400, didNotRun: true },
  broken: { status: 500, didNotRun: false },
};

/** Returns the response to an error kind. */
export const errorResponseFor = (kind: ErrorKind): ErrorResponse => responses[kind];

/** Failed operation: its error kind, and a message for clients, operators or the log. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly text: string;
}

/** Creates a {@link Failure}. */
export const failure = (kind: ErrorKind, text: string): Failure => ({ kind, text });
