/**
 * The way of a forwarded request at a shield: the cache and the coalescing of equal requests first,
 * then the service leader, which decides about attempts. This module sends the attempts and keeps
 * their responses until the leader has chosen one.
 */

import {
  type RequestId,
  type Timestamp,
  type Seq,
  increment,
  toTimestamp,
  toDurationMs,
} from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields } from '@switchwheel/transport';
import { type CacheEntry, bodyDigest } from '../cache/cache.js';
import type { CacheLookup, CacheableRequest } from '../cache/cache-lookup.js';
import { responseAgeMs } from '../cache/cache-control.js';
import { forwardableFields, rewrittenFields } from '../cache/header-fields.js';
import { RequestCoalescing } from '../cache/request-coalescing.js';
import type { ProxyEffect } from '../proxy/state.js';
import type { AttemptOutcome } from '../service-leader/state.js';
import {
  InboundRequests,
  type InboundRequest,
  type ResponseWriter,
  type StreamHead,
} from './inbound-requests.js';
import {
  type HandlerContext,
  type AttemptPort,
  type AttemptRequest,
  type TransferLimits,
  defaultTransferLimits,
} from './ports.js';
import { type AttemptResult, type ResponseSink, ResponseVerifier } from './response-verifier.js';

type LeaderEffect = Extract<ProxyEffect, { leader: string }>;
type StartAttemptEffect = Extract<LeaderEffect, { kind: 'startAttempt' }>;

/** When the client of a request may come back for which there was no room. */
const retryMs = 1000;

/** A request that the service leader decides about. */
interface AdmittedRequest {
  readonly inbound: InboundRequest;
  readonly cacheable: CacheableRequest | undefined;
  readonly purgeSeqAtFetch: Seq;
  /** Hands the cached response, if there is one, to those who wait for this fetch. */
  readonly finishFetch: (entry: CacheEntry | undefined) => void;
}

/** A complete response that waits for the leader's decision. */
interface CompletedAttempt {
  readonly result: AttemptResult;
  readonly startedAt: Timestamp;
}

/** The fields of an origin's response that go on. */
const responseFields = (fields: HeaderFields): HeaderFields =>
  forwardableFields(fields, ['content-length', 'switchwheel-instance', 'switchwheel-unrun']);

const attemptKey = (effect: { readonly leader: string; readonly attemptId: number }): string =>
  `${effect.leader}/${effect.attemptId}`;

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

/** Handles forwarded requests at a shield. */
export class ShieldRequestHandler {
  /** The requests of edges that are under way here. */
  readonly inbound: InboundRequests;
  readonly #admitted = new Map<RequestId, AdmittedRequest>();
  readonly #verifiers = new Map<string, ResponseVerifier>();
  readonly #completed = new Map<string, CompletedAttempt>();
  readonly #coalescing: RequestCoalescing<CacheEntry | undefined>;
  readonly #attempts: AttemptPort;
  readonly #cacheLookup: CacheLookup;
  readonly #context: HandlerContext;
  readonly #limits: TransferLimits;
  readonly #onUntrusted: (instance: string, reason: string) => void;
  /** What happened here by name, for the metrics. */
  readonly counts = new Map<string, number>();

  constructor(
    attempts: AttemptPort,
    cacheLookup: CacheLookup,
    context: HandlerContext,
    onUntrusted: (instance: string, reason: string) => void,
    limits: TransferLimits = defaultTransferLimits,
  ) {
    this.#attempts = attempts;
    this.#cacheLookup = cacheLookup;
    this.#context = context;
    this.#onUntrusted = onUntrusted;
    this.#limits = limits;
    this.#coalescing = new RequestCoalescing(limits.maxCoalescedWaiters);
    this.inbound = new InboundRequests(limits, {
      onRequest: (inbound) => this.#onRequest(inbound),
      onCancelled: (id) => this.#onCancelled(id),
    });
  }

  /** Does what a service leader decided. */
  run(effect: LeaderEffect): void {
    switch (effect.kind) {
      case 'startAttempt':
        this.#startAttempt(effect);
        break;
      case 'cancelAttempt':
        this.#verifiers.get(attemptKey(effect))?.cancel();
        break;
      case 'useResponse':
        this.#useResponse(attemptKey(effect), effect.requestId);
        break;
      case 'rejectRequest':
        this.#count(`away_${effect.errorKind}`);
        this.#discard(effect.requestId);
        this.inbound.reject(effect.requestId, {
          errorKind: effect.errorKind,
          text: effect.text,
          retryAfter: effect.retryMs,
          moved: effect.leaderMoved,
        });
        break;
    }
  }

  /** Purges were applied: nobody joins a fetch that began before them. */
  onPurged(): void {
    this.#coalescing.detachAll();
  }

