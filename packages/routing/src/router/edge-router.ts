import {
  type Address,
  type ZoneName,
  type RandomState,
  type InstanceId,
  type ErrorKind,
  type Timestamp,
  type Release,
  type Seq,
  type ServiceName,
  elapsedMs,
  addMs,
  nextRandom,
  increment,
} from '@switchwheel/types';
import type { HeaderFields, FrameOf, ObjectFrame } from '@switchwheel/transport';
import {
  type CompiledRoute,
  pickRelease,
  matchRoute,
  pickService,
} from '@switchwheel/configuration';
import { isConnected } from '@switchwheel/membership';
import {
  type NodeAgent,
  type Cache,
  CacheLookup,
  type CacheEntry,
  type CacheableRequest,
  conditionalFields,
  splitTarget,
  fieldValue,
  forwardableFields,
  isConfigurationOverdue,
  knowsAllRoutes,
} from '@switchwheel/proxy-core';
import { EndpointTable, type BalancingPolicy } from '../endpoint/endpoint-table.js';
import {
  type RequestOutcome,
  type RequestState,
  type RequestEffect,
  type RequestEvent,
  newRequestState,
  requestTransition,
} from '../attempt-state/attempt-state.js';
import {
  type EdgeLimits,
  type RouterContext,
  type IncomingRequest,
  type OriginClient,
  type ReplyCallback,
  type ClientReply,
  type HeaderNames,
} from './ports.js';
import {
  type ObjectOutcome,
  type ObjectQuery,
  ObjectSharing,
  type PeerPort,
  type SharedObject,
  maxSharedBytes,
} from '../object-sharing/object-sharing.js';
import { PeerBandwidth } from '../object-sharing/peer-bandwidth.js';
import { EdgeCount, QuotaShare } from '../quota/quota-share.js';
import { type AttemptOutcome, RolloutCounters } from '../rollout/rollout-counters.js';

/** How an edge chooses and how much it takes on. */
export interface EdgeRouterOptions {
  readonly zone: ZoneName;
  readonly headerNames: HeaderNames;
  readonly limits: EdgeLimits;
  /** Requests under way at the most; more are told to come back. */
  readonly maxActiveRequests: number;
  /** The way to other edges, where objects are shared with them. */
  readonly peers?: PeerPort;
  /** The rate of this machine's link, where it is known. */
  readonly linkBytesPerSecond?: number;
}

/** A request that waits for another one's fetch of the same object. */
interface Waiter {
  readonly call: IncomingRequest;
  readonly tell: ReplyCallback;
  readonly until: Timestamp;
  /** Whether another edge asks. */
  readonly forPeer: boolean;
  /** Set once it has been told, or its caller has left. */
  isDone: boolean;
  /** What to call when the caller leaves after the request was sent on by itself. */
  cancel: (() => void) | undefined;
}

/** A fetch that later requests for the same object may join. */
interface CoalescedFetch {
  readonly startedAt: Timestamp;
  readonly purgeEpoch: number;
  readonly waiters: Waiter[];
}

interface ActiveRequest {
  readonly id: number;
  readonly call: IncomingRequest;
  readonly track: CompiledRoute;
  readonly service: ServiceName;
  readonly slip: CacheableRequest | undefined;
  /** Those who wait for this very fetch: a newer one of the same object has a list of its own. */
  readonly fetch: CoalescedFetch | undefined;
  readonly tell: ReplyCallback;
  readonly balancing: BalancingPolicy;
  readonly inFlightAttempts: Map<
    number,
    {
      readonly cut: () => void;
      readonly instance: InstanceId;
      readonly release: Release;
      readonly since: Timestamp;
    }
  >;
  /** When each leg was sent, and the last purge that was acted on by then. */
  readonly attemptStarts: Map<number, { readonly since: Timestamp; readonly purged: Seq }>;
  state: RequestState;
  hedgeAt: Timestamp | undefined;
  isClientGone: boolean;
}

