import {
  type Address,
  type RequestId,
  type ErrorKind,
  type Timestamp,
  type Seq,
  noGeneration,
  noSeq,
  hashToFraction,
  increment,
  toRequestId,
  toTimestamp,
} from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields, Frame, FrameOf } from '@switchwheel/transport';
import { type CompiledRoute, matchRoute, pickService } from '@switchwheel/configuration';
import {
  type CacheLookup,
  type CacheableRequest,
  creationTime,
  conditionalFields,
  splitTarget,
} from '../cache/cache-lookup.js';
import { forwardableFields, rewrittenFields, cacheTags } from '../cache/header-fields.js';
import { RequestCoalescing } from '../cache/request-coalescing.js';
import { mayServeFromCache, acceptsRequests } from '../node-agent/readiness.js';
import { isConfigurationOverdue, knowsAllRoutes } from '../node-agent/configuration-staleness.js';
import type { ProxyEffect } from '../proxy/state.js';
import { LeaderChannels } from './leader-channels.js';
import {
  type HandlerContext,
  type ClientRequest,
  type ClientConnection,
  type OpenDataChannel,
  type TransferLimits,
  type Reply,
  defaultTransferLimits,
} from './ports.js';
import { type RequestOutcome, RequestState } from './request-state.js';

/** Within which span after its confirmation a description has to be in force on every node in touch. */
const configurationApplyMs = 2000;
/** When a caller is told to come back by an edge whose description is replaced. */
const overdueRetryMs = 200;

/** A request on its way through the filters of an edge. */
interface FilterContext {
  readonly request: ClientRequest;
  readonly route: CompiledRoute;
  readonly client: ClientConnection;
  readonly deadline: Timestamp;
  readonly cacheable: CacheableRequest | undefined;
  /** Tells those who wait for this very fetch; nothing if it can't be shared. */
  readonly finishFetch: ((outcome: RequestOutcome) => void) | undefined;
  /** Its trip, once it has one. */
  readonly forwarded: { id: RequestId | undefined };
}
type Filter = (pass: FilterContext, next: (pass: FilterContext) => void) => void;

/** Runs a request through filters in their order; each answers it or passes it on. */
const runFilters = (filters: readonly Filter[], pass: FilterContext): void => {
  const [first, ...rest] = filters;
  first?.(pass, (on) => runFilters(rest, on));
};

const failure = (
  kind: ErrorKind,
  text: string,
  retryMs: number,
): Extract<Reply, { kind: 'failure' }> => ({
  kind: 'failure',
  errorKind: kind,
  text,
  retryMs,
});

/** Adds whom the request came from to what earlier proxies said. */
const withForwardedFor = (call: ClientRequest, fields: HeaderFields): HeaderFields => {
  const before = fields.filter(([name]) => name === 'x-forwarded-for').map(([, value]) => value);
  return [
    ...fields.filter(([name]) => name !== 'x-forwarded-for'),
    ['x-forwarded-for', [...before, call.remoteAddress].join(', ')],
  ];
};

/** What came back sooner than this is younger than any purge that must have been acted on by now. */
const certainFreshMs = 1800;
const staleResponseText =
  'it was under way for so long that it may be purged or past its lifetime by now';

/** The life of callers' requests at an edge: filters first, then a trip to the keeper and back. */
export class EdgeRequestHandler {
  readonly #requests = new Map<RequestId, RequestState>();
  readonly #coalescing: RequestCoalescing<RequestOutcome>;
  readonly #cacheLookup: CacheLookup;
  readonly #context: HandlerContext;
  readonly #leaderChannels: LeaderChannels;
  readonly #idPrefix: string;
  readonly #limits: TransferLimits;
  readonly #filters: readonly Filter[];
  #forwardedCount = 0;
  readonly counts = new Map<string, number>();

