/**
 * The closed list of error kinds: what each means, its HTTP status, and whether the request is known
 * not to have run. The kinds' names are part of the protocol between processes and of HTTP bodies.
 * Texts of single failures are made where they occur.
 */

/** What went wrong, as named on the wire; {@link errorResponseFor} gives each kind's response. */
export const errorKinds = [
  /** Load was shed, or no attempt could be started in time: not run, worth a retry. 503. */
  'rejected',
  /** An attempt was sent and its outcome is not known: the request may have run. 502. */
  'unknown',
  /** The request could not be read, e.g. invalid HTTP or JSON: not run. 400. */
  'malformed',
  /** The request's body or header exceeds its limit: not run. 413. */
  'oversized',
  /** The deadline passed before a response arrived: the request may have run. 504. */
  'slow',
  /** The connection to the origin or service leader failed mid-request: it may have run. 502. */
  'lost',
  /** The caller is not allowed to make the request: not run. 403. */
  'denied',
  /** The request was read but its content violates a rule, e.g. of the configuration: not run. 422. */
  'invalid',
  /** The request is based on a state that has been superseded, e.g. an older generation: not run. 409. */
  'stale',
  /** Nothing is known under that path, route or name: not run. 404. */
  'absent',
  /** The process cannot serve yet, e.g. it has no configuration: not run, worth a retry. 503. */
  'unready',
  /** Stored data failed a check: not run. 500. */
  'damaged',
  /** A peer sent bytes that are no frame of this protocol: nothing of them is used. 400. */
  'foreign',
  /** The program itself failed: the request may have run. 500. */
  'broken',
] as const;

/** One of {@link errorKinds}. */
export type ErrorKind = (typeof errorKinds)[number];

/** How a failure is answered to a client or an operator. */
export interface ErrorResponse {
  /** The HTTP status. */
  readonly status: number;
  /** Whether the request is known not to have run; if not, it may or may not have run. */
  readonly didNotRun: boolean;
  /** Seconds after which a retry makes sense; absent if it makes none. */
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

/** The response that a kind of error turns into. */
export const errorResponseFor = (kind: ErrorKind): ErrorResponse => responses[kind];

/** One thing that went wrong: its kind, and a sentence for whoever reads it. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly text: string;
}

/** Makes a {@link Failure}. */
export const failure = (kind: ErrorKind, text: string): Failure => ({ kind, text });