/** How a request is taken on. */
interface RequestOrigin {
  /** When its time is over, for one that waited for another one's fetch in vain. */
  readonly latest?: Timestamp;
  /** Whether another edge asks: its own callers count there, and nobody else is asked for it. */
  readonly forPeer: boolean;
}

type PeerReply = Parameters<ObjectSharing['reply']>[2];

const isShareable = ({ status, body }: CacheEntry): boolean =>
  status === 200 && body.length <= maxSharedBytes;

/** Fields of a request on which a kept object may depend, besides those that its route names. */
const commonVary: ReadonlySet<string> = new Set(['accept', 'accept-encoding', 'accept-language']);
const isVaryField = (name: string, track: CompiledRoute): boolean =>
  commonVary.has(name) || track.cache?.vary.includes(name) === true;

const cacheTagsOf = (fields: HeaderFields, name: string): readonly string[] =>
  (fieldValue(fields, name) ?? '').split(/[\s,]+/).filter((one) => one !== '');

const failureReply = (kind: ErrorKind, text: string, retryMs: number): ClientReply => ({
  kind: 'failure',
  errorKind: kind,
  text,
  retryAfterMs: retryMs,
});
/** How young a fetch must be for others to wait for it: what it brings is no older. */
const maxJoinAgeMs = 1000;
/** What is left to the caller when this edge gives up. */
const deadlineMarginMs = 15;
const serviceGoneRetryMs = 120;
/** When a caller is told to come back whose object its owner could not fetch. */
const ownerRetryMs = 250;
/** When a caller is told to come back by an edge whose description is replaced. */
const overdueRetryMs = 200;
/** When a caller is told to come back by an edge that stops; another one answers it. */
const stoppedRetryMs = 100;
/** How old the word of the primary may be for a trial to go on. */
const canaryFreshnessMs = 1500;

/** When this edge gives a request up: a little before its caller does, or the route's timeout. */
const deadlineOf = (call: IncomingRequest, track: CompiledRoute, now: Timestamp): Timestamp => {
  const spanMs = Math.min(track.timeoutMs, call.timeoutMs ?? track.timeoutMs);
  return addMs(now, Math.max(1, spanMs - deadlineMarginMs));
};

/**
 * The way of a request at an edge that sends straight to origins: kept, joined, or sent. What may run, wait or be told
 * is decided by `tripStep`; the class only holds bodies, origins and quotas, which change with each request.
 */
export class EdgeRouter {
  readonly counts = new Map<string, number>();
  readonly endpoints: EndpointTable;
  readonly #context: RouterContext;
  readonly #cacheLookup: CacheLookup;
  readonly #originClient: OriginClient;
  readonly #options: EdgeRouterOptions;
  readonly #edgeCount = new EdgeCount();
  readonly #quota: QuotaShare;
  readonly #activeRequests = new Map<number, ActiveRequest>();
  readonly #coalescedFetches = new Map<string, CoalescedFetch>();
  readonly #rolloutCounters = new RolloutCounters();
  readonly #sharing: ObjectSharing | undefined;
  readonly #peerBandwidth: PeerBandwidth;
  #randomState: RandomState;
  #purgeEpoch = 0;
  #lastRequestId = 0;
  #isStopped = false;

  constructor(
    cab: RouterContext,
    cache: Cache,
    legs: OriginClient,
    manner: EdgeRouterOptions,
    dice: RandomState,
  ) {
    this.#context = cab;
    this.#cacheLookup = new CacheLookup(cache);
    this.#originClient = legs;
    this.#options = manner;
    this.#quota = new QuotaShare(manner.limits, this.#edgeCount);
    this.#peerBandwidth = new PeerBandwidth(manner.linkBytesPerSecond ?? Infinity);
    const self = cab.nodeAgent().nodeSession.member.address;
    this.#sharing = manner.peers === undefined ? undefined : new ObjectSharing(manner.peers, self);
    this.endpoints = new EndpointTable(dice);
    this.#randomState = dice;
  }

