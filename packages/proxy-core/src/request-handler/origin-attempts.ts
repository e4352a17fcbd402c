/**
 * Attempts of a shield at origins: sends them, verifies the responses, and holds complete ones
 * until the service leader has decided whether to use them.
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
import type { AttemptPort, OriginAttemptRequest, HandlerContext } from './ports.js';
import {
  type AttemptResult,
  type CompleteResponse,
  type ResponseSink,
  ResponseVerifier,
} from './response-verifier.js';

type StartAttemptEffect = Extract<ProxyEffect, { kind: 'startAttempt' }>;

/** Request that was passed to the service leader. */
export interface AdmittedRequest {
  readonly inbound: InboundRequest;
  readonly cacheable: CacheableRequest | undefined;
  readonly purgeSeqAtFetch: Seq;
  /** Passes the cached response, if there is one, to the requests that wait for this fetch. */
  readonly finishFetch: (entry: CacheEntry | undefined) => void;
}

/** Complete response that awaits the leader's decision. */
export interface CompletedAttempt {
  readonly response: CompleteResponse;
  readonly startedAt: Timestamp;
}

/** Identifies an attempt by its leader and its id there. */
export interface AttemptReference {
  readonly leader: string;
  readonly attemptId: number;
}

const attemptKey = ({ leader, attemptId }: AttemptReference): string => `${leader}/${attemptId}`;

/** Returns the header fields of an origin's response to pass on. */
export const responseFields = (fields: HeaderFields): HeaderFields =>
  forwardableFields(fields, ['content-length', 'switchwheel-instance', 'switchwheel-unrun']);

/** Builds the request to the origin. */
const attemptRequest = (
  effect: StartAttemptEffect,
  forwarded: ForwardedRequest,
): OriginAttemptRequest => ({
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

/** Names of the metrics' counters of attempt outcomes. */
const attemptCounters: Readonly<Record<AttemptOutcome['kind'], string>> = {
  succeeded: 'leg_good',
  originError: 'leg_bad',
  notRun: 'leg_unrun',
  notSent: 'leg_unopened',
  lost: 'leg_lost',
  timedOut: 'leg_slow',
  cancelled: 'leg_dropped',
};

/** Dependencies of `OriginAttempts`. */
export interface OriginAttemptsOptions {
  readonly port: AttemptPort;
  readonly context: HandlerContext;
  readonly inbound: InboundRequests;
  /** Size above which a response is streamed to the edge. */
  readonly maxBufferedBytes: number;
  readonly findAdmitted: (id: RequestId) => AdmittedRequest | undefined;
  /** Increments a counter of the metrics. */
  readonly count: (name: string) => void;
  /**
   * Called for each attempt with the outcome `lost`: its response was incomplete or failed
   * verification.
   */
  readonly onUntrusted: (instance: string, reason: string) => void;
}

/** Attempts in progress, and complete responses that await a decision. */
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

  /** Starts an attempt, unless its request is gone. */
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

  /** Cancels an attempt. */
  cancel(reference: AttemptReference): void {
    this.#verifiers.get(attemptKey(reference))?.cancel();
  }

  /** Returns the complete response of an attempt while the leader decides about it. */
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
    // The leader decides while the event is dispatched; afterwards the response is dropped.
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
   * after the start of the attempt, and it is unknown how long the response has been waiting.
   */
  #isStale(id: RequestId, startedAt: Timestamp): boolean {
    return (
      this.#context.state().lastResumedAt > startedAt &&
      this.#findAdmitted(id)?.cacheable !== undefined
    );
  }

  /**
   * Creates the verifier for the response of an attempt; a large response is streamed to the edge.
   */
  #responseVerifier(
    effect: StartAttemptEffect,
    admitted: AdmittedRequest,
    request: OriginAttemptRequest,
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

  /** Notifies the leader of the streamed response, and starts it towards the edge. */
  #startStream(
    { requestId, leader, attemptId }: StartAttemptEffect,
    head: StreamHead,
  ): ResponseWriter | undefined {
    this.#context.dispatch((now) => ({ kind: 'streamingStarted', now, leader, attemptId }));
    return this.#inbound.startStream(requestId, { ...head, fields: responseFields(head.fields) });
  }
}
