/**
 * Executes requests: applies events to their state machine, runs the effects, and replies to the client and to the
 * requests that wait for the same fetch. Endpoint selection, caching and quotas are decided by other modules.
 */

import { type ServiceName, type Timestamp, addMs, increment } from '@switchwheel/types';
import type { CompiledRoute } from '@switchwheel/configuration';
import {
  type RequestEffect,
  type RequestEvent,
  type RequestOutcome,
  requestTransition,
} from '../attempt-state/attempt-state.js';
import type { EndpointTable } from '../endpoint/endpoint-table.js';
import type { ObjectOutcome } from '../object-sharing/object-sharing.js';
import type { QuotaShare } from '../quota/quota-share.js';
import type { RolloutCounters } from '../rollout/rollout-counters.js';
import type { ActiveRequest } from './active-request.js';
import { AttemptSender } from './attempt-sender.js';
import type { CoalescedFetch, CoalescedFetches, Waiter } from './coalesced-fetches.js';
import type { EndpointSelector } from './endpoint-selector.js';
import { PendingRequests, maxWaitMs } from './pending-requests.js';
import type { PeerObjects } from './peer-objects.js';
import type { ClientReply, HeaderNames, OriginClient, Requester, RouterContext } from './ports.js';
import { failureReply, sendReply } from './replies.js';
import type { ResponseCache } from './response-cache.js';

/** Retry delay for a client whose object could not be fetched by its owner. */
const ownerRetryMs = 250;

const firstAttempt = 1;

/** Lower bound of the hedge delay, as a multiple of the service's typical latency. */
const hedgeLatencyFactor = 3;
const minHedgeDelayMs = 60;
const maxDefaultHedgeDelayMs = 400;

/** Dependencies of a request runner, shared with its router. */
export interface RequestRunnerOptions {
  readonly context: RouterContext;
  readonly originClient: OriginClient;
  readonly headerNames: HeaderNames;
  readonly endpoints: EndpointTable;
  readonly rolloutCounters: RolloutCounters;
  readonly quota: QuotaShare;
  readonly responseCache: ResponseCache;
  readonly fetches: CoalescedFetches;
  readonly peerObjects: PeerObjects;
  readonly selector: EndpointSelector;
  readonly counts: Map<string, number>;
  /** Resubmits a waiter whose fetch gave no shareable response; returns the callback for a disconnect of its client. */
  readonly resubmit: (waiter: Waiter) => () => void;
}

/** Runs the requests in progress of one edge. */
export class RequestRunner {
  readonly #options: RequestRunnerOptions;
  readonly #sender: AttemptSender;
  readonly #activeRequests = new Map<number, ActiveRequest>();
  readonly #pendingRequests = new PendingRequests();

