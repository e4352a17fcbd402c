/**
 * Carries requests through: applies events to their state machine, runs the effects, and replies to the client and to
 * those who wait for the same fetch. It decides nothing about endpoints, caching or quotas; that is done by the modules
 * it stands on.
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
import type { PeerObjects } from './peer-objects.js';
import type { ClientReply, HeaderNames, OriginClient, RouterContext } from './ports.js';
import { failureReply, sendReply } from './replies.js';
import type { ResponseCache } from './response-cache.js';

/** When a client is to come back whose object its owner could not fetch. */
const ownerRetryMs = 250;

/** A hedge is due after this many times the service's typical latency, within the two bounds. */
const hedgeLatencyFactor = 3;
const minHedgeDelayMs = 60;
const maxDefaultHedgeDelayMs = 400;

/** What a runner stands on; all of it is the router's own. */
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
  /** Accepts a request once more whose fetch brought nothing to share; gives what to call when its client leaves. */
  readonly resubmit: (waiter: Waiter) => () => void;
}

/** The requests in progress at one edge. */
export class RequestRunner {
  readonly #options: RequestRunnerOptions;
  readonly #sender: AttemptSender;
  readonly #activeRequests = new Map<number, ActiveRequest>();

  constructor(options: RequestRunnerOptions) {
    this.#options = options;
    this.#sender = new AttemptSender({
      context: options.context,
      originClient: options.originClient,
      endpoints: options.endpoints,
      rolloutCounters: options.rolloutCounters,
      headerNames: options.headerNames,
      counts: options.counts,
      onEvent: (active, event) => this.#dispatch(active, event),
    });
  }

  /** Requests in progress, without those that wait for another one's fetch. */
  get openRequests(): number {
    return this.#activeRequests.size;
  }

  /** Begins a request: at the edge that owns its object, or else at an origin. */
  start(active: ActiveRequest, isForPeer: boolean, now: Timestamp): void {
    this.#activeRequests.set(active.id, active);
    const isRequestedFromOwner =
      !isForPeer && this.#options.peerObjects.requestFromOwner(active, now, this.#onOwnerOutcome);
    if (!isRequestedFromOwner) this.#startAtOrigin(active, now);
  }

  /** Ends what is past its deadline, and hedges what is late. */
  tick(now: Timestamp): void {
    for (const active of [...this.#activeRequests.values()]) {
      this.#expireWaiters(active.fetch, now);
      if (now >= active.state.deadline) this.#dispatch(active, { kind: 'deadlineExpired', now });
      else if (active.hedgeAt !== undefined && now >= active.hedgeAt) {
        active.hedgeAt = undefined;
        this.#dispatch(active, { kind: 'hedgeDelayElapsed', now });
      }
    }
  }

  /** Ends all requests in progress as expired. */
  abortAll(): void {
    const now = this.#options.context.now();
    for (const active of [...this.#activeRequests.values()])
      this.#dispatch(active, { kind: 'deadlineExpired', now });
  }

  /** The client of a request has left. */
  onClientDisconnected(active: ActiveRequest): void {
    active.isClientDisconnected = true;
    // Others may wait for what can be cached: it goes on without its client.
    if (active.cacheable === undefined)
      this.#dispatch(active, { kind: 'clientDisconnected', now: this.#options.context.now() });
  }

  /** Sends a request to an origin for the first time. */
  #startAtOrigin(active: ActiveRequest, now: Timestamp): void {
    active.hedgeAt = addMs(now, this.#hedgeDelayMs(active.service, active.route));
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
      this.#startWithoutOwner(active, outcome.mayHaveFetched, now);
      return;
    }
    const { object } = outcome;
    const entry =
      active.cacheable === undefined
        ? undefined
        : this.#options.responseCache.storeShared(active.cacheable, object, now);
    if (entry === undefined) {
      this.#startWithoutOwner(active, false, now);
      return;
    }
    increment(this.#options.counts, 'owner_told');
    this.#finishWithoutAttempt(active, { kind: 'cached', entry, purgeSeq: object.purged });
  };

  /** Goes on without the owner; what it may have sent to an origin counts as the request's first attempt. */
  #startWithoutOwner(active: ActiveRequest, mayHaveFetched: boolean, now: Timestamp): void {
    increment(this.#options.counts, 'owner_silent');
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

  /** Ends a request that was never sent to an origin from here. */
  #finishWithoutAttempt(active: ActiveRequest, reply: ClientReply): void {
    active.state = { ...active.state, phase: 'finished' };
    this.#activeRequests.delete(active.id);
    this.#finish(active, reply);
  }

  /** Applies an event to a request, and those that its effects raise in turn. */
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
        return this.#options.selector.pick(active, effect.isExtra, now);
      case 'sendAttempt':
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

  /** The reply for an outcome; a response that may be cached is stored. */
  #replyOf(active: ActiveRequest, outcome: RequestOutcome, now: Timestamp): ClientReply {
    if (outcome.kind === 'failure')
      return failureReply(outcome.errorKind, outcome.text, outcome.retryAfterMs);
    const { response, attempt } = outcome;
    const start = active.attemptStarts.get(attempt);
    if (active.cacheable === undefined || response.status !== 200 || start === undefined)
      return { kind: 'response', response };
    const entry = this.#options.responseCache.storeResponse(active.cacheable, response, start, now);
    return { kind: 'cached', entry, purgeSeq: start.purgeSeq };
  }

  /** Replies to the client; those who waited for the fetch share a cached reply, or else go on by themselves. */
  #finish(active: ActiveRequest, reply: ClientReply): void {
    const { counts, fetches, resubmit } = this.#options;
    const { cacheable, fetch } = active;
    if (cacheable !== undefined) fetches.end(cacheable.coalescingKey, fetch);
    if (!active.isClientDisconnected) sendReply(counts, active.reply, reply);
    for (const waiter of fetch?.waiters ?? []) {
      if (waiter.isDone) continue;
      waiter.isDone = true;
      if (reply.kind === 'cached') sendReply(counts, waiter.reply, reply);
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
