/**
 * The attempts of a shield at origins: they are sent, their responses verified, and complete ones
 * kept until the service leader has decided whether to use them.
 */

import type { RequestId, Timestamp, Seq } from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields } from '@switchwheel/transport';
import type { CacheEntry } from '../cache/cache.js';
import type { CacheableRequest } from '../cache/cache-lookup.js';
import { forwardableFields, rewrittenFields } from '../cache/header-fields.js';
import type { ProxyEffect } from '../proxy/state.js';
import type { AttemptOutcome } from '../service-leader/state.js';
import type {
  InboundRequest,
  InboundRequests,
  ResponseWriter,
  StreamHead,
} from './inbound-requests.js';
import type { AttemptPort, AttemptRequest, HandlerContext } from './ports.js';
import {
  type AttemptResult,
  type CompleteResponse,
  type ResponseSink,
  ResponseVerifier,
} from './response-verifier.js';

type StartAttemptEffect = Extract<ProxyEffect, { kind: 'startAttempt' }>;

/** A request that the service leader decides about. */
export interface AdmittedRequest {
  readonly inbound: InboundRequest;
  readonly cacheable: CacheableRequest | undefined;
  readonly purgeSeqAtFetch: Seq;
  /** Hands the cached response, if there is one, to those who wait for this fetch. */
  readonly finishFetch: (entry: CacheEntry | undefined) => void;
}

/** A complete response that waits for the leader's decision. */
export interface CompletedAttempt {
  readonly response: CompleteResponse;
  readonly startedAt: Timestamp;
}

/** What names an attempt: its leader and its number there. */
export interface AttemptReference {
  readonly leader: string;
  readonly attemptId: number;
}

const attemptKey = ({ leader, attemptId }: AttemptReference): string => `${leader}/${attemptId}`;

/** The fields of an origin's response that go on. */
export const responseFields = (fields: HeaderFields): HeaderFields =>
  forwardableFields(fields, ['content-length', 'switchwheel-instance', 'switchwheel-unrun']);

/** The request that goes to the origin. */
const attemptRequest = (
  effect: StartAttemptEffect,
  forwarded: ForwardedRequest,
): AttemptRequest => ({
  address: effect.address,
  instance: effect.instance,
  service: forwarded.service,
  method: forwarded.method,
  target: forwarded.path,
  body: forwarded.body,
  fields: forwardableFields(forwarded.fields, rewrittenFields).concat([['host', forwarded.host]]),
  timeoutMs: Math.ceil(effect.timeoutMs),
  isIdempotent: forwarded.repeatable,
});

/** The names under which outcomes of attempts are counted in the metrics. */
const attemptCounters: Readonly<Record<AttemptOutcome['kind'], string>> = {
  succeeded: 'leg_good',
  originError: 'leg_bad',
  notRun: 'leg_unrun',
  notSent: 'leg_unopened',
  lost: 'leg_lost',
  timedOut: 'leg_slow',
  cancelled: 'leg_dropped',
};

/** What the attempts of a shield stand on. */
export interface OriginAttemptsOptions {
  readonly port: AttemptPort;
  readonly context: HandlerContext;
  readonly inbound: InboundRequests;
  /** A larger response goes to the edge while it comes in. */
  readonly maxBufferedBytes: number;
  readonly findAdmitted: (id: RequestId) => AdmittedRequest | undefined;
  /** Adds one to a counter of the metrics. */
  readonly count: (name: string) => void;
  /** A response was not trusted. */
  readonly onUntrusted: (instance: string, reason: string) => void;
}

/** The attempts that are under way, and the responses that wait for a decision. */
export class OriginAttempts {
  readonly #verifiers = new Map<string, ResponseVerifier>();
  readonly #completed = new Map<string, CompletedAttempt>();
  readonly #port: AttemptPort;
  readonly #context: HandlerContext;
  readonly #inbound: InboundRequests;
  readonly #maxBufferedBytes: number;
  readonly #findAdmitted: OriginAttemptsOptions['findAdmitted'];
  readonly #count: OriginAttemptsOptions['count'];
  readonly #onUntrusted: OriginAttemptsOptions['onUntrusted'];

