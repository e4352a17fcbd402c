/**
 * Entry point for clients' requests at an edge without shields. A request is served from the cache, joins a fetch in
 * flight, is requested from the edge that owns the object, or is sent to an origin. The router accepts requests;
 * `RequestRunner` executes those that need a fetch.
 */

import {
  type Address,
  type ErrorKind,
  type RandomState,
  type Timestamp,
  type ZoneName,
  increment,
} from '@switchwheel/types';
import type { FrameOf, ObjectFrame, RolloutState } from '@switchwheel/transport';
import { type CompiledRoute, matchRoute, pickService } from '@switchwheel/configuration';
import {
  type Cache,
  type CacheableRequest,
  type NodeAgent,
  isConfigurationOverdue,
  knowsAllRoutes,
  splitTarget,
} from '@switchwheel/proxy-core';
import { newRequestState } from '../attempt-state/attempt-state.js';
import { EndpointTable } from '../endpoint/endpoint-table.js';
import type { PeerConnection, PeerPort } from '../object-sharing/object-sharing.js';
import { EdgeCount, QuotaShare } from '../quota/quota-share.js';
import { RandomSource } from '../random/random-source.js';
import { RolloutCounters } from '../rollout/rollout-counters.js';
import { type ActiveRequest, deadlineOf } from './active-request.js';
import { CoalescedFetches, joinFetch } from './coalesced-fetches.js';
import { EndpointSelector } from './endpoint-selector.js';
import { PeerObjects } from './peer-objects.js';
import type {
  ClientReply,
  EdgeLimits,
  HeaderNames,
  IncomingRequest,
  OriginClient,
  ReplyCallback,
  Requester,
  RouterContext,
} from './ports.js';
import { failureReply, sendReply } from './replies.js';
import { RequestRunner } from './request-runner.js';
import { ResponseCache } from './response-cache.js';

/** Options of a router: zone, limits and links to other edges. */
export interface EdgeRouterOptions {
  readonly zone: ZoneName;
  /** Zones of this edge's region, whose edges share objects; its own zone alone if undefined. */
  readonly regionZones?: ReadonlySet<ZoneName>;
  readonly headerNames: HeaderNames;
  readonly limits: EdgeLimits;
  /** Maximum number of requests in progress; further requests are rejected with a retry delay. */
  readonly maxActiveRequests: number;
  /** Connection to other edges; undefined disables object sharing. */
  readonly peers?: PeerPort;
  /** Bandwidth of this machine's link in bytes per second; unlimited if undefined. */
  readonly linkBytesPerSecond?: number;
}

interface AcceptOptions {
  /** Original deadline of a request that is resubmitted after the fetch that it joined failed. */
  readonly deadline?: Timestamp;
  /** Whom the request comes from; one from another edge earns no retry budget here. */
  readonly requester: Requester;
}

/** A request with a route and without a usable cached response. */
interface AcceptedRequest extends Pick<
  ActiveRequest,
  'request' | 'route' | 'service' | 'cacheable' | 'reply'
> {
  readonly deadline: Timestamp;
  readonly requester: Requester;
}

const notReadyRetryMs = 300;
const overloadRetryMs = 300;
/** Retry delay while a newer configuration is overdue at this edge. */
const configurationOverdueRetryMs = 200;
/** Retry delay at an edge that is shutting down; short, as another edge serves the retry. */
const stoppingRetryMs = 100;

/** Maximum number of attempts per request unless its route sets `origins`. */
const defaultMaxAttempts = { idempotent: 3, other: 2 };
/** An owner sends a single attempt; the requesting edge retries. */
const maxAttemptsForPeer = 1;

const lifetimeOf = (route: CompiledRoute): number => route.cache?.lifetimeMs ?? 0;

const doNothing = (): void => undefined;

/** Routes the requests of one edge. Its state is updated in place. */
export class EdgeRouter {
  /** Event counters by metric name. */
  readonly counts = new Map<string, number>();
  /** Endpoints of all services with their statistics. */
  readonly endpoints: EndpointTable;
  readonly #context: RouterContext;
  readonly #originClient: OriginClient;
  readonly #options: EdgeRouterOptions;
  readonly #edgeCount = new EdgeCount();
  readonly #quota: QuotaShare;
  readonly #fetches: CoalescedFetches;
  readonly #responseCache: ResponseCache;
  readonly #rolloutCounters: RolloutCounters;
  readonly #peerObjects: PeerObjects;
  readonly #runner: RequestRunner;
  readonly #random: RandomSource;
  #lastRequestId = 0;
  #isStopped = false;

