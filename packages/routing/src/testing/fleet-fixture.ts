/**
 * A fleet of edges in one or more zones, each with its own clock. Time advances only as the test says; the test responds
 * to fetches, and frames between edges are delivered without delay.
 */

import {
  type Address,
  type ServiceName,
  type Timestamp,
  type Seq,
  toAddress,
  toIncarnation,
  toNodeId,
  toSeq,
  toTimestamp,
  toZoneName,
} from '@switchwheel/types';
import type { Member, ObjectFrame } from '@switchwheel/transport';
import type { CompiledConfiguration } from '@switchwheel/configuration';
import { type NodeAgent, Cache } from '@switchwheel/proxy-core';
import type { PeerConnection } from '../object-sharing/object-sharing.js';
import { EdgeRouter } from '../router/edge-router.js';
import {
  type AttemptHandlers,
  type AttemptRequest,
  type ClientReply,
  type IncomingRequest,
  defaultEdgeLimits,
  defaultHeaderNames,
} from '../router/ports.js';
import { type OriginFixture, newConfirmedEdgeAgent } from './edge-fixture.js';

/** Options of a fleet. */
export interface FleetOptions {
  readonly configuration: CompiledConfiguration;
  readonly service: ServiceName;
  /** Host of the requests. */
  readonly host: string;
  /** Names of the zones. */
  readonly zones: readonly string[];
  readonly edgesPerZone: number;
  readonly origins: readonly OriginFixture[];
  /** Bandwidth of each edge's link; unlimited if undefined. */
  readonly linkBytesPerSecond?: number;
}

/** A fetch that an edge sent to an origin. */
export interface FleetFetch {
  readonly edge: FleetEdge;
  readonly request: AttemptRequest;
  readonly handlers: AttemptHandlers;
}

interface FrameInTransit {
  readonly from: FleetEdge;
  readonly to: FleetEdge;
  readonly frame: ObjectFrame;
}

const tickIntervalMs = 30;
const clockOffsetMs = 10_000;
const originSlots = 64;
const cacheBytes = 8_000_000;
const requestTimeoutMs = 2000;

/** All edges of a fleet, with their fetches and the frames between them. */
export class FleetFixture {
  now = 0;
  /** Current process of each edge. */
  readonly edges: FleetEdge[];
  readonly fetches: FleetFetch[] = [];
  /** Whether owners reply to an address, as versions without per-connection replies did, whichever process has it then. */
  repliesByAddress = false;
  /** Addresses of edges whose frames are lost in both directions. */
  readonly unreachable = new Set<Address>();
  readonly #members: readonly Member[];
  readonly #framesInTransit: FrameInTransit[] = [];

  constructor(readonly options: FleetOptions) {
    const members = membersOf(options);
    this.#members = members;
    this.edges = members.map(
      (member, index) => new FleetEdge(this, member, members, clockOffsetMs * (index + 1)),
    );
  }

  /** Queues a frame to the process that has an address now; it is delivered by `deliver`. */
  send(from: FleetEdge, to: Address, frame: ObjectFrame): void {
    const target = this.edges.find((edge) => edge.member.address === to);
    if (target?.isRunning === true) this.#framesInTransit.push({ from, to: target, frame });
  }

  /** Ends an edge's process without notice, which closes its channels. */
  kill(edge: FleetEdge): void {
    edge.isRunning = false;
    for (const other of this.edges)
      if (other.isRunning) other.router.handlePeerDisconnect(edge.member.address, true);
  }

  /** Starts a new process, with an empty cache, at the address of one that was killed. */
  restart(edge: FleetEdge, randomSeed: number): FleetEdge {
    const member = { ...edge.member, incarnation: toIncarnation(edge.member.incarnation + 1) };
    const started = new FleetEdge(this, member, this.#members, edge.clockStart, randomSeed);
    this.edges[this.edges.indexOf(edge)] = started;
    return started;
  }

  /** Delivers all frames, including those sent during delivery. */
  deliver(): void {
    for (
      let sent = this.#framesInTransit.shift();
      sent !== undefined;
      sent = this.#framesInTransit.shift()
    ) {
      const { from, to, frame } = sent;
      const isCut =
        this.unreachable.has(to.member.address) || this.unreachable.has(from.member.address);
      if (to.isRunning && !isCut) to.router.handlePeerFrame(this.#connection(to, from), frame);
    }
  }

  /** Returns the connection on which an edge replies to a process of another one. */
  #connection(self: FleetEdge, peer: FleetEdge): PeerConnection {
    const { address } = peer.member;
    return {
      address,
      send: (frame) => {
        if (this.repliesByAddress) this.send(self, address, frame);
        else if (peer.isRunning) this.#framesInTransit.push({ from: self, to: peer, frame });
        return this.repliesByAddress || peer.isRunning;
      },
    };
  }

  /** Advances the time in steps of a tick, in which all edges tick and frames are delivered. */
  advance(ms: number): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now = Math.min(end, this.now + tickIntervalMs);
      for (const edge of this.edges) if (edge.isRunning) edge.tick();
      this.deliver();
    }
  }

  /** Responds to a fetch by its index. */
  respond(index: number, body = 'body', status = 200): void {
    const fields: AttemptRequest['fields'] = [['cache-tag', 't1']];
    const fetch = this.fetches[index];
    if (fetch?.edge.isRunning !== true) return;
    fetch.handlers.onResponse({
      status,
      fields,
      body: Buffer.from(body),
      isUnprocessed: false,
    });
    this.deliver();
  }
}

