/**
 * Object sharing between edges, from the router's side: requests for objects that another edge owns, and other edges'
 * requests for objects that this edge owns. `ObjectSharing` handles ownership and timeouts.
 */

import {
  type Address,
  type RouteName,
  type Timestamp,
  type ZoneName,
  elapsedMs,
  errorResponseFor,
  increment,
} from '@switchwheel/types';
import type { FrameOf, Member, ObjectFrame } from '@switchwheel/transport';
import type { CompiledRoute } from '@switchwheel/configuration';
import type { CacheEntry } from '@switchwheel/proxy-core';
import {
  type ObjectOutcome,
  type ObjectQuery,
  type ObjectRefusal,
  type ObjectReply,
  ObjectSharing,
  type PeerConnection,
  type PeerPort,
  type QueryHandlers,
  maxSharedBytes,
  replyFrame,
} from '../object-sharing/object-sharing.js';
import { PeerBandwidthBySize } from '../object-sharing/peer-bandwidth.js';
import type { QuotaShare } from '../quota/quota-share.js';
import type { RandomSource } from '../random/random-source.js';
import type { ActiveRequest } from './active-request.js';
import type {
  ClientReply,
  HeaderNames,
  IncomingRequest,
  PeerRequester,
  ReplyCallback,
  Requester,
  RouterContext,
} from './ports.js';

/** Request fields on which a cached object may depend, in addition to the `vary` fields of its route. */
const commonVary: ReadonlySet<string> = new Set(['accept', 'accept-encoding', 'accept-language']);

/** Dependencies of object sharing, shared with the router. */
export interface PeerObjectsOptions {
  readonly context: RouterContext;
  readonly zone: ZoneName;
  /** Zones of this edge's region, including its own. */
  readonly regionZones: ReadonlySet<ZoneName>;
  readonly headerNames: HeaderNames;
  readonly quota: QuotaShare;
  readonly counts: Map<string, number>;
  readonly random: RandomSource;
  /** Connection to other edges; undefined disables object sharing. */
  readonly peers: PeerPort | undefined;
  /** Bandwidth of this machine's link in bytes per second; infinite if unknown. */
  readonly linkBytesPerSecond: number;
  /** Serves another edge's request like a client's. */
  readonly serveForPeer: (
    request: IncomingRequest,
    requester: PeerRequester,
    reply: ReplyCallback,
  ) => void;
}

/** Requests objects from their owners, and serves the objects that this edge owns. */
export class PeerObjects {
  readonly #options: PeerObjectsOptions;
  readonly #sharing: ObjectSharing | undefined;
  readonly #bandwidth: PeerBandwidthBySize;
  #isServing = true;

  constructor(options: PeerObjectsOptions) {
    this.#options = options;
    this.#bandwidth = new PeerBandwidthBySize(options.linkBytesPerSecond);
    const self = options.context.nodeAgent().nodeSession.member.address;
    this.#sharing =
      options.peers === undefined
        ? undefined
        : new ObjectSharing(options.peers, self, options.random);
  }