  /** Requests that are under way. */
  get openRequests(): number {
    return this.#activeRequests.size;
  }

  count(name: string): void {
    increment(this.counts, name);
  }

  /** Purges came: nobody waits any more for fetches that began before. */
  onPurged(): void {
    this.#purgeEpoch += 1;
  }

  /** Takes over what the fleet looks like. */
  updateFleet(cabin: NodeAgent): void {
    const now = this.#context.now();
    const edges = cabin.nodeSession.members.filter((one) => one.role === 'edge');
    this.#edgeCount.record(edges.length, now);
    this.#sharing?.updatePeers(
      edges.filter((one) => one.area === this.#options.zone).map((one) => one.address),
    );
    this.#rolloutCounters.noteRollouts(cabin.releaseStates.values(), now);
    for (const instance of this.endpoints.update(cabin.nodeSession.origins, now))
      this.#originClient.forget(instance);
  }

  /** Takes a whole request on; gives what to call when the caller leaves. */
  serve(call: IncomingRequest, tell: ReplyCallback): () => void {
    return this.#serve(call, tell, { forPeer: false });
  }

  /** Takes a frame of another edge on. */
  handlePeerFrame(from: Address, frame: ObjectFrame): void {
    const now = this.#context.now();
    if (frame.kind === 'object-request') this.#serveObject(from, frame);
    else this.#sharing?.handleReply(from, frame, now);
  }