  constructor(options: RequestRunnerOptions) {
    this.#options = options;
    this.#sender = new AttemptSender({
      context: options.context,
      originClient: options.originClient,
      endpoints: options.endpoints,
      rolloutCounters: options.rolloutCounters,
      headerNames: options.headerNames,
      counts: options.counts,
      onEvent: (active, event) => {
        this.#dispatch(active, event);
        this.#sendPending(active.service, event.now);
      },
    });
  }

  /** Number of requests in progress, excluding those that wait for another request's fetch. */
  get openRequests(): number {
    return this.#activeRequests.size;
  }

  /** Starts a request at the edge that owns its object, or otherwise at an origin. */
  start(active: ActiveRequest, requester: Requester, now: Timestamp): void {
    this.#activeRequests.set(active.id, active);
    const isRequestedFromOwner = this.#options.peerObjects.requestFromOwner(
      active,
      requester,
      now,
      this.#onOwnerOutcome,
    );
    if (!isRequestedFromOwner) this.#startAtOrigin(active, now);
  }

  /** Expires requests whose deadline has passed, and sends hedges that are due. */
  tick(now: Timestamp): void {
    for (const active of [...this.#activeRequests.values()]) {
      this.#expireWaiters(active.fetch, now);
      if (now >= active.state.deadline) this.#dispatch(active, { kind: 'deadlineExpired', now });
      else if (active.hedgeAt !== undefined && now >= active.hedgeAt) {
        active.hedgeAt = undefined;
        this.#dispatch(active, { kind: 'hedgeDelayElapsed', now });
      }
    }
    for (const service of this.#pendingRequests.services) this.#sendPending(service, now);
  }

  /** Expires all requests in progress. */
  abortAll(): void {
    const now = this.#options.context.now();
    for (const active of [...this.#activeRequests.values()])
      this.#dispatch(active, { kind: 'deadlineExpired', now });
  }

  /** Called when the client of a request has disconnected. */
  onClientDisconnected(active: ActiveRequest): void {
    active.isClientDisconnected = true;
    // A cacheable request continues, as others may wait for its fetch.
    if (active.cacheable === undefined)
      this.#dispatch(active, { kind: 'clientDisconnected', now: this.#options.context.now() });
  }

  /** Starts the first attempt at an origin. */
  #startAtOrigin(active: ActiveRequest, now: Timestamp): void {
    this.#dispatch(active, { kind: 'started', now });
  }

  #hedgeDelayMs(service: ServiceName, route: CompiledRoute): number {
    const targetMs = route.latencyTargetMs ?? maxDefaultHedgeDelayMs;
    return Math.max(
      hedgeLatencyFactor * this.#options.endpoints.typicalLatencyMs(service),
      Math.min(maxDefaultHedgeDelayMs, targetMs),
      minHedgeDelayMs,
    );
  }

  readonly #onOwnerOutcome = (active: ActiveRequest, outcome: ObjectOutcome): void => {
    if (active.state.phase === 'finished') return;
    const now = this.#options.context.now();
    if (!outcome.isFound) {
      increment(this.#options.counts, outcome.isRefused ? 'owner_refused' : 'owner_silent');
      const { mayHaveFetched, retryAfterMs } = outcome;
      if (retryAfterMs !== undefined && !this.#hasSurplus(active.service, now))
        this.#rejectForOwner(active, retryAfterMs);
      else this.#startWithoutOwner(active, mayHaveFetched, now);
      return;
    }
    const { object } = outcome;
    this.#options.peerObjects.recordObject(active.route.name, object.body.length);
    const entry =
      active.cacheable === undefined
        ? undefined
        : this.#options.responseCache.storeShared(active.cacheable, object, now);
    if (entry === undefined) {
      increment(this.#options.counts, 'owner_stale');
      this.#startWithoutOwner(active, false, now);
      return;
    }
    increment(this.#options.counts, 'owner_told');
    this.#finishWithoutAttempt(active, { kind: 'cached', entry, purgeSeq: object.purged });
  };

  /**
   * Rejects a request whose owner has used up its share of the rate limit. Tokens of other edges are left for the objects
   * that those own, unless they would be lost.
   */
  #rejectForOwner(active: ActiveRequest, retryAfterMs: number): void {
    increment(this.#options.counts, 'owner_limited');
    const text = 'the service takes no more just now';
    const reply = failureReply('rejected', text, retryAfterMs);
    this.#finishWithoutAttempt(active, { ...reply, isOwnerLimited: true });
  }

  #hasSurplus(serviceName: ServiceName, now: Timestamp): boolean {
    const { context, quota } = this.#options;
    const service = context.nodeAgent().compiledConfiguration?.services.get(serviceName);
    return service !== undefined && quota.hasSurplus(service, now);
  }

  /** Continues without the owner. If the owner may have sent an attempt, that counts as the request's first attempt. */
  #startWithoutOwner(active: ActiveRequest, mayHaveFetched: boolean, now: Timestamp): void {
    if (!mayHaveFetched) {
      this.#startAtOrigin(active, now);
      return;
    }
    const { maxAttempts } = active.state;
    if (maxAttempts > 1 && this.#options.quota.takeExtraAttempt(active.service, now)) {
      active.state = { ...active.state, maxAttempts: maxAttempts - 1 };
      this.#startAtOrigin(active, now);
      return;
    }
    increment(this.#options.counts, 'budget');
    this.#finishWithoutAttempt(
      active,
      failureReply('lost', 'the object could not be fetched', ownerRetryMs),
    );
  }

  /** Finishes a request that this edge never sent to an origin. */
  #finishWithoutAttempt(active: ActiveRequest, reply: ClientReply): void {
    active.state = { ...active.state, phase: 'finished' };
    this.#activeRequests.delete(active.id);
    this.#finish(active, reply);
  }

  /** Applies an event to a request, and then the events that its effects produce. */
  #dispatch(active: ActiveRequest, event: RequestEvent): void {
    const queue: RequestEvent[] = [event];
    for (let nextEvent = queue.shift(); nextEvent !== undefined; nextEvent = queue.shift()) {
      const { state, effects } = requestTransition(active.state, nextEvent);
      active.state = state;
      for (const effect of effects) {
        const followUpEvent = this.#runEffect(active, effect, nextEvent.now);
        if (followUpEvent !== undefined) queue.push(followUpEvent);
      }
    }
    if (active.state.phase === 'finished') this.#activeRequests.delete(active.id);
  }

  #runEffect(
    active: ActiveRequest,
    effect: RequestEffect,
    now: Timestamp,
  ): RequestEvent | undefined {
    switch (effect.kind) {
      case 'pickEndpoint':
        return this.#pickEndpoint(active, effect.isExtra, now);
      case 'sendAttempt':
        if (effect.attempt === firstAttempt)
          active.hedgeAt = addMs(now, this.#hedgeDelayMs(active.service, active.route));
        this.#sender.send(active, effect.attempt, effect.instance, now);
        return undefined;
      case 'cancelAttempt':
        this.#sender.cancel(active, effect.attempt, now);
        return undefined;
      case 'finishRequest':
        this.#finish(active, this.#replyOf(active, effect.outcome, now));
        return undefined;
    }
  }

  /** Selects an endpoint, or queues a request that a limit is expected to permit in time; then there is no event yet. */
  #pickEndpoint(active: ActiveRequest, isExtra: boolean, now: Timestamp): RequestEvent | undefined {
    const { counts, selector } = this.#options;
    const waitingCount = isExtra ? 0 : this.#pendingRequests.count(active.service);
    const picked =
      selector.limitBehind(waitingCount, active.service, now) ??
      selector.pick(active, isExtra, now);
    if (picked.kind !== 'limitReached') return picked;
    const typicalLatencyMs = this.#options.endpoints.typicalLatencyMs(active.service);
    const waitLimitMs = maxWaitMs(active, typicalLatencyMs, now);
    if (isExtra || picked.waitMs > waitLimitMs) return selector.reject(picked, now);
    increment(counts, 'queued');
    this.#pendingRequests.add(active, waitLimitMs, now);
    return undefined;
  }

  /** Sends the requests that wait for a service as far as its limits permit, and rejects those that waited too long. */
  #sendPending(service: ServiceName, now: Timestamp): void {
    const { selector } = this.#options;
    for (
      let pending = this.#pendingRequests.first(service);
      pending !== undefined;
      pending = this.#pendingRequests.first(service)
    ) {
      const { active, expiresAt } = pending;
      const picked = selector.pick(active, false, now);
      if (picked.kind === 'limitReached' && now < expiresAt) return;
      this.#pendingRequests.removeFirst(service);
      this.#dispatch(
        active,
        picked.kind === 'limitReached' ? selector.reject(picked, now) : picked,
      );
    }
  }

  /** Returns the reply for an outcome, and stores a response that may be cached. */
  #replyOf(active: ActiveRequest, outcome: RequestOutcome, now: Timestamp): ClientReply {
    if (outcome.kind === 'failure')
      return failureReply(outcome.errorKind, outcome.text, outcome.retryAfterMs);
    const { response, attempt } = outcome;
    const start = active.attemptStarts.get(attempt);
    if (active.cacheable === undefined || response.status !== 200 || start === undefined)
      return { kind: 'response', response };
    this.#options.peerObjects.recordObject(active.route.name, response.body.length);
    const entry = this.#options.responseCache.storeResponse(active.cacheable, response, start, now);
    return { kind: 'cached', entry, purgeSeq: start.purgeSeq };
  }

  /**
   * Replies to the client. Waiters of the fetch get the same reply if it is cached or no edge can fetch the object now;
   * otherwise they are resubmitted.
   */
  #finish(active: ActiveRequest, reply: ClientReply): void {
    const { counts, fetches, resubmit } = this.#options;
    const { cacheable, fetch } = active;
    if (cacheable !== undefined) fetches.end(cacheable.coalescingKey, fetch);
    if (!active.isClientDisconnected) sendReply(counts, active.reply, reply);
    for (const waiter of fetch?.waiters ?? []) {
      if (waiter.isDone) continue;
      waiter.isDone = true;
      const isShared =
        reply.kind === 'cached' || (reply.kind === 'failure' && reply.isOwnerLimited === true);
      if (isShared) sendReply(counts, waiter.reply, reply);
      else waiter.cancel = resubmit(waiter);
    }
  }

  #expireWaiters(fetch: CoalescedFetch | undefined, now: Timestamp): void {
    for (const waiter of fetch?.waiters ?? []) {
      if (waiter.isDone || now < waiter.deadline) continue;
      waiter.isDone = true;
      sendReply(
        this.#options.counts,
        waiter.reply,
        failureReply('slow', 'no origin answered in time', 0),
      );
    }
  }
}