  /** Updates the edges that share objects: those of this edge's region. */
  updateEdges(edges: readonly Member[]): void {
    const { zone, regionZones } = this.#options;
    const regionEdges = edges.filter(({ area }) => area === zone || regionZones.has(area));
    this.#sharing?.updatePeers(
      regionEdges.filter(({ area }) => area === zone).map(({ address }) => address),
      regionEdges.map(({ address }) => address),
    );
  }

  /** Expires requests to owners that have not replied in time. */
  tick(now: Timestamp): void {
    this.#sharing?.tick(now);
  }

  /** Handles another edge's request for an object, or its reply to a request of this edge. */
  handleFrame(from: PeerConnection, frame: ObjectFrame): void {
    const { context, counts } = this.#options;
    const now = context.now();
    this.#sharing?.recordHeard(from.address, now);
    if (frame.kind === 'object-request') this.#serveObject(from, frame);
    else if (this.#sharing?.handleReply(from.address, frame, now) === false)
      increment(counts, 'owner_unmatched');
  }

  /** Records bytes that were sent on this edge's link. */
  recordSent(bytes: number): void {
    this.#bandwidth.recordSent(bytes, this.#options.context.now());
  }

  /** Refuses other edges' requests from now on; requests of this edge's clients still go to the owners. */
  stopServing(): void {
    this.#isServing = false;
  }

  /** Records the size of an object that was fetched or received, by which the links' load is limited. */
  recordObject(route: RouteName, bytes: number): void {
    this.#bandwidth.recordObject(route, bytes);
  }

  /** Handles the end of the channel to another edge. */
  handleDisconnect(edge: Address, wasEstablished: boolean): void {
    this.#sharing?.handleDisconnect(edge, wasEstablished, this.#options.context.now());
  }

  /**
   * Requests an object from the edge that owns it, if this edge's quota share is too small to fetch all objects itself.
   * Returns false if the request must be sent to an origin instead; otherwise `onOutcome` is called once. Large objects
   * are shared as little as possible, as each transfer delays others on the link: only within the zone, and only if this
   * edge has no quota to spare.
   */
  requestFromOwner(
    active: ActiveRequest,
    requester: Requester,
    now: Timestamp,
    onOutcome: (active: ActiveRequest, outcome: ObjectOutcome) => void,
  ): boolean {
    const { cacheable, route, request } = active;
    const { context, quota } = this.#options;
    const { compiledConfiguration } = context.nodeAgent();
    const service = compiledConfiguration?.services.get(active.service);
    if (cacheable === undefined || compiledConfiguration === undefined || service === undefined)
      return false;
    if (!quota.isScarce(service, now)) return false;
    const isLarge = this.#bandwidth.hasLargeObjects(route.name);
    if (isLarge && quota.hasSurplus(service, now)) return false;
    const [owner, ...otherOwners] = this.#ownersFor(
      cacheable.coalescingKey,
      isLarge ? 'zone' : 'region',
      requester,
      now,
    );
    if (owner === undefined) return false;
    const query = {
      callerId: request.id,
      generation: compiledConfiguration.generation,
      route: route.name,
      host: request.host,
      target: request.target,
      fields: cacheable.fields.filter(([name]) => isVaryField(name, route)),
      left: elapsedMs(now, active.state.deadline),
    };
    this.#requestInTurn(owner, otherOwners, query, {
      onOutcome: (outcome) => onOutcome(active, outcome),
      canGoOn: () =>
        active.state.maxAttempts > 1 && quota.hasExtraAttempt(active.service, context.now()),
    });
    return true;
  }

  /** Returns the edges to request an object from, in this order. */
  #ownersFor(
    object: string,
    scope: 'zone' | 'region',
    requester: Requester,
    now: Timestamp,
  ): readonly Address[] {
    if (requester === 'remoteEdge' || this.#sharing === undefined) return [];
    const zoneOwner = requester === 'client' ? this.#sharing.zoneOwnerOf(object, now) : undefined;
    if (zoneOwner !== undefined) return [zoneOwner];
    return scope === 'region' ? this.#sharing.regionOwnersOf(object, now) : [];
  }

  /** Requests an object from an owner, and from the next one if it refuses without having tried an origin. */
  #requestInTurn(
    owner: Address,
    otherOwners: readonly Address[],
    query: ObjectQuery,
    handlers: QueryHandlers,
  ): void {
    const { context, counts } = this.#options;
    const onOutcome = (outcome: ObjectOutcome): void => {
      const [next, ...others] = otherOwners;
      const mayAskNext =
        !outcome.isFound && !outcome.mayHaveFetched && outcome.retryAfterMs === undefined;
      if (mayAskNext && next !== undefined) this.#requestInTurn(next, others, query, handlers);
      else handlers.onOutcome(outcome);
    };
    increment(counts, 'owner_asked');
    this.#sharing?.request(owner, query, context.now(), { ...handlers, onOutcome });
  }

  /**
   * Replies with an object that this edge owns: from the cache, or fetched if the quota share permits it. The reply goes
   * to the process that sent the query, never to another one that has taken over its address.
   */
  #serveObject(from: PeerConnection, query: FrameOf<'object-request'>): void {
    const { context, counts, headerNames, serveForPeer } = this.#options;
    const respond = (reply: ObjectReply): void => {
      const isSent = from.send(replyFrame(query.id, reply, context.now()));
      if (!isSent) increment(counts, 'peer_gone');
    };
    if (!this.#mayServe(query, context.now())) {
      increment(counts, 'peer_refused');
      respond({ isUnsent: true });
      return;
    }
    increment(counts, 'peer_asked');
    const request: IncomingRequest = {
      id: query.callerId,
      method: 'GET',
      host: query.host,
      target: query.target,
      fields: [...query.fields, [headerNames.requestId, query.callerId]],
      body: Buffer.alloc(0),
      timeoutMs: query.left,
    };
    const bandwidth = this.#bandwidth.partFor(query.route);
    const progress = { hasReplied: false };
    const requester = this.#sharing?.isInZone(from.address) === true ? 'zoneEdge' : 'remoteEdge';
    serveForPeer(request, requester, (reply) => {
      progress.hasReplied = true;
      const isObject = reply.kind === 'cached' && isShareable(reply.entry);
      const bytes = isObject ? reply.entry.body.length : 0;
      bandwidth.settle(bytes);
      this.recordSent(bytes);
      if (isObject) respond({ ...reply.entry, purged: reply.purgeSeq });
      else respond(this.#refusal(reply, query.route));
    });
    if (!progress.hasReplied) respond('fetching');
  }

  /** Describes the failure of a request that this edge, as its owner, could not serve. */
  #refusal(reply: ClientReply, routeName: RouteName): ObjectRefusal {
    const isUnsent = reply.kind === 'failure' && errorResponseFor(reply.errorKind).didNotRun;
    if (!isUnsent) return { isUnsent };
    if (reply.isOwnerLimited === true) return { isUnsent, retryAfterMs: reply.retryAfterMs };
    const { context, quota } = this.#options;
    const { compiledConfiguration } = context.nodeAgent();
    const route = compiledConfiguration?.routesByName.get(routeName);
    const service =
      route?.weightedServices.length === 1
        ? compiledConfiguration?.services.get(route.service)
        : undefined;
    const waitMs = service === undefined ? 0 : quota.waitMs(service, 1, context.now());
    return waitMs > 0 ? { isUnsent, retryAfterMs: waitMs } : { isUnsent };
  }

  /** Whether this edge is not stopping, both edges run the same configuration, the route is cached and bandwidth could be reserved. */
  #mayServe(query: FrameOf<'object-request'>, now: Timestamp): boolean {
    if (!this.#isServing) return false;
    const { compiledConfiguration } = this.#options.context.nodeAgent();
    if (compiledConfiguration?.routesByName.get(query.route)?.cache === undefined) return false;
    if (compiledConfiguration.generation !== query.generation) return false;
    return this.#bandwidth.reserve(query.route, now);
  }
}

const isShareable = ({ status, body }: CacheEntry): boolean =>
  status === 200 && body.length <= maxSharedBytes;

const isVaryField = (name: string, route: CompiledRoute): boolean =>
  commonVary.has(name) || route.cache?.vary.includes(name) === true;