  constructor(
    name: string,
    desk: CacheLookup,
    dial: OpenDataChannel,
    cab: HandlerContext,
    sizes: TransferLimits = defaultTransferLimits,
  ) {
    this.#idPrefix = name;
    this.#cacheLookup = desk;
    this.#context = cab;
    this.#limits = sizes;
    this.#coalescing = new RequestCoalescing(sizes.maxCoalescedWaiters);
    this.#leaderChannels = new LeaderChannels(dial, {
      frame: (from, frame) => this.#onFrame(from, frame),
      lost: (keeper, unsent) => {
        for (const trip of [...this.#requests.values()])
          if (trip.leader === keeper && trip.hasResponse)
            this.#abort(trip, 'the channel to the keeper ended');
        cab.dispatch((at) => ({ kind: 'channelLost', now: at, leader: keeper, unsentIds: unsent }));
      },
    });
    this.#filters = [
      (pass, next) => this.#cacheFilter(pass, next),
      (pass, next) => this.#coalescingFilter(pass, next),
      (pass) => this.#forwardingFilter(pass),
    ];
  }

  get openRequests(): number {
    return this.#requests.size;
  }

  onPurged(): void {
    this.#coalescing.detachAll();
  }

  /** Finds the track of a request before its body is read, or says why there is none. */
  findRoute(
    method: string,
    host: string,
    target: string,
  ): { readonly track: CompiledRoute } | { readonly told: Extract<Reply, { kind: 'failure' }> } {
    const { nodeAgent } = this.#context.state();
    const refuse = (
      told: Extract<Reply, { kind: 'failure' }>,
    ): { readonly told: Extract<Reply, { kind: 'failure' }> } => {
      this.count(`fault_${told.errorKind}`);
      return { told };
    };
    if (
      nodeAgent.compiledConfiguration === undefined ||
      !acceptsRequests(nodeAgent, this.#context.now())
    )
      return refuse(failure('unready', 'this node is not ready', 1000));
    if (isConfigurationOverdue(nodeAgent, this.#context.now(), configurationApplyMs))
      return refuse(failure('unready', 'a newer description is on its way here', overdueRetryMs));
    const { path } = splitTarget(target);
    if (!path.startsWith('/')) return refuse(failure('malformed', 'a path starts with /', 0));
    const found = matchRoute(nodeAgent.compiledConfiguration, method, host, path);
    if (found.outcome === 'notFound')
      return refuse(
        knowsAllRoutes(nodeAgent, this.#context.now())
          ? failure('absent', 'no route', 0)
          : failure('unready', 'no route is known here yet', 300),
      );
    if (found.outcome === 'methodNotAllowed')
      return refuse({
        ...failure('absent', 'no route for this method', 0),
        allowedMethods: found.methods,
      });
    return { track: found.route };
  }

  /** Takes a whole request on and tells its caller what it comes to; gives what to call when the caller leaves. */
  serve(track: CompiledRoute, call: ClientRequest, caller: ClientConnection): () => void {
    const seat: FilterContext['forwarded'] = { id: undefined };
    const slip = this.#cacheLookup.cacheableRequest(
      track,
      call.method,
      call.host,
      call.target,
      call.fields,
    );
    runFilters(this.#filters, {
      request: call,
      route: track,
      client: caller,
      cacheable: slip,
      forwarded: seat,
      finishFetch: undefined,
      deadline: toTimestamp(this.#context.now() + track.timeoutMs),
    });
    // Others may wait for what can be kept: it goes on without its caller.
    return () => {
      if (slip === undefined && seat.id !== undefined) this.#cancel(seat.id, 'the caller left');
    };
  }

  /** Breaks off all that is still under way, so that every caller sees or hears of it. */
  abortAll(text: string): number {
    const many = this.#requests.size;
    for (const id of [...this.#requests.keys()]) this.#cancel(id, text);
    return many;
  }

  count(name: string): void {
    increment(this.counts, name);
  }

  #reply(pass: FilterContext, told: Reply): void {
    this.count(told.kind === 'failure' ? `fault_${told.errorKind}` : `from_${told.source}`);
    pass.client.reply(told);
  }

  #replyFromCache(pass: FilterContext, slip: CacheableRequest, from: string): boolean {
    const at = this.#context.now();
    const entry = this.#cacheLookup.find(slip, this.#context.state().nodeAgent, noSeq, at);
    if (entry !== undefined)
      this.#reply(pass, { kind: 'cached', entry, servedAt: at, source: from });
    return entry !== undefined;
  }

  #cacheFilter(pass: FilterContext, next: (pass: FilterContext) => void): void {
    if (pass.cacheable === undefined || !this.#replyFromCache(pass, pass.cacheable, 'edge'))
      next(pass);
  }

  #coalescingFilter(pass: FilterContext, next: (pass: FilterContext) => void): void {
    const { cacheable } = pass;
    if (cacheable === undefined) {
      next(pass);
      return;
    }
    const seat = this.#coalescing.join(cacheable.coalescingKey, (outcome) => {
      if (this.#replyFromCache(pass, cacheable, 'edge')) return;
      if (outcome.kind === 'failure') this.#reply(pass, outcome);
      else if (this.#context.now() >= pass.deadline)
        this.#reply(pass, failure('rejected', 'what it waited for came too late', 1000));
      else next(pass);
    });
    if (seat === 'joined') this.count('joined');
    else if (seat === 'full')
      this.#reply(pass, failure('rejected', 'too many wait for results under way', 1000));
    else next({ ...pass, finishFetch: this.#coalescing.lead(cacheable.coalescingKey) });
  }

  #forwardingFilter(pass: FilterContext): void {
    const { request, route, cacheable, finishFetch } = pass;
    const storable = cacheable !== undefined;
    const { compiledConfiguration } = this.#context.state().nodeAgent;
    this.#forwardedCount += 1;
    const id = toRequestId(`${this.#idPrefix}.${this.#forwardedCount}`);
    const sentAt = this.#context.now();
    const purged = this.#cacheLookup.cache.lastPurgeSeq;
    pass.forwarded.id = id;
    const late = (arrived: HeaderFields): boolean =>
      cacheable !== undefined && this.#isStale(cacheable, arrived, sentAt, purged);
    this.#requests.set(
      id,
      new RequestState(
        id,
        request.body,
        pass.client,
        this.#limits.maxBufferedBytes + this.#limits.chunkBytes,
        late,
        (outcome) => {
          this.#onOutcome(pass, sentAt, outcome);
          finishFetch?.(outcome);
        },
      ),
    );
    this.#context.dispatch((at) => ({
      kind: 'requestAccepted',
      now: at,
      request: {
        id,
        service: pickService(route, hashToFraction(id)),
        generation: compiledConfiguration?.generation ?? noGeneration,
        route: route.name,
        className: route.className,
        method: request.method === 'HEAD' && storable ? 'GET' : request.method,
        host: request.host,
        path: request.target,
        fields: withForwardedFor(
          request,
          forwardableFields(
            request.fields,
            storable ? [...conditionalFields, ...rewrittenFields] : rewrittenFields,
          ),
        ),
        isIdempotent: route.isIdempotent,
        isCacheable: storable,
        deadline: pass.deadline,
        requiredPurgeSeq: purged,
      },
    }));
  }

  #onOutcome(pass: FilterContext, sentAt: Timestamp, outcome: RequestOutcome): void {
    switch (outcome.kind) {
      case 'failure':
        this.#reply(pass, outcome);
        break;
      case 'streamed':
        this.count('from_stream');
        break;
      case 'complete': {
        const { status, fields, body, digest, ageMs, purgeSeqAtFetch, source } = outcome;
        if (pass.cacheable !== undefined) {
          this.#cacheLookup.store(
            pass.cacheable,
            {
              status,
              fields,
              body,
              digest,
              createdAt: creationTime(sentAt, ageMs),
              purgeSeqAtFetch,
            },
            this.#context.now(),
          );
          if (this.#replyFromCache(pass, pass.cacheable, source)) return;
        }
        this.#reply(pass, { kind: 'complete', status, fields, body, source });
        break;
      }
    }
  }

  /** Whether a result that may be kept is no longer sure to be good: a sleep, or a purge while it was long under way. */
  #isStale(slip: CacheableRequest, fields: HeaderFields, sentAt: Timestamp, purged: Seq): boolean {
    const { nodeAgent, lastWokeAt } = this.#context.state();
    const at = this.#context.now();
    if (lastWokeAt > sentAt) return true;
    return (
      at - sentAt > certainFreshMs &&
      (!mayServeFromCache(nodeAgent, at) ||
        this.#cacheLookup.cache.isPurgedSince(slip.key, cacheTags(fields), purged))
    );
  }

  #cancel(id: RequestId, text: string): void {
    this.#context.dispatch((at) => ({ kind: 'requestCancelled', now: at, id, text }));
  }

  /** What the forwarding side decided. */
  run(
    effect: Extract<
      ProxyEffect,
      { kind: 'sendRequest' | 'cancelRequest' | 'startResponse' | 'failRequest' }
    >,
  ): void {
    switch (effect.kind) {
      case 'sendRequest': {
        const trip = this.#requests.get(effect.request.id);
        if (trip === undefined) return;
        trip.leader = effect.to;
        const ask: ForwardedRequest = { ...effect.request, body: trip.body };
        this.#leaderChannels.sendRequest(effect.to, ask);
        break;
      }
      case 'cancelRequest':
        this.#leaderChannels.sendControl(effect.to, { kind: 'quit', id: effect.id });
        break;
      case 'startResponse': {
        const trip = this.#requests.get(effect.id);
        if (trip?.startResponse(effect.frame) !== 'late') break;
        this.#leaderChannels.sendControl(effect.to, { kind: 'quit', id: effect.id });
        this.#abort(trip, staleResponseText);
        break;
      }
      case 'failRequest': {
        const trip = this.#requests.get(effect.id);
        this.#requests.delete(effect.id);
        trip?.fail(effect.errorKind, effect.text, effect.retryMs);
        break;
      }
    }
  }

  /** Hears a keeper; false for what no keeper says. */
  #onFrame(from: Address, frame: Frame): boolean {
    switch (frame.kind) {
      case 'result':
        this.#context.dispatch((at) => ({ kind: 'responseStarted', now: at, from, frame }));
        return true;
      case 'begun':
        this.#context.dispatch((at) => ({ kind: 'attemptStarted', now: at, from, id: frame.id }));
        return true;
      case 'reject': {
        // A result that had begun broke off: it is never ended as if it were whole.
        const trip = this.#receiving(from, frame.id);
        if (trip !== undefined) this.#abort(trip, frame.text);
        this.#context.dispatch((at) => ({ kind: 'requestRejected', now: at, from, frame }));
        return true;
      }
      case 'chunk':
        this.#onChunk(from, frame);
        return true;
      case 'done':
        this.#onDone(from, frame);
        return true;
      default:
        return false;
    }
  }

  /** The trip whose result a keeper sends, if that is the keeper that was asked. */
  #receiving(from: Address, id: RequestId): RequestState | undefined {
    const trip = this.#requests.get(id);
    return trip?.hasResponse === true && trip.leader === from ? trip : undefined;
  }

  #onChunk(from: Address, frame: FrameOf<'chunk'>): void {
    const trip = this.#receiving(from, frame.id);
    if (trip === undefined) return;
    const bytes = Buffer.from(frame.bytes);
    const turn = trip.addChunk(bytes, () =>
      this.#leaderChannels.sendControl(from, { kind: 'credit', id: frame.id, bytes: bytes.length }),
    );
    if (turn === 'broken') this.#abort(trip, 'more bytes than told');
  }

  #onDone(from: Address, frame: FrameOf<'done'>): void {
    const trip = this.#receiving(from, frame.id);
    if (trip === undefined) return;
    this.#finish(trip);
    const turn = trip.finish(frame);
    if (turn === 'broken')
      this.#failIncomplete(trip, 'the digest between edge and keeper does not fit');
    else if (turn === 'late') trip.fail('lost', staleResponseText, 250);
  }

  /** Nothing more comes for a trip. */
  #finish(trip: RequestState): void {
    this.#requests.delete(trip.id);
    this.#context.dispatch((at) => ({ kind: 'responseCompleted', now: at, id: trip.id }));
  }

  #failIncomplete(trip: RequestState, text: string): void {
    this.count('broke_off');
    trip.fail('lost', text, 0);
  }

  #abort(trip: RequestState, text: string): void {
    this.#finish(trip);
    this.#failIncomplete(trip, text);
  }
}
