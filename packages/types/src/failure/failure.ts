/** The closed list of what can go wrong, each with the answer it turns into. */
export const errorKinds = [
  'rejected',
  'unknown',
  'malformed',
  'oversized',
  'slow',
  'lost',
  'denied',
  'invalid',
  'stale',
  'absent',
  'unready',
  'damaged',
  'foreign',
  'broken',
] as const;
export type ErrorKind = (typeof errorKinds)[number];

/** How a kind is told to a caller or an operator. */
export interface ErrorResponse {
  readonly status: number;
  /** Whether the request is known not to have run. */
  readonly didNotRun: boolean;
  /** Seconds after which asking again makes sense. */
  readonly retryAfter?: number;
}

const responses: ReadonlyMap<ErrorKind, ErrorResponse> = new Map<ErrorKind, ErrorResponse>([
  ['rejected', { status: 503, didNotRun: true, retryAfter: 1 }],
  ['unknown', { status: 502, didNotRun: false }],
  ['slow', { status: 504, didNotRun: false }],
  ['lost', { status: 502, didNotRun: false }],
  ['malformed', { status: 400, didNotRun: true }],
  ['oversized', { status: 413, didNotRun: true }],
  ['denied', { status: 403, didNotRun: true }],
  ['invalid', { status: 422, didNotRun: true }],
  ['stale', { status: 409, didNotRun: true }],
  ['absent', { status: 404, didNotRun: true }],
  ['unready', { status: 503, didNotRun: true, retryAfter: 1 }],
  ['damaged', { status: 500, didNotRun: true }],
  ['foreign', { status: 400, didNotRun: true }],
  ['broken', { status: 500, didNotRun: false }],
]);

const worst: ErrorResponse = { status: 500, didNotRun: false };
export const errorResponseFor = (kind: ErrorKind): ErrorResponse => responses.get(kind) ?? worst;

/** One thing that went wrong. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly text: string;
}
export const failure = (kind: ErrorKind, text: string): Failure => ({ kind, text });