  /** Lets time pass: what is late may get another origin, what is over is told. */
  tick(now: Timestamp): void {
    this.#sharing?.tick(now);
    for (const run of [...this.#activeRequests.values()]) {
      this.#expireWaiters(run.fetch, now);
      if (now >= run.state.until) this.#event(run, { kind: 'expired', now });
      else if (run.hedgeAt !== undefined && now >= run.hedgeAt) {
        run.hedgeAt = undefined;
        this.#event(run, { kind: 'late', now });
      }
    }
  }

  /** What this edge counts for orders that stand, for the primary. */
  rolloutReports(cabin: NodeAgent): readonly FrameOf<'tally'>[] {
    const { node, incarnation } = cabin.nodeSession.member;
    return [...cabin.releaseStates.values()].flatMap((one) => {
      if (
        one.phase === 'none' ||
        (one.phase !== 'trial' && one.phase !== 'moving' && one.leftMs <= 0)
      )
        return [];
      const word = this.#rolloutCounters.report(one, this.#context.now());
      return word === undefined ? [] : [{ kind: 'tally' as const, node, incarnation, ...word }];
    });
  }

  /** Breaks off all that is under way, and takes nothing on any more. */
  abortAll(): number {
    this.#isStopped = true;
    const many = this.#activeRequests.size;
    const now = this.#context.now();
    for (const run of [...this.#activeRequests.values()])
      this.#event(run, { kind: 'expired', now });
    return many;
  }

  /** Answers another edge with an object that this one owns: kept, or fetched if this edge's part allows it. */
  #serveObject(to: Address, asked: FrameOf<'object-request'>): void {
    const answer = (word: PeerReply): void =>
      this.#sharing?.reply(to, asked.id, word, this.#context.now());
    const table = this.#context.nodeAgent().compiledConfiguration;
    const isShared = table?.routesByName.get(asked.route)?.cache !== undefined;
    const now = this.#context.now();
    if (!isShared || table.generation !== asked.generation || !this.#peerBandwidth.reserve(now)) {
      answer('refused');
      return;
    }
    this.count('peer_asked');
    const progress = { told: false };
    const call: IncomingRequest = {
      id: asked.callerId,
      method: 'GET',
      host: asked.host,
      target: asked.target,
      fields: [...asked.fields, [this.#options.headerNames.requestId, asked.callerId]],
      body: Buffer.alloc(0),
      timeoutMs: asked.left,
    };
    const tell: ReplyCallback = (word) => {
      progress.told = true;
      const isObject = word.kind === 'cached' && isShareable(word.entry);
      this.#peerBandwidth.settle(isObject ? word.entry.body.length : 0);
      answer(isObject ? { ...word.entry, purged: word.purgeSeq } : 'refused');
    };
    this.#serve(call, tell, { forPeer: true });
    if (!progress.told) answer('fetching');
  }

  /** Takes a request on: a caller's, one that waited for a fetch in vain, or one of another edge. */
  #serve(
    call: IncomingRequest,
    tell: ReplyCallback,
    { latest, forPeer }: RequestOrigin,
  ): () => void {
    const now = this.#context.now();
    const cabin = this.#context.nodeAgent();
    const end = (word: ClientReply): (() => void) => {
      this.#say(tell, word);
      return () => undefined;
    };
    if (this.#isStopped)
      return end(failureReply('rejected', 'this node is stopping', stoppedRetryMs));
    if (cabin.compiledConfiguration === undefined)
      return end(failureReply('unready', 'this node is not ready', 300));
    if (isConfigurationOverdue(cabin, now, this.#options.limits.maxApplyMs))
      return end(failureReply('unready', 'a newer description is on its way here', overdueRetryMs));
    const { path } = splitTarget(call.target);
    const found = matchRoute(cabin.compiledConfiguration, call.method, call.host, path);
    if (found.outcome !== 'matched')
      return end(
        knowsAllRoutes(cabin, now)
          ? failureReply('absent', 'no route', 0)
          : failureReply('unready', 'no route is known here yet', 300),
      );
    const track = found.route;
    const service = pickService(track, this.#roll());
    if (latest === undefined && !forPeer) this.#quota.recordRequest(service, now);
    const until = latest ?? deadlineOf(call, track, now);
    const slip = this.#cacheLookup.cacheableRequest(
      track,
      call.method,
      call.host,
      call.target,
      call.fields,
    );
    const kept = slip === undefined ? undefined : this.#kept(slip, cabin, now);
    if (kept !== undefined) {
      this.count('kept');
      return end({ kind: 'cached', entry: kept, purgeSeq: cabin.lastPurgeSeq });
    }
    // The answer to a HEAD request has no body: it can be neither kept nor shared as the object.
    const fetched = call.method === 'GET' ? slip : undefined;
    const flight = this.#flightFor(fetched, now);
    if (flight !== undefined) return this.#join(flight, { call, tell, until, forPeer });
    if (this.#activeRequests.size >= this.#options.maxActiveRequests)
      return end(failureReply('rejected', 'too many requests are under way', 300));
    return this.#start({ call, track, service, slip: fetched, tell, until, forPeer }, now);
  }

  /** The fetch that a request may wait for, if there is one that is young enough and no purge came since. */
  #flightFor(slip: CacheableRequest | undefined, now: Timestamp): CoalescedFetch | undefined {
    const flight = slip === undefined ? undefined : this.#coalescedFetches.get(slip.coalescingKey);
    if (flight === undefined || flight.purgeEpoch !== this.#purgeEpoch) return undefined;
    const oldest = Math.min(maxJoinAgeMs, this.#options.limits.maxPurgeLagMs / 2);
    return elapsedMs(flight.startedAt, now) < oldest ? flight : undefined;
  }

  #join(
    flight: CoalescedFetch,
    one: Pick<Waiter, 'call' | 'tell' | 'until' | 'forPeer'>,
  ): () => void {
    const waiter: Waiter = { ...one, isDone: false, cancel: undefined };
    flight.waiters.push(waiter);
    this.count('joined');
    return () => {
      waiter.isDone = true;
      waiter.cancel?.();
    };
  }

  #expireWaiters(flight: CoalescedFetch | undefined, now: Timestamp): void {
    for (const waiter of flight?.waiters ?? []) {
      if (waiter.isDone || now < waiter.until) continue;
      waiter.isDone = true;
      this.#say(waiter.tell, failureReply('slow', 'no origin answered in time', 0));
    }
  }

  #start(
    one: Pick<ActiveRequest, 'call' | 'track' | 'service' | 'slip' | 'tell'> & {
      readonly until: Timestamp;
      readonly forPeer: boolean;
    },
    now: Timestamp,
  ): () => void {
    const { track, call } = one;
    this.#lastRequestId += 1;
    const allowed = track.maxOrigins ?? (track.isIdempotent ? 3 : 2);
    // An owner tries once: what further tries there may be are the asking edge's.
    const most = one.forPeer ? 1 : allowed;
    const flight: CoalescedFetch | undefined =
      one.slip === undefined
        ? undefined
        : { startedAt: now, purgeEpoch: this.#purgeEpoch, waiters: [] };
    const run: ActiveRequest = {
      id: this.#lastRequestId,
      call,
      track,
      service: one.service,
      slip: one.slip,
      fetch: flight,
      tell: one.tell,
      balancing: { zone: this.#options.zone, crossZoneCostFactor: 1.3, latencyExponent: 3 },
      inFlightAttempts: new Map(),
      attemptStarts: new Map(),
      state: newRequestState(track.isIdempotent, most, one.until),
      hedgeAt: undefined,
      isClientGone: false,
    };
    this.#activeRequests.set(run.id, run);
    if (one.slip !== undefined && flight !== undefined)
      this.#coalescedFetches.set(one.slip.coalescingKey, flight);
    if (one.forPeer || !this.#askOwner(run, now)) this.#begin(run, now);
    return () => {
      run.isClientGone = true;
      // Others may wait for what can be kept: it goes on without its caller.
      if (run.slip === undefined) this.#event(run, { kind: 'left', now: this.#context.now() });
    };
  }

  /** Sends a request to an origin for the first time. */
  #begin(run: ActiveRequest, now: Timestamp): void {
    run.hedgeAt = addMs(now, this.#lateSpan(run.service, run.track));
    this.#event(run, { kind: 'start', now });
  }

  /** Asks the edge that owns the object, where this edge's own part of the rate is too small to fetch all of them. */
  #askOwner(run: ActiveRequest, now: Timestamp): boolean {
    const { slip, track, call } = run;
    const cabin = this.#context.nodeAgent();
    const service = cabin.compiledConfiguration?.services.get(run.service);
    if (slip === undefined || cabin.compiledConfiguration === undefined || service === undefined)
      return false;
    if (!this.#quota.isScarce(service, now)) return false;
    const owner = this.#sharing?.ownerOf(slip.coalescingKey, now);
    if (owner === undefined) return false;
    const query: ObjectQuery = {
      callerId: call.id,
      generation: cabin.compiledConfiguration.generation,
      route: track.name,
      host: call.host,
      target: call.target,
      fields: slip.fields.filter(([name]) => isVaryField(name, track)),
      left: elapsedMs(now, run.state.until),
    };
    this.count('owner_asked');
    this.#sharing?.request(owner, query, now, (outcome) => this.#onShared(run, outcome));
    return true;
  }

  /** The owner of an object told it, or this edge is on its own. */
  #onShared(run: ActiveRequest, outcome: ObjectOutcome): void {
    if (run.state.phase === 'over') return;
    const now = this.#context.now();
    if (!outcome.isFound) {
      this.#beginAfterOwner(run, outcome.mayHaveFetched, now);
      return;
    }
    const { object } = outcome;
    const entry = this.#entryOf(run, object, now);
    if (entry === undefined) {
      this.#beginAfterOwner(run, false, now);
      return;
    }
    this.count('owner_told');
    run.state = { ...run.state, phase: 'over' };
    this.#activeRequests.delete(run.id);
    this.#settle(run, { kind: 'cached', entry, purgeSeq: object.purged });
  }

  /** Goes on without the owner; what it may have sent to an origin counts as a first try of the request. */
  #beginAfterOwner(run: ActiveRequest, mayHaveFetched: boolean, now: Timestamp): void {
    this.count('owner_silent');
    if (!mayHaveFetched) {
      this.#begin(run, now);
      return;
    }
    if (run.state.most > 1 && this.#quota.takeExtraAttempt(run.service, now)) {
      run.state = { ...run.state, most: run.state.most - 1 };
      this.#begin(run, now);
      return;
    }
    this.count('budget');
    run.state = { ...run.state, phase: 'over' };
    this.#activeRequests.delete(run.id);
    this.#settle(run, failureReply('lost', 'the object could not be fetched', ownerRetryMs));
  }

  /** A shared object as an entry of this edge's own cache; none if it is too old, or was purged since. */
  #entryOf(run: ActiveRequest, object: SharedObject, now: Timestamp): CacheEntry | undefined {
    const { slip } = run;
    if (slip === undefined) return undefined;
    const lifetime = slip.route.cache?.lifetimeMs ?? 0;
    const tags = cacheTagsOf(object.fields, this.#options.headerNames.cacheTags);
    const isOld = elapsedMs(object.createdAt, now) >= lifetime;
    if (isOld || this.#cacheLookup.cache.isPurgedSince(slip.key, tags, object.purged))
      return undefined;
    const entry: CacheEntry = {
      key: slip.key,
      vary: new Map(),
      status: 200,
      fields: object.fields,
      body: object.body,
      digest: '',
      createdAt: object.createdAt,
      lifetimeMs: lifetime,
      tags,
    };
    this.#cacheLookup.cache.store(
      entry,
      slip.fields,
      slip.route.cache?.vary ?? [],
      object.purged,
      now,
    );
    return entry;
  }

  #lateSpan(service: ServiceName, track: CompiledRoute): number {
    return Math.max(
      3 * this.endpoints.typicalLatencyMs(service),
      Math.min(400, track.latencyTargetMs ?? 400),
      60,
    );
  }

  #event(run: ActiveRequest, event: RequestEvent): void {
    const queue: RequestEvent[] = [event];
    for (let head = queue.shift(); head !== undefined; head = queue.shift()) {
      const done = requestTransition(run.state, head);
      run.state = done.state;
      for (const effect of done.effects) {
        const raised = this.#run(run, effect, head.now);
        if (raised !== undefined) queue.push(raised);
      }
    }
    if (run.state.phase === 'over') this.#activeRequests.delete(run.id);
  }

  #run(run: ActiveRequest, effect: RequestEffect, now: Timestamp): RequestEvent | undefined {
    switch (effect.kind) {
      case 'pick':
        return this.#pick(run, effect.extra, now);
      case 'send':
        this.#send(run, effect.leg, effect.instance, now);
        return undefined;
      case 'cut': {
        const out = run.inFlightAttempts.get(effect.leg);
        run.inFlightAttempts.delete(effect.leg);
        if (out === undefined) return undefined;
        const nodeSession = this.endpoints.get(out.instance);
        this.#count(run, out.release, 'cut', elapsedMs(out.since, now));
        // A leg that is cut took at least this long: a slow origin is known by it.
        if (nodeSession !== undefined)
          this.endpoints.recordAttemptEnd(
            nodeSession,
            Math.max(nodeSession.latencyEwmaMs, elapsedMs(out.since, now)),
            true,
            now,
          );
        out.cut();
        return undefined;
      }
      case 'tell':
        this.#told(run, effect.told, now);
        return undefined;
    }
  }

  #pick(run: ActiveRequest, extra: boolean, now: Timestamp): RequestEvent {
    const service = this.#context.nodeAgent().compiledConfiguration?.services.get(run.service);
    if (service === undefined)
      return { kind: 'none', now, text: 'the service is gone', retryMs: serviceGoneRetryMs };
    const release = this.#release(run, extra, now);
    if (release === null)
      return { kind: 'none', now, text: 'no origin of a sound release stands', retryMs: 250 };
    const nodeSession = this.endpoints.pick(
      run.service,
      run.state.tried,
      run.balancing,
      this.#quota.maxConnectionsPerEndpoint(service),
      (one) => release === undefined || one.release === release,
      now,
    );
    if (nodeSession === undefined)
      return { kind: 'none', now, text: 'no origin stands', retryMs: 250 };
    if (extra && run.state.tried.has(nodeSession.instance))
      return { kind: 'none', now, text: 'no other origin stands', retryMs: 250 };
    if (extra && !this.#quota.takeExtraAttempt(run.service, now)) {
      this.count('budget');
      return { kind: 'none', now, text: 'no further tries are left', retryMs: 250 };
    }
    const wait = this.#quota.takeOrWaitMs(service, now);
    if (wait > 0) {
      this.count('ceiling');
      return { kind: 'none', now, text: 'the service takes no more just now', retryMs: wait + 20 };
    }
    if (extra) this.count('extra');
    return { kind: 'picked', now, instance: nodeSession.instance };
  }

  /** The release to send to: any if there is but one, none if only one that was judged bad is left. Further legs try no release. */
  #release(run: ActiveRequest, extra: boolean, now: Timestamp): Release | undefined | null {
    const releases = this.endpoints.releases(run.service);
    const cabin = this.#context.nodeAgent();
    const state = cabin.releaseStates.get(run.service);
    if (releases.size <= 1 && state === undefined) return undefined;
    const fresh = elapsedMs(cabin.releaseStatesAt, now) < canaryFreshnessMs;
    return (
      pickRelease(state, releases, run.track.className, extra ? 1 : this.#roll(), fresh) ??
      (releases.size === 0 ? undefined : null)
    );
  }

  #send(run: ActiveRequest, leg: number, instance: InstanceId, now: Timestamp): void {
    const nodeSession = this.endpoints.get(instance);
    if (nodeSession === undefined) return;
    const { call, track } = run;
    this.endpoints.recordAttemptStart(nodeSession);
    const { release } = nodeSession;
    this.#rolloutCounters.recordAttemptStart(run.service, release, track.className);
    const drop = [
      this.#options.headerNames.timeLeftMs,
      this.#options.headerNames.targetInstance,
      'content-length',
      'expect',
      ...(run.slip === undefined ? [] : conditionalFields),
    ];
    const spanMs = Math.max(1, Math.floor(elapsedMs(now, run.state.until)));
    const fields: HeaderFields = [
      ...forwardableFields(call.fields, drop),
      [this.#options.headerNames.timeLeftMs, String(spanMs)],
      [this.#options.headerNames.targetInstance, instance],
    ];
    const ended = (): boolean => {
      const known = run.inFlightAttempts.has(leg);
      run.inFlightAttempts.delete(leg);
      return known;
    };
    run.attemptStarts.set(leg, { since: now, purged: this.#context.nodeAgent().lastPurgeSeq });
    const cut = this.#originClient.send(
      {
        service: run.service,
        address: nodeSession.address,
        instance,
        id: call.id,
        method: call.method,
        target: call.target,
        fields,
        body: call.body,
        timeoutMs: spanMs,
        needsNewConnection: !track.isIdempotent,
      },
      {
        onResponse: (answer) => {
          if (!ended()) return;
          const at = this.#context.now();
          this.#count(
            run,
            release,
            answer.isUnprocessed ? 'cut' : answer.status < 500 ? 'good' : 'bad',
            answer.isUnprocessed ? 0 : elapsedMs(now, at),
          );
          if (answer.isUnprocessed) this.endpoints.recordRejection(nodeSession, at);
          else
            this.endpoints.recordAttemptEnd(
              nodeSession,
              elapsedMs(now, at),
              answer.status < 500,
              at,
            );
          this.#event(run, { kind: 'answered', now: at, leg, answer });
        },
        onFailure: (sent, text) => {
          if (!ended()) return;
          const at = this.#context.now();
          this.count(sent ? 'broke' : 'unopened');
          this.#count(run, release, sent ? 'bad' : 'cut', sent ? elapsedMs(now, at) : 0);
          this.endpoints.recordAttemptEnd(nodeSession, undefined, false, at);
          this.#event(run, { kind: 'broke', now: at, leg, sent, text });
        },
      },
    );
    run.inFlightAttempts.set(leg, { cut, instance, release, since: now });
  }

  #count(run: ActiveRequest, release: Release, outcome: AttemptOutcome, ms: number): void {
    const settled = this.#context.nodeAgent().releaseStates.get(run.service)?.settled;
    this.#rolloutCounters.recordAttemptEnd(
      run.service,
      release,
      run.track.className,
      outcome,
      ms,
      this.endpoints.typicalLatencyMs(run.service, settled),
    );
  }

  #kept(slip: CacheableRequest, cabin: NodeAgent, now: Timestamp): CacheEntry | undefined {
    // An edge that is cut off from all registries is out of touch, and serves what it has.
    const sure =
      cabin.purgesCurrentAsOf !== undefined &&
      elapsedMs(cabin.purgesCurrentAsOf, now) < this.#options.limits.maxPurgeLagMs;
    if (!sure && isConnected(cabin.nodeSession, now)) return undefined;
    return this.#cacheLookup.cache.find(slip.key, slip.fields, now);
  }

