/**
 * Handling of forwarded requests at a shield: the cache and the coalescing of equal requests, then
 * the service leader, which decides about attempts. Attempts are executed in `origin-attempts`.
 */

import { type RequestId, increment, toTimestamp, toDurationMs } from '@switchwheel/types';
import { type CacheEntry, bodyDigest } from '../cache/cache.js';
import { responseAgeMs } from '../cache/cache-control.js';
import type { CacheLookup, CacheableRequest } from '../cache/cache-lookup.js';
import { RequestCoalescing } from '../cache/request-coalescing.js';
import type { ProxyEffect } from '../proxy/state.js';
import { InboundRequests, type InboundRequest } from './inbound-requests.js';
import { type AdmittedRequest, OriginAttempts, responseFields } from './origin-attempts.js';
import {
  type HandlerContext,
  type AttemptPort,
  type TransferLimits,
  defaultTransferLimits,
} from './ports.js';

type LeaderEffect = Extract<ProxyEffect, { leader: string }>;

/** Suggested retry delay for requests rejected for lack of capacity. */
const rejectionRetryAfterMs = 1000;

/** Handles forwarded requests at a shield. */
export class ShieldRequestHandler {
  /** Forwarded requests in progress here. */
  readonly inbound: InboundRequests;
  readonly #admitted = new Map<RequestId, AdmittedRequest>();
  readonly #coalescing: RequestCoalescing<CacheEntry | undefined>;
  readonly #attempts: OriginAttempts;
  readonly #cacheLookup: CacheLookup;
  readonly #context: HandlerContext;
  /** Event counters by name, for the metrics. */
  readonly counts = new Map<string, number>();

  constructor(
    attemptPort: AttemptPort,
    cacheLookup: CacheLookup,
    context: HandlerContext,
    onUntrusted: (instance: string, reason: string) => void,
    limits: TransferLimits = defaultTransferLimits,
  ) {
    this.#cacheLookup = cacheLookup;
    this.#context = context;
    this.#coalescing = new RequestCoalescing(limits.maxCoalescedWaiters);
    this.inbound = new InboundRequests(limits, {
      onRequest: (inbound) => this.#onRequest(inbound),
      onCancelled: (id) => this.#onCancelled(id),
    });
    this.#attempts = new OriginAttempts({
      port: attemptPort,
      context,
      inbound: this.inbound,
      maxBufferedBytes: limits.maxBufferedBytes,
      findAdmitted: (id) => this.#admitted.get(id),
      count: (name) => this.#count(name),
      onUntrusted,
    });
  }

  /** Executes an effect of a service leader. */
  run(effect: LeaderEffect): void {
    switch (effect.kind) {
      case 'startAttempt':
        this.#attempts.start(effect);
        break;
      case 'cancelAttempt':
        this.#attempts.cancel(effect);
        break;
      case 'useResponse':
        this.#useResponse(effect);
        break;
      case 'rejectRequest':
        this.#count(`away_${effect.errorKind}`);
        this.#discard(effect.requestId);
        this.inbound.reject(effect.requestId, {
          errorKind: effect.errorKind,
          text: effect.text,
          retryAfter: effect.retryAfterMs,
          moved: effect.leaderMoved,
        });
        break;
    }
  }

  /** Called after purges were applied. Fetches that started before them can no longer be joined. */
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

  /** Joins a fetch in progress, or starts one that others may join. */
  #coalesce(inbound: InboundRequest, cacheable: CacheableRequest): void {
    const { id } = inbound.request;
    const joinResult = this.#coalescing.join(cacheable.coalescingKey, (entry) => {
      if (this.inbound.find(id) !== inbound) return;
      if (entry === undefined || !this.#respondFromCache(inbound, cacheable))
        this.#admit(inbound, cacheable, () => undefined);
    });
    if (joinResult === 'joined') this.#count('joined');
    else if (joinResult === 'full')
      this.inbound.reject(id, {
        errorKind: 'rejected',
        text: 'too many wait for results under way',
        retryAfter: rejectionRetryAfterMs,
        moved: false,
      });
    else this.#admit(inbound, cacheable, this.#coalescing.startFetch(cacheable.coalescingKey));
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

  /** Dispatches a request to the service leader, with the time that is left until its deadline. */
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

  /**
   * Sends the response chosen by the leader to the edge, and stores it in the cache if permitted.
   */
  #useResponse(effect: Extract<LeaderEffect, { kind: 'useResponse' }>): void {
    const id = effect.requestId;
    const admitted = this.#admitted.get(id);
    this.#admitted.delete(id);
    const completed = this.#attempts.completed(effect);
    if (admitted === undefined || completed === undefined) {
      admitted?.finishFetch(undefined);
      return;
    }
    const { response, startedAt } = completed;
    const { status, body } = response;
    const { inbound, cacheable, purgeSeqAtFetch } = admitted;
    const fields = responseFields(response.fields);
    const digest = bodyDigest(body);
    const createdAt = toTimestamp(startedAt - responseAgeMs(response.fields));
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
