/**
 * Handling of client requests at an edge: after the route lookup a request passes a chain of
 * filters for the cache, the coalescing of equal requests, and forwarding to the leader of its
 * service. HTTP itself is left to the program.
 */

import {
  type RequestId,
  type Timestamp,
  type Seq,
  noGeneration,
  noSeq,
  hashToFraction,
  increment,
  toRequestId,
  toTimestamp,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import { type CompiledRoute, pickService } from '@switchwheel/configuration';
import { cacheTags } from '../cache/cache-control.js';
import {
  type CacheLookup,
  type CacheableRequest,
  creationTime,
  conditionalFields,
} from '../cache/cache-lookup.js';
import { forwardableFields, rewrittenFields } from '../cache/header-fields.js';
import { RequestCoalescing } from '../cache/request-coalescing.js';
import type { ForwardingEffect, NewForward } from '../forwarding/state.js';
import { mayServeFromCache } from '../node-agent/readiness.js';
import { failureReply } from './failure.js';
import { ForwardedRequests } from './forwarded-requests.js';
import {
  type HandlerContext,
  type ClientRequest,
  type ClientConnection,
  type OpenDataChannel,
  type TransferLimits,
  type Reply,
  defaultTransferLimits,
} from './ports.js';
import { type ForwardOutcome, ForwardedRequestState } from './request-state.js';
import { type RouteLookup, lookUpRoute } from './route-lookup.js';

/**
 * Duration above which a response is checked against purges: a slower response may predate a purge
 * that must have been applied by the time it arrives.
 */
const purgeCheckThresholdMs = 1800;
/** Suggested retry delay for requests rejected for lack of capacity or time. */
const rejectionRetryAfterMs = 1000;

/** State of a request in the filter chain. */
interface FilterContext {
  readonly request: ClientRequest;
  readonly route: CompiledRoute;
  readonly client: ClientConnection;
  readonly deadline: Timestamp;
  readonly cacheable: CacheableRequest | undefined;
  /**
   * Passes the outcome to the requests that wait for this fetch; undefined if the fetch can't be
   * joined.
   */
  readonly finishFetch: ((outcome: ForwardOutcome) => void) | undefined;
  /** Id of the forwarded request; undefined until it is forwarded. */
  readonly forwarded: { id: RequestId | undefined };
}
type Filter = (filterContext: FilterContext, next: (filterContext: FilterContext) => void) => void;

/**
 * Runs the first filter, which replies to the request or calls `next` to run the remaining ones.
 */
const runFilters = (filters: readonly Filter[], filterContext: FilterContext): void => {
  const [filter, ...remainingFilters] = filters;
  filter?.(filterContext, (next) => runFilters(remainingFilters, next));
};

/** Appends the client's address to X-Forwarded-For. */
const withForwardedFor = (request: ClientRequest, fields: HeaderFields): HeaderFields => {
  const earlierAddresses = fields
    .filter(([name]) => name === 'x-forwarded-for')
    .map(([, value]) => value);
  return [
    ...fields.filter(([name]) => name !== 'x-forwarded-for'),
    ['x-forwarded-for', [...earlierAddresses, request.remoteAddress].join(', ')],
  ];
};

/**
 * Returns the header fields to forward. Conditional fields of a cacheable request are left out,
 * since the complete response is needed.
 */
const fieldsToForward = (request: ClientRequest, isCacheable: boolean): HeaderFields => {
  const omitted = isCacheable ? [...conditionalFields, ...rewrittenFields] : rewrittenFields;
  return withForwardedFor(request, forwardableFields(request.fields, omitted));
};

/** Handles client requests at an edge. */
export class EdgeRequestHandler {
  readonly #forwarded: ForwardedRequests;
  readonly #coalescing: RequestCoalescing<ForwardOutcome>;
  readonly #cacheLookup: CacheLookup;
  readonly #context: HandlerContext;
  readonly #idPrefix: string;
  readonly #limits: TransferLimits;
  readonly #filters: readonly Filter[];
  #forwardedCount = 0;
  /** Event counters by name, for the metrics. */
  readonly counts = new Map<string, number>();

  /** `idPrefix` must be unique to this process: the ids of its requests start with it. */
  constructor(
    idPrefix: string,
    cacheLookup: CacheLookup,
    openChannel: OpenDataChannel,
    context: HandlerContext,
    limits: TransferLimits = defaultTransferLimits,
  ) {
    this.#idPrefix = idPrefix;
    this.#cacheLookup = cacheLookup;
    this.#context = context;
    this.#limits = limits;
    this.#coalescing = new RequestCoalescing(limits.maxCoalescedWaiters);
    this.#forwarded = new ForwardedRequests({
      context,
      openChannel,
      onIncomplete: () => this.count('broke_off'),
    });
    this.#filters = [
      (request, next) => this.#cacheFilter(request, next),
      (request, next) => this.#coalescingFilter(request, next),
      (request) => this.#forwardingFilter(request),
    ];
  }

  /** Number of forwarded requests in progress. */
  get openRequests(): number {
    return this.#forwarded.size;
  }

  /** Called after purges were applied. Fetches that started before them can no longer be joined. */
  onPurged(): void {
    this.#coalescing.detachAll();
  }

  /**
   * Finds the route of a request before its body is read; returns the reply to send if there is
   * none.
   */
  findRoute(method: string, host: string, target: string): RouteLookup {
    const { nodeAgent } = this.#context.state();
    const lookup = lookUpRoute(nodeAgent, { method, host, target }, this.#context.now());
    if ('failure' in lookup) this.count(`fault_${lookup.failure.errorKind}`);
    return lookup;
  }

  /** Handles a request with its body. Returns the function to call when the client disconnects. */
  serve(route: CompiledRoute, request: ClientRequest, client: ClientConnection): () => void {
    const forwarded: FilterContext['forwarded'] = { id: undefined };
    const { method, host, target, fields } = request;
    const cacheable = this.#cacheLookup.cacheableRequest(route, method, host, target, fields);
    runFilters(this.#filters, {
      request,
      route,
      client,
      cacheable,
      forwarded,
      finishFetch: undefined,
      deadline: toTimestamp(this.#context.now() + route.timeoutMs),
    });
    // Other requests may wait for a cacheable response, so its fetch continues without the client.
    return () => {
      if (cacheable === undefined && forwarded.id !== undefined)
        this.#cancel(forwarded.id, 'the caller left');
    };
  }

  /**
   * Aborts all requests in progress with an error visible to their clients; returns their number.
   */
  abortAll(text: string): number {
    const { ids } = this.#forwarded;
    for (const id of ids) this.#cancel(id, text);
    return ids.length;
  }

  /** Increments a counter of the metrics. */
  count(name: string): void {
    increment(this.counts, name);
  }

  /** Executes an effect of the forwarding module. */
  run(effect: ForwardingEffect): void {
    this.#forwarded.run(effect);
  }

  #reply({ client }: FilterContext, reply: Reply): void {
    this.count(reply.kind === 'failure' ? `fault_${reply.errorKind}` : `from_${reply.source}`);
    client.reply(reply);
  }

  #replyFromCache(
    filterContext: FilterContext,
    cacheable: CacheableRequest,
    source: string,
  ): boolean {
    const now = this.#context.now();
    const { nodeAgent } = this.#context.state();
    const entry = this.#cacheLookup.find(cacheable, nodeAgent, noSeq, now);
    if (entry !== undefined)
      this.#reply(filterContext, { kind: 'cached', entry, servedAt: now, source });
    return entry !== undefined;
  }

  #cacheFilter(filterContext: FilterContext, next: (filterContext: FilterContext) => void): void {
    const { cacheable } = filterContext;
    if (cacheable === undefined || !this.#replyFromCache(filterContext, cacheable, 'edge'))
      next(filterContext);
  }

  #coalescingFilter(
    filterContext: FilterContext,
    next: (filterContext: FilterContext) => void,
  ): void {
    const { cacheable } = filterContext;
    if (cacheable === undefined) {
      next(filterContext);
      return;
    }
    const joinResult = this.#coalescing.join(cacheable.coalescingKey, (outcome) => {
      if (this.#replyFromCache(filterContext, cacheable, 'edge')) return;
      if (outcome.kind === 'failure') this.#reply(filterContext, outcome);
      else if (this.#context.now() >= filterContext.deadline)
        this.#reply(
          filterContext,
          failureReply('rejected', 'what it waited for came too late', rejectionRetryAfterMs),
        );
      else next(filterContext);
    });
    if (joinResult === 'joined') this.count('joined');
    else if (joinResult === 'full')
      this.#reply(
        filterContext,
        failureReply('rejected', 'too many wait for results under way', rejectionRetryAfterMs),
      );
    else
      next({ ...filterContext, finishFetch: this.#coalescing.startFetch(cacheable.coalescingKey) });
  }

  #forwardingFilter(filterContext: FilterContext): void {
    const { request, client, cacheable, finishFetch } = filterContext;
    this.#forwardedCount += 1;
    const id = toRequestId(`${this.#idPrefix}.${this.#forwardedCount}`);
    const sentAt = this.#context.now();
    const purgeSeq = this.#cacheLookup.cache.lastPurgeSeq;
    filterContext.forwarded.id = id;
    this.#forwarded.add(
      new ForwardedRequestState({
        id,
        body: request.body,
        client,
        maxBufferedBytes: this.#limits.maxBufferedBytes + this.#limits.chunkBytes,
        isStale: (fields) =>
          cacheable !== undefined && this.#isStale(cacheable, fields, sentAt, purgeSeq),
        onOutcome: (outcome) => {
          this.#onOutcome(filterContext, sentAt, outcome);
          finishFetch?.(outcome);
        },
      }),
    );
    const newForward = this.#newForward(filterContext, id, purgeSeq);
    this.#context.dispatch((now) => ({ kind: 'requestAccepted', now, request: newForward }));
  }

  #newForward(filterContext: FilterContext, id: RequestId, requiredPurgeSeq: Seq): NewForward {
    const { request, route, deadline } = filterContext;
    const isCacheable = filterContext.cacheable !== undefined;
    const { compiledConfiguration } = this.#context.state().nodeAgent;
    return {
      id,
      service: pickService(route, hashToFraction(id)),
      generation: compiledConfiguration?.generation ?? noGeneration,
      route: route.name,
      className: route.className,
      method: request.method === 'HEAD' && isCacheable ? 'GET' : request.method,
      host: request.host,
      path: request.target,
      fields: fieldsToForward(request, isCacheable),
      isIdempotent: route.isIdempotent,
      isCacheable,
      deadline,
      requiredPurgeSeq,
    };
  }

  #onOutcome(filterContext: FilterContext, sentAt: Timestamp, outcome: ForwardOutcome): void {
    switch (outcome.kind) {
      case 'failure':
        this.#reply(filterContext, outcome);
        break;
      case 'streamed':
        this.count('from_stream');
        break;
      case 'complete':
        this.#onComplete(filterContext, sentAt, outcome);
        break;
    }
  }

  /** Stores a response in the cache if permitted, and replies with it. */
  #onComplete(
    filterContext: FilterContext,
    sentAt: Timestamp,
    response: Extract<ForwardOutcome, { kind: 'complete' }>,
  ): void {
    const { cacheable } = filterContext;
    const { status, fields, body, digest, ageMs, purgeSeqAtFetch, source } = response;
    if (cacheable !== undefined) {
      const createdAt = creationTime(sentAt, ageMs);
      const fetched = { status, fields, body, digest, createdAt, purgeSeqAtFetch };
      this.#cacheLookup.store(cacheable, fetched, this.#context.now());
      if (this.#replyFromCache(filterContext, cacheable, source)) return;
    }
    this.#reply(filterContext, { kind: 'complete', status, fields, body, source });
  }

  /**
   * Whether a cacheable response may have been purged or expired in transit: this process was
   * suspended in the meantime, or the response took long and a purge may have arrived.
   */
  #isStale(
    cacheable: CacheableRequest,
    fields: HeaderFields,
    sentAt: Timestamp,
    purgeSeq: Seq,
  ): boolean {
    const { nodeAgent, lastResumedAt } = this.#context.state();
    const now = this.#context.now();
    if (lastResumedAt > sentAt) return true;
    return (
      now - sentAt > purgeCheckThresholdMs &&
      (!mayServeFromCache(nodeAgent, now) ||
        this.#cacheLookup.cache.isPurgedSince(cacheable.key, cacheTags(fields), purgeSeq))
    );
  }

  #cancel(id: RequestId, text: string): void {
    this.#context.dispatch((now) => ({ kind: 'requestCancelled', now, id, text }));
  }
}