  #count(name: string): void {
    increment(this.counts, name);
  }

  #discard(id: RequestId): void {
    const admitted = this.#admitted.get(id);
    this.#admitted.delete(id);
    admitted?.finishFetch(undefined);
  }

  #onRequest(inbound: InboundRequest): void {
    this.#count('asked');
    const { request } = inbound;
    const { nodeAgent } = this.#context.state();
    const cacheable = this.#cacheLookup.cacheableForwardedRequest(
      nodeAgent.compiledConfiguration,
      request,
    );
    if (
      cacheable === undefined ||
      !this.#cacheLookup.isCurrent(nodeAgent, request.purged, this.#context.now())
    )
      this.#admit(inbound, cacheable, () => undefined);
    else if (!this.#respondFromCache(inbound, cacheable)) this.#coalesce(inbound, cacheable);
  }

  /** Waits for a fetch that is under way, or leads one that others may wait for. */
  #coalesce(inbound: InboundRequest, cacheable: CacheableRequest): void {
    const { id } = inbound.request;
    const joined = this.#coalescing.join(cacheable.coalescingKey, (entry) => {
      if (this.inbound.find(id) !== inbound) return;
      if (entry === undefined || !this.#respondFromCache(inbound, cacheable))
        this.#admit(inbound, cacheable, () => undefined);
    });
    if (joined === 'joined') this.#count('joined');
    else if (joined === 'full')
      this.inbound.reject(id, {
        errorKind: 'rejected',
        text: 'too many wait for results under way',
        retryAfter: retryMs,
        moved: false,
      });
    else this.#admit(inbound, cacheable, this.#coalescing.lead(cacheable.coalescingKey));
  }

  #respondFromCache(inbound: InboundRequest, cacheable: CacheableRequest): boolean {
    const { request, arrivedAt } = inbound;
    const entry = this.#cacheLookup.find(
      cacheable,
      this.#context.state().nodeAgent,
      request.purged,
      this.#context.now(),
    );
    if (entry === undefined) return false;
    this.#count('from_cache');
    const { status, fields, body, digest, createdAt } = entry;
    this.inbound.respond(request.id, {
      status,
      fields,
      body,
      digest,
      ageMs: Math.max(0, arrivedAt - createdAt),
      source: 'cache',
      purgeSeqAtFetch: this.#cacheLookup.cache.lastPurgeSeq,
    });
    return true;
  }

  /** Hands a request to the service leader, with the time that is left of it by now. */
  #admit(
    inbound: InboundRequest,
    cacheable: CacheableRequest | undefined,
    finishFetch: AdmittedRequest['finishFetch'],
  ): void {
    const { request, arrivedAt } = inbound;
    const purgeSeqAtFetch = this.#cacheLookup.cache.lastPurgeSeq;
    this.#admitted.set(request.id, { inbound, cacheable, purgeSeqAtFetch, finishFetch });
    this.#context.dispatch((now) => ({
      kind: 'inboundRequestArrived',
      now,
      request: { ...request, left: toDurationMs(Math.max(0, request.left - (now - arrivedAt))) },
    }));
  }

  #onCancelled(id: RequestId): void {
    this.#discard(id);
    this.#context.dispatch((now) => ({ kind: 'inboundRequestCancelled', now, id }));
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
    this.#attempts.cancel(key);
    // The leader decides while the event is dispatched; after that the response is of no use.
    if (response !== undefined) this.#completed.set(key, { result, startedAt });
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
      this.#context.state().lastWokeAt > startedAt &&
      this.#admitted.get(id)?.cacheable !== undefined
    );
  }

  #startAttempt(effect: StartAttemptEffect): void {
    const admitted = this.#admitted.get(effect.requestId);
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
    this.inbound.notifyAttemptStarted(effect.requestId);
    const verifier = this.#responseVerifier(effect, admitted, request, startedAt);
    this.#verifiers.set(key, verifier);
    this.#attempts.send(key, request, verifier);
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
        if (this.#isStale(effect.requestId, startedAt)) verifier.cancel();
        else writer = this.#startStream(effect, admitted, { status, fields, length });
      },
      write: (bytes, more) => writer?.write(bytes, more) ?? false,
    };
    const verifier = new ResponseVerifier({
      request,
      maxBufferedBytes: this.#limits.maxBufferedBytes,
      sink,
      onEnd: (result) => {
        const { kind } = result.outcome;
        writer?.end(kind === 'succeeded' || kind === 'originError');
        this.#onAttemptEnded(effect, startedAt, result);
      },
    });
    return verifier;
  }

  #startStream(
    { requestId, leader, attemptId }: StartAttemptEffect,
    { purgeSeqAtFetch, finishFetch }: AdmittedRequest,
    { status, fields, length }: Omit<StreamHead, 'purgeSeqAtFetch'>,
  ): ResponseWriter | undefined {
    this.#context.dispatch((now) => ({ kind: 'streamingStarted', now, leader, attemptId }));
    const head = { status, fields: responseFields(fields), length, purgeSeqAtFetch };
    const writer = this.inbound.startStream(requestId, head);
    finishFetch(undefined);
    return writer;
  }

  /** Sends the response that the leader chose to the edge, and caches it if it may be. */
  #useResponse(key: string, id: RequestId): void {
    const admitted = this.#admitted.get(id);
    this.#admitted.delete(id);
    const completed = this.#completed.get(key);
    const response = completed?.result.response;
    if (admitted === undefined || completed === undefined || response === undefined) {
      admitted?.finishFetch(undefined);
      return;
    }
    const { status, body } = response;
    const { inbound, cacheable, purgeSeqAtFetch } = admitted;
    const fields = responseFields(response.fields);
    const digest = bodyDigest(body);
    const createdAt = toTimestamp(completed.startedAt - responseAgeMs(response.fields));
    const fetched = { status, fields, body, digest, createdAt, purgeSeqAtFetch };
    const entry =
      cacheable === undefined
        ? undefined
        : this.#cacheLookup.store(cacheable, fetched, this.#context.now());
    this.inbound.respond(id, {
      status,
      fields,
      body,
      digest,
      ageMs: Math.max(0, inbound.arrivedAt - createdAt),
      source: 'origin',
      purgeSeqAtFetch,
    });
    admitted.finishFetch(entry);
  }
}