  constructor(
    context: RouterContext,
    cache: Cache,
    originClient: OriginClient,
    options: EdgeRouterOptions,
    randomState: RandomState,
  ) {
    const { headerNames, limits, zone } = options;
    const { counts } = this;
    const random = new RandomSource(randomState);
    const endpoints = new EndpointTable(randomState);
    const quota = new QuotaShare(limits, this.#edgeCount);
    const rolloutCounters = new RolloutCounters();
    const fetches = new CoalescedFetches(limits.maxPurgeLagMs);
    const responseCache = new ResponseCache(cache, headerNames, limits);
    const selector = new EndpointSelector({ context, zone, endpoints, quota, random, counts });
    const peerObjects = new PeerObjects({
      context,
      zone,
      regionZones: options.regionZones ?? new Set([zone]),
      headerNames,
      quota,
      counts,
      random,
      peers: options.peers,
      linkBytesPerSecond: options.linkBytesPerSecond ?? Infinity,
      serveForPeer: (request, requester, reply) => this.#accept(request, reply, { requester }),
    });
    this.#context = context;
    this.#originClient = originClient;
    this.#options = options;
    this.#random = random;
    this.endpoints = endpoints;
    this.#quota = quota;
    this.#rolloutCounters = rolloutCounters;
    this.#fetches = fetches;
    this.#responseCache = responseCache;
    this.#peerObjects = peerObjects;
    this.#runner = new RequestRunner({
      context,
      originClient,
      headerNames,
      endpoints,
      rolloutCounters,
      quota,
      responseCache,
      fetches,
      peerObjects,
      selector,
      counts,
      resubmit: (waiter) => this.#accept(waiter.request, waiter.reply, waiter),
    });
  }

  /** Number of requests in progress, excluding those that wait for another request's fetch. */
  get openRequests(): number {
    return this.#runner.openRequests;
  }

  /** Called after purges were applied: no request joins a fetch that started earlier. */
  onPurged(): void {
    this.#fetches.onPurged();
  }

  /** Updates the router with the fleet's members, origins and rollouts. */
  updateFleet(nodeAgent: NodeAgent): void {
    const now = this.#context.now();
    const { members, origins } = nodeAgent.nodeSession;
    const edges = members.filter((member) => member.role === 'edge');
    this.#edgeCount.record(edges.length, now);
    this.#peerObjects.updateEdges(edges);
    this.#rolloutCounters.trackRollouts(nodeAgent.releaseStates.values(), now);
    for (const instance of this.endpoints.update(origins, now))
      this.#originClient.closeIdleConnections(instance);
  }

  /** Serves a client's request, including its complete body; returns the callback for a disconnect of the client. */
  serve(request: IncomingRequest, reply: ReplyCallback): () => void {
    const sendToClient: ReplyCallback = (clientReply) => {
      this.#peerObjects.recordSent(bodyBytesOf(clientReply));
      reply(clientReply);
    };
    return this.#accept(request, sendToClient, { requester: 'client' });
  }

  /** Handles a frame received from another edge. */
  handlePeerFrame(from: PeerConnection, frame: ObjectFrame): void {
    this.#peerObjects.handleFrame(from, frame);
  }

  /** Called when the channel to another edge was closed; without an established channel no frame has reached it. */
  handlePeerDisconnect(edge: Address, wasEstablished: boolean): void {
    this.#peerObjects.handleDisconnect(edge, wasEstablished);
  }

  /** Expires requests whose deadline has passed, and sends hedges that are due. */
  tick(now: Timestamp): void {
    this.#peerObjects.tick(now);
    this.#runner.tick(now);
  }

  /** Returns this edge's counts of the rollouts in progress as frames for the store's primary. */
  rolloutReports(nodeAgent: NodeAgent): readonly FrameOf<'tally'>[] {
    const { node, incarnation } = nodeAgent.nodeSession.member;
    return [...nodeAgent.releaseStates.values()].flatMap((rollout) => {
      if (!isRolloutReported(rollout)) return [];
      const report = this.#rolloutCounters.report(rollout, this.#context.now());
      return report === undefined ? [] : [{ kind: 'tally' as const, node, incarnation, ...report }];
    });
  }

  /**
   * Refuses other edges' requests: an edge that stops waits for its open requests, and other edges would keep it from
   * ending until those in progress are aborted.
   */
  stopServingPeers(): void {
    this.#peerObjects.stopServing();
  }

  /** Expires all requests in progress and rejects new ones; returns the number of requests that were in progress. */
  abortAll(): number {
    this.#isStopped = true;
    const openRequests = this.#runner.openRequests;
    this.#runner.abortAll();
    return openRequests;
  }

  /** Accepts a request from a client or another edge, or one that is resubmitted after the fetch that it joined failed. */
  #accept(request: IncomingRequest, reply: ReplyCallback, options: AcceptOptions): () => void {
    const now = this.#context.now();
    const nodeAgent = this.#context.nodeAgent();
    if (this.#isStopped)
      return this.#refuse(reply, 'rejected', 'this node is stopping', stoppingRetryMs);
    if (nodeAgent.compiledConfiguration === undefined)
      return this.#refuse(reply, 'unready', 'this node is not ready', notReadyRetryMs);
    if (isConfigurationOverdue(nodeAgent, now, this.#options.limits.maxApplyMs)) {
      const text = 'a newer description is on its way here';
      return this.#refuse(reply, 'unready', text, configurationOverdueRetryMs);
    }
    const { path } = splitTarget(request.target);
    const { method, host } = request;
    const match = matchRoute(nodeAgent.compiledConfiguration, method, host, path);
    if (match.outcome === 'matched')
      return this.#serveRoute(request, reply, match.route, options, now);
    return knowsAllRoutes(nodeAgent, now)
      ? this.#refuse(reply, 'absent', 'no route', 0)
      : this.#refuse(reply, 'unready', 'no route is known here yet', notReadyRetryMs);
  }

  #serveRoute(
    request: IncomingRequest,
    reply: ReplyCallback,
    route: CompiledRoute,
    { deadline: originalDeadline, requester }: AcceptOptions,
    now: Timestamp,
  ): () => void {
    const service = pickService(route, this.#random.next());
    if (originalDeadline === undefined && requester === 'client')
      this.#quota.recordRequest(service, now);
    const deadline = originalDeadline ?? deadlineOf(request, route, now);
    const cacheable = this.#responseCache.cacheable(route, request);
    if (cacheable !== undefined && this.#replyFromCache(cacheable, reply, now)) return doNothing;
    // The response to a HEAD request has no body, so it can be neither cached nor shared.
    const coalescable = request.method === 'GET' ? cacheable : undefined;
    const fetch =
      coalescable === undefined
        ? undefined
        : this.#fetches.findJoinable(coalescable.coalescingKey, lifetimeOf(route), now);
    if (fetch !== undefined) {
      increment(this.counts, 'joined');
      return joinFetch(fetch, { request, reply, deadline, requester });
    }
    if (this.#runner.openRequests >= this.#options.maxActiveRequests)
      return this.#refuse(reply, 'rejected', 'too many requests are under way', overloadRetryMs);
    return this.#start(
      { request, route, service, cacheable: coalescable, reply, deadline, requester },
      now,
    );
  }

  #replyFromCache(cacheable: CacheableRequest, reply: ReplyCallback, now: Timestamp): boolean {
    const nodeAgent = this.#context.nodeAgent();
    const entry = this.#responseCache.find(cacheable, nodeAgent, now);
    if (entry === undefined) return false;
    increment(this.counts, 'kept');
    sendReply(this.counts, reply, { kind: 'cached', entry, purgeSeq: nodeAgent.lastPurgeSeq });
    return true;
  }

  #start(accepted: AcceptedRequest, now: Timestamp): () => void {
    const { cacheable, route, deadline, requester } = accepted;
    this.#lastRequestId += 1;
    const active: ActiveRequest = {
      id: this.#lastRequestId,
      request: accepted.request,
      route,
      service: accepted.service,
      cacheable,
      fetch:
        cacheable === undefined
          ? undefined
          : this.#fetches.begin(cacheable.coalescingKey, lifetimeOf(route), now),
      reply: accepted.reply,
      inFlight: new Map(),
      attemptStarts: new Map(),
      state: newRequestState(route.isIdempotent, maxAttemptsOf(route, requester), deadline),
      hedgeAt: undefined,
      isClientDisconnected: false,
    };
    this.#runner.start(active, requester, now);
    return () => this.#runner.onClientDisconnected(active);
  }

  /** Replies with a failure immediately; the returned callback does nothing. */
  #refuse(
    reply: ReplyCallback,
    errorKind: ErrorKind,
    text: string,
    retryAfterMs: number,
  ): () => void {
    sendReply(this.counts, reply, failureReply(errorKind, text, retryAfterMs));
    return doNothing;
  }
}

/** Whether counts are reported: the rollout is in progress, or ended so recently that late counts still matter. */
const isRolloutReported = ({ phase, leftMs }: RolloutState): boolean =>
  phase !== 'none' && (phase === 'trial' || phase === 'moving' || leftMs > 0);

const bodyBytesOf = (reply: ClientReply): number => {
  switch (reply.kind) {
    case 'failure':
      return 0;
    case 'cached':
      return reply.entry.body.length;
    case 'response':
      return reply.response.body.length;
  }
};

const maxAttemptsOf = (route: CompiledRoute, requester: Requester): number => {
  if (requester !== 'client') return maxAttemptsForPeer;
  return (
    route.maxOrigins ??
    (route.isIdempotent ? defaultMaxAttempts.idempotent : defaultMaxAttempts.other)
  );
};
