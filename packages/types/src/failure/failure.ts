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
  readonly unrun: boolean;
  /** Seconds after which asking again makes sense. */
  readonly retryAfter?: number;
}

const responses: ReadonlyMap<ErrorKind, ErrorResponse> = new Map<ErrorKind, ErrorResponse>([
  ['rejected', { status: 503, unrun: true, retryAfter: 1 }],
  ['unknown', { status: 502, unrun: false }],
  ['slow', { status: 504, unrun: false }],
  ['lost', { status: 502, unrun: false }],
  ['malformed', { status: 400, unrun: true }],
  ['oversized', { status: 413, unrun: true }],
  ['denied', { status: 403, unrun: true }],
  ['invalid', { status: 422, unrun: true }],
  ['stale', { status: 409, unrun: true }],
  ['absent', { status: 404, unrun: true }],
  ['unready', { status: 503, unrun: true, retryAfter: 1 }],
  ['damaged', { status: 500, unrun: true }],
  ['foreign', { status: 400, unrun: true }],
  ['broken', { status: 500, unrun: false }],
]);

const worst: ErrorResponse = { status: 500, unrun: false };
export const responseFor = (kind: ErrorKind): ErrorResponse => responses.get(kind) ?? worst;

/** One thing that went wrong. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly text: string;
}
export const failure = (kind: ErrorKind, text: string): Failure => ({ kind, text });
