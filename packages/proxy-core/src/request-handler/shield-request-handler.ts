import {
  type RequestId,
  type Timestamp,
  type Seq,
  increment,
  toTimestamp,
  toDurationMs,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import { type CacheEntry, bodyDigest } from '../cache/cache.js';
import type { CacheLookup, CacheableRequest } from '../cache/cache-lookup.js';
import { responseAgeMs, forwardableFields, rewrittenFields } from '../cache/header-fields.js';
import { RequestCoalescing } from '../cache/request-coalescing.js';
import type { ProxyEffect } from '../proxy/state.js';
import type { AttemptOutcome } from '../service-leader/state.js';
import { InboundRequests, type InboundRequest, type ResponseWriter } from './inbound-requests.js';
import {
  type HandlerContext,
  type AttemptPort,
  type AttemptRequest,
  type TransferLimits,
  defaultTransferLimits,
} from './ports.js';
import { type AttemptResult, ResponseVerifier } from './response-verifier.js';

type LeaderEffect = Extract<ProxyEffect, { leader: string }>;
type StartAttemptEffect = Extract<LeaderEffect, { kind: 'startAttempt' }>;

/** A request that a keeper has in hand. */
interface AdmittedRequest {
  readonly inbound: InboundRequest;
  readonly cacheable: CacheableRequest | undefined;
  readonly purgeSeqAtFetch: Seq;
  readonly finishFetch: (entry: CacheEntry | undefined) => void;
}

const responseFields = (fields: HeaderFields): HeaderFields =>
  forwardableFields(fields, ['content-length', 'switchwheel-instance', 'switchwheel-unrun']);
const attemptKey = (effect: { readonly leader: string; readonly attemptId: number }): string =>
  `${effect.leader}/${effect.attemptId}`;

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

/** The life of requests at a shield: what it keeps of them while its keepers decide about them. */
export class ShieldRequestHandler {
  readonly inbound: InboundRequests;
  readonly #admitted = new Map<RequestId, AdmittedRequest>();
  readonly #verifiers = new Map<string, ResponseVerifier>();
  readonly #completed = new Map<
    string,
    { readonly result: AttemptResult; readonly since: Timestamp }
  >();
  readonly #coalescing: RequestCoalescing<CacheEntry | undefined>;
  readonly #attempts: AttemptPort;
  readonly #cacheLookup: CacheLookup;
  readonly #context: HandlerContext;
  readonly #limits: TransferLimits;
  readonly #onUntrusted: (instance: string, why: string) => void;
  readonly counts = new Map<string, number>();

  constructor(
    legs: AttemptPort,
    desk: CacheLookup,
    cab: HandlerContext,
    doubt: (instance: string, why: string) => void,
    sizes: TransferLimits = defaultTransferLimits,
  ) {
    this.#attempts = legs;
    this.#cacheLookup = desk;
    this.#context = cab;
    this.#onUntrusted = doubt;
    this.#limits = sizes;
    this.#coalescing = new RequestCoalescing(sizes.maxCoalescedWaiters);
    this.inbound = new InboundRequests(
      sizes,
      (one) => this.#onRequest(one),
      (id) => this.#onCancelled(id),
    );
  }

  /** What a keeper decided. */
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

  /** After purges nobody joins what began before them. */
  onPurged(): void {
    this.#coalescing.detachAll();
  }

  #count(name: string): void {
    increment(this.counts, name);
  }

  #discard(id: RequestId): void {
    const hand = this.#admitted.get(id);
    this.#admitted.delete(id);
    hand?.finishFetch(undefined);
  }

  #onRequest(one: InboundRequest): void {
    this.#count('asked');
    const { request } = one;
    const { nodeAgent } = this.#context.state();
    const slip = this.#cacheLookup.cacheableForwardedRequest(
      nodeAgent.compiledConfiguration,
      request,
    );
    if (
      slip === undefined ||
      !this.#cacheLookup.isCurrent(nodeAgent, request.purged, this.#context.now())
    ) {
      this.#admit(one, slip, () => undefined);
      return;
    }
    if (this.#respondFromCache(one, slip)) return;
    const seat = this.#coalescing.join(slip.coalescingKey, (found) => {
      if (this.inbound.find(request.id) !== one) return;
      if (found === undefined || !this.#respondFromCache(one, slip))
        this.#admit(one, slip, () => undefined);
    });
    if (seat === 'joined') this.#count('joined');
    else if (seat === 'full')
      this.inbound.reject(request.id, {
        errorKind: 'rejected',
        text: 'too many wait for results under way',
        retryAfter: 1000,
        moved: false,
      });
    else this.#admit(one, slip, this.#coalescing.lead(slip.coalescingKey));
  }

  #respondFromCache(one: InboundRequest, slip: CacheableRequest): boolean {
    const entry = this.#cacheLookup.find(
      slip,
      this.#context.state().nodeAgent,
      one.request.purged,
      this.#context.now(),
    );
    if (entry === undefined) return false;
    this.#count('from_cache');
    const { status, fields, body, digest } = entry;
    this.inbound.respond(one.request.id, {
      status,
      fields,
      body,
      digest,
      ageMs: Math.max(0, one.arrivedAt - entry.createdAt),
      source: 'cache',
      purgeSeqAtFetch: this.#cacheLookup.cache.lastPurgeSeq,
    });
    return true;
  }

  #admit(
    one: InboundRequest,
    slip: CacheableRequest | undefined,
    finish: (entry: CacheEntry | undefined) => void,
  ): void {
    this.#admitted.set(one.request.id, {
      inbound: one,
      cacheable: slip,
      purgeSeqAtFetch: this.#cacheLookup.cache.lastPurgeSeq,
      finishFetch: finish,
    });
    // What it waited for another's fetch is gone from its time.
    this.#context.dispatch((at) => ({
      kind: 'inboundRequestArrived',
      now: at,
      request: {
        ...one.request,
        left: toDurationMs(Math.max(0, one.request.left - (at - one.arrivedAt))),
      },
    }));
  }

  #onCancelled(id: RequestId): void {
    this.#discard(id);
    this.#context.dispatch((at) => ({ kind: 'inboundRequestCancelled', now: at, id }));
  }

  #onAttemptEnded(effect: StartAttemptEffect, since: Timestamp, came: AttemptResult): void {
    const name = attemptKey(effect);
    const result: AttemptResult =
      came.response !== undefined && this.#isStale(effect.requestId, since)
        ? { outcome: { kind: 'cancelled' }, response: undefined }
        : came;
    this.#count(attemptCounters[result.outcome.kind]);
    if (result.outcome.kind === 'lost') this.#onUntrusted(effect.instance, result.outcome.text);
    this.#verifiers.delete(name);
    this.#attempts.cancel(name);
    // A result in parts has gone out by then; one that is whole waits for the keeper's word.
    if (result.response !== undefined) this.#completed.set(name, { result, since });
    this.#context.dispatch((at) => ({
      kind: 'attemptEnded',
      now: at,
      leader: effect.leader,
      attemptId: effect.attemptId,
      outcome: result.outcome,
      durationMs: at - since,
    }));
    this.#completed.delete(name);
  }

  /** Nobody knows how long a result waited here while this process slept: what may be kept is not told any more. */
  #isStale(ask: RequestId, since: Timestamp): boolean {
    return (
      this.#context.state().lastWokeAt > since && this.#admitted.get(ask)?.cacheable !== undefined
    );
  }

  #startAttempt(effect: StartAttemptEffect): void {
    const hand = this.#admitted.get(effect.requestId);
    const since = this.#context.now();
    if (hand === undefined) {
      this.#onAttemptEnded(effect, since, {
        outcome: { kind: 'notSent', text: 'nobody waits for it' },
        response: undefined,
      });
      return;
    }
    const { request: ask } = hand.inbound;
    const request: AttemptRequest = {
      address: effect.address,
      instance: effect.instance,
      service: ask.service,
      method: ask.method,
      target: ask.path,
      body: ask.body,
      fields: forwardableFields(ask.fields, rewrittenFields).concat([['host', ask.host]]),
      timeoutMs: Math.ceil(effect.timeoutMs),
      isIdempotent: ask.repeatable,
    };
    this.inbound.notifyAttemptStarted(ask.id);
    let flow: ResponseWriter | undefined;
    const sink = {
      start: (status: number, fields: HeaderFields, length: number | undefined): void => {
        if (this.#isStale(ask.id, since)) {
          taking.cancel();
          return;
        }
        this.#context.dispatch((at) => ({
          kind: 'streamingStarted',
          now: at,
          leader: effect.leader,
          attemptId: effect.attemptId,
        }));
        flow = this.inbound.startStream(
          ask.id,
          status,
          responseFields(fields),
          length,
          hand.purgeSeqAtFetch,
        );
        hand.finishFetch(undefined);
      },
      write: (bytes: Buffer, more: () => void): boolean => flow?.write(bytes, more) ?? false,
    };
    const taking = new ResponseVerifier(request, this.#limits.maxBufferedBytes, sink, (result) => {
      flow?.end(result.outcome.kind === 'succeeded' || result.outcome.kind === 'originError');
      this.#onAttemptEnded(effect, since, result);
    });
    this.#verifiers.set(attemptKey(effect), taking);
    this.#attempts.send(attemptKey(effect), request, taking);
  }

  #useResponse(name: string, id: RequestId): void {
    const hand = this.#admitted.get(id);
    this.#admitted.delete(id);
    const held = this.#completed.get(name);
    const whole = held?.result.response;
    if (hand === undefined || held === undefined || whole === undefined) {
      hand?.finishFetch(undefined);
      return;
    }
    const { status, body } = whole;
    const fields = responseFields(whole.fields);
    const digest = bodyDigest(body);
    const born = toTimestamp(held.since - responseAgeMs(whole.fields));
    const entry =
      hand.cacheable === undefined
        ? undefined
        : this.#cacheLookup.store(
            hand.cacheable,
            {
              status,
              fields,
              body,
              digest,
              createdAt: born,
              purgeSeqAtFetch: hand.purgeSeqAtFetch,
            },
            this.#context.now(),
          );
    this.inbound.respond(id, {
      status,
      fields,
      body,
      digest,
      ageMs: Math.max(0, hand.inbound.arrivedAt - born),
      source: 'origin',
      purgeSeqAtFetch: hand.purgeSeqAtFetch,
    });
    hand.finishFetch(entry);
  }
}