const membersOf = ({ zones, edgesPerZone }: FleetOptions): readonly Member[] =>
  zones.flatMap((zone, zoneIndex) =>
    Array.from({ length: edgesPerZone }, (_, index) => ({
      node: toNodeId(`e${zoneIndex * edgesPerZone + index}`),
      role: 'edge' as const,
      area: toZoneName(zone),
      address: toAddress(`10.0.${zoneIndex}.${index + 1}:1`),
      incarnation: toIncarnation(1),
    })),
  );

/** A client's request that was replied to. */
export interface AnsweredRequest {
  readonly target: string;
  readonly reply: ClientReply;
}

/** One process of an edge of a fleet, with the replies that its clients received. */
export class FleetEdge {
  isRunning = true;
  readonly replies: ClientReply[] = [];
  readonly answered: AnsweredRequest[] = [];
  readonly cache = new Cache(cacheBytes);
  readonly router: EdgeRouter;
  nodeAgent: NodeAgent;
  #requestCount = 0;

  constructor(
    readonly fleet: FleetFixture,
    readonly member: Member,
    members: readonly Member[],
    readonly clockStart: number,
    randomSeed = clockStart,
  ) {
    const { configuration, service, origins } = fleet.options;
    this.nodeAgent = newConfirmedEdgeAgent({
      configuration,
      service,
      origins,
      slots: originSlots,
      now: this.now,
      member,
      members,
    });
    this.router = new EdgeRouter(
      { now: () => this.now, nodeAgent: () => this.nodeAgent },
      this.cache,
      {
        send: (request, handlers) => {
          fleet.fetches.push({ edge: this, request, handlers });
          return () => undefined;
        },
        closeIdleConnections: () => undefined,
      },
      {
        zone: member.area,
        regionZones: new Set(fleet.options.zones.map((zone) => toZoneName(zone))),
        headerNames: defaultHeaderNames,
        limits: defaultEdgeLimits,
        maxActiveRequests: 100,
        linkBytesPerSecond: fleet.options.linkBytesPerSecond ?? Infinity,
        peers: { send: (to, frame) => fleet.send(this, to, frame) },
      },
      { seed: randomSeed },
    );
    this.router.updateFleet(this.nodeAgent);
  }

  /** Time by this edge's clock. */
  get now(): Timestamp {
    return toTimestamp(this.clockStart + this.fleet.now);
  }

  /** Ticks the router of an edge that hears a registry, which confirms its configuration, origins and purges. */
  tick(): void {
    const { nodeSession, configFreshness } = this.nodeAgent;
    const now = this.now;
    this.nodeAgent = {
      ...this.nodeAgent,
      purgesCurrentAsOf: now,
      configFreshness: { ...configFreshness, confirmedAsOf: now },
      nodeSession: { ...nodeSession, registryHeardAt: now },
    };
    this.router.tick(now);
  }

  /** Sends a client's request to this edge. */
  request(target: string, method = 'GET', fields: AttemptRequest['fields'] = []): void {
    const request: IncomingRequest = {
      id: `${this.member.node}-${this.member.incarnation}-${this.#requestCount}`,
      method,
      host: this.fleet.options.host,
      target,
      fields,
      body: Buffer.alloc(0),
      timeoutMs: requestTimeoutMs,
    };
    this.#requestCount += 1;
    this.router.serve(request, (reply) => {
      this.replies.push(reply);
      this.answered.push({ target, reply });
    });
  }

  /** Applies a purge of one object. */
  purge(seq: number, path: string): void {
    const top: Seq = toSeq(seq);
    const { host } = this.fleet.options;
    this.cache.purge([{ seq: top, aims: [{ by: 'object', host, path }] }], false, top);
    this.router.onPurged();
    this.nodeAgent = { ...this.nodeAgent, lastPurgeSeq: top };
  }

  /** Kinds of the replies; those of failures by error kind. */
  kinds(): readonly string[] {
    return this.replies.map((reply) => (reply.kind === 'failure' ? reply.errorKind : reply.kind));
  }

  /** Bodies of the replies with cached objects, and the kinds of the other replies. */
  bodies(): readonly string[] {
    return this.replies.map((reply) =>
      reply.kind === 'cached' ? reply.entry.body.toString() : reply.kind,
    );
  }
}