  constructor(options: OriginAttemptsOptions) {
    this.#port = options.port;
    this.#context = options.context;
    this.#inbound = options.inbound;
    this.#maxBufferedBytes = options.maxBufferedBytes;
    this.#findAdmitted = options.findAdmitted;
    this.#count = options.count;
    this.#onUntrusted = options.onUntrusted;
  }

  /** Starts an attempt for a request, if anybody still waits for it. */
  start(effect: StartAttemptEffect): void {
    const admitted = this.#findAdmitted(effect.requestId);
    const startedAt = this.#context.now();
    if (admitted === undefined) {
      this.#onAttemptEnded(effect, startedAt, {
        outcome: { kind: 'notSent', text: 'nobody waits for it' },
        response: undefined,
      });
      return;
    }
    const key = attemptKey(effect);
    const request = attemptRequest(effect, admitted.inbound.request);
    this.#inbound.notifyAttemptStarted(effect.requestId);
    const verifier = this.#responseVerifier(effect, admitted, request, startedAt);
    this.#verifiers.set(key, verifier);
    this.#port.send(key, request, verifier);
  }

  /** Ends an attempt that the leader wants no more of. */
  cancel(reference: AttemptReference): void {
    this.#verifiers.get(attemptKey(reference))?.cancel();
  }

  /** The complete response of an attempt, while the leader decides about it. */
  completed(reference: AttemptReference): CompletedAttempt | undefined {
    return this.#completed.get(attemptKey(reference));
  }

  #onAttemptEnded(effect: StartAttemptEffect, startedAt: Timestamp, ended: AttemptResult): void {
    const key = attemptKey(effect);
    const { leader, attemptId } = effect;
    const isStale = ended.response !== undefined && this.#isStale(effect.requestId, startedAt);
    const result: AttemptResult = isStale
      ? { outcome: { kind: 'cancelled' }, response: undefined }
      : ended;
    const { outcome, response } = result;
    this.#count(attemptCounters[outcome.kind]);
    if (outcome.kind === 'lost') this.#onUntrusted(effect.instance, outcome.text);
    this.#verifiers.delete(key);
    this.#port.cancel(key);
    // The leader decides while the event is dispatched; after that the response is of no use.
    if (response !== undefined) this.#completed.set(key, { response, startedAt });
    this.#context.dispatch((now) => ({
      kind: 'attemptEnded',
      now,
      leader,
      attemptId,
      outcome,
      durationMs: now - startedAt,
    }));
    this.#completed.delete(key);
  }

  /**
   * Whether a cacheable response may have been purged or expired here: this process was suspended
   * since its attempt began, and nobody knows for how long the response waited.
   */
  #isStale(id: RequestId, startedAt: Timestamp): boolean {
    return (
      this.#context.state().lastResumedAt > startedAt &&
      this.#findAdmitted(id)?.cacheable !== undefined
    );
  }

  /** Verifies the response of an attempt; a large one goes to the edge while it comes in. */
  #responseVerifier(
    effect: StartAttemptEffect,
    admitted: AdmittedRequest,
    request: AttemptRequest,
    startedAt: Timestamp,
  ): ResponseVerifier {
    let writer: ResponseWriter | undefined;
    const sink: ResponseSink = {
      start: (status, fields, length) => {
        if (this.#isStale(effect.requestId, startedAt)) {
          verifier.cancel();
          return;
        }
        const { purgeSeqAtFetch } = admitted;
        writer = this.#startStream(effect, { status, fields, length, purgeSeqAtFetch });
        admitted.finishFetch(undefined);
      },
      write: (bytes, onReady) => writer?.write(bytes, onReady) ?? false,
    };
    const verifier = new ResponseVerifier({
      request,
      maxBufferedBytes: this.#maxBufferedBytes,
      sink,
      onEnd: (result) => {
        const { kind } = result.outcome;
        writer?.end(kind === 'succeeded' || kind === 'originError');
        this.#onAttemptEnded(effect, startedAt, result);
      },
    });
    return verifier;
  }

  /** Tells the leader, and opens the response to the edge. */
  #startStream(
    { requestId, leader, attemptId }: StartAttemptEffect,
    head: StreamHead,
  ): ResponseWriter | undefined {
    this.#context.dispatch((now) => ({ kind: 'streamingStarted', now, leader, attemptId }));
    return this.#inbound.startStream(requestId, { ...head, fields: responseFields(head.fields) });
  }
}