  #told(run: ActiveRequest, told: RequestOutcome, now: Timestamp): void {
    this.#settle(run, this.#wordOf(run, told, now));
  }

  /** Ends a request: its caller and those who waited for its fetch are told. */
  #settle(run: ActiveRequest, word: ClientReply): void {
    const { slip, fetch } = run;
    if (slip !== undefined && this.#coalescedFetches.get(slip.coalescingKey) === fetch)
      this.#coalescedFetches.delete(slip.coalescingKey);
    if (!run.isClientGone) this.#say(run.tell, word);
    for (const waiter of fetch?.waiters ?? []) {
      if (waiter.isDone) continue;
      waiter.isDone = true;
      if (word.kind === 'cached') this.#say(waiter.tell, word);
      else {
        const serving = { latest: waiter.until, forPeer: waiter.forPeer };
        waiter.cancel = this.#serve(waiter.call, waiter.tell, serving);
      }
    }
  }

  #wordOf(run: ActiveRequest, told: RequestOutcome, now: Timestamp): ClientReply {
    if (told.kind === 'fault')
      return {
        kind: 'failure',
        errorKind: told.fault,
        text: told.text,
        retryAfterMs: told.retryMs,
      };
    const { answer } = told;
    const birth = run.attemptStarts.get(told.leg);
    if (run.slip === undefined || answer.status !== 200 || birth === undefined)
      return { kind: 'response', response: answer };
    const { slip } = run;
    const entry: CacheEntry = {
      key: slip.key,
      vary: new Map(),
      status: answer.status,
      fields: answer.fields,
      body: answer.body,
      digest: '',
      createdAt: birth.since,
      lifetimeMs: slip.route.cache?.lifetimeMs ?? 0,
      tags: cacheTagsOf(answer.fields, this.#options.headerNames.cacheTags),
    };
    if (entry.lifetimeMs > 0)
      this.#cacheLookup.cache.store(
        entry,
        slip.fields,
        slip.route.cache?.vary ?? [],
        birth.purged,
        now,
      );
    return { kind: 'cached', entry, purgeSeq: birth.purged };
  }

  #say(tell: ReplyCallback, word: ClientReply): void {
    this.count(
      word.kind === 'failure'
        ? `fault_${word.errorKind}`
        : word.kind === 'cached'
          ? 'told_kept'
          : `status_${Math.floor(word.response.status / 100)}xx`,
    );
    tell(word);
  }

  #roll(): number {
    const [chance, dice] = nextRandom(this.#randomState);
    this.#randomState = dice;
    return chance;
  }
}
