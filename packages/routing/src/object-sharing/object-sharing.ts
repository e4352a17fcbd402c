/**
 * Sharing of cached objects between edges. If a service's rate limit is so low that an edge's quota share can't fill its
 * cache, each object has an owner in each zone, and one owner in the region: the edges of a zone request it from their
 * zone's owner, which requests it from the region's owner, which alone fetches it from an origin. If an owner refuses or
 * does not reply in time, the request is sent to an origin directly. This module manages pending queries and their
 * timeouts.
 */

import {
  type Address,
  type Generation,
  type Timestamp,
  type RouteName,
  type Seq,
  type DurationMs,
  toDurationMs,
  elapsedMs,
  subtractMs,
  addMs,
  clockOrigin,
} from '@switchwheel/types';
import type { HeaderFields, FrameOf } from '@switchwheel/transport';
import type { RandomSource } from '../random/random-source.js';
import { ObjectOwners } from './object-owners.js';

/** Timeout for the first reply of an owner; allows for client responses queued before it on the same link. */
const ownerReplyTimeoutMs = 400;
/** Timeout for the object once the owner has replied that it is fetching it. */
const ownerFetchTimeoutMs = 3000;
/** Time that an owner is skipped after it did not reply. */
const unresponsiveOwnerBackoffMs = 1000;
/** Maximum number of pending queries; further requests are sent to origins. */
const maxPendingQueries = 256;

/** Number of edges of the region that an object is requested from in turn. */
const maxRegionOwners = 2;

/** Maximum size of a shared object in bytes; it must fit one frame. */
export const maxSharedBytes = 4 * 1024 * 1024;

/** Sends requests to other edges. */
export interface PeerPort {
  readonly send: (to: Address, frame: FrameOf<'object-request'>) => void;
}

/** Reply to a request for an object. */
type ObjectReplyFrame = FrameOf<'object'> | FrameOf<'object-status'>;

/** Connection to one process of another edge; it ends with that process, whichever process has its address next. */
export interface PeerConnection {
  readonly address: Address;
  /** Returns false if the connection has ended. */
  readonly send: (frame: ObjectReplyFrame) => boolean;
}

/** Request for an object, with the members of the `object-request` frame. */
export interface ObjectQuery {
  /** Id of the client's request, which the owner sends to the origin. */
  readonly callerId: string;
  readonly generation: Generation;
  readonly route: RouteName;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  /** Remaining time of the request. */
  readonly left: DurationMs;
}

/** An object received from its owner. `createdAt` is by this edge's clock and never later than the object's fetch. */
export interface SharedObject {
  readonly createdAt: Timestamp;
  /** Latest purge that is known not to have removed the object. */
  readonly purged: Seq;
  readonly fields: HeaderFields;
  readonly body: Buffer;
}

/** An owner's reply: the object, a notice that it is being fetched, or a refusal. */
export type ObjectReply = SharedObject | 'fetching' | ObjectRefusal;

/** Refusal of an owner. */
export interface ObjectRefusal {
  /** Whether the request was certainly not sent to an origin. */
  readonly isUnsent: boolean;
  /** Time until the owner's share of the rate limit has a request again, if the refusal is due to it. */
  readonly retryAfterMs?: number;
}

/** Outcome of a query: the object, or otherwise why there is none. */
export type ObjectOutcome =
  | { readonly isFound: true; readonly object: SharedObject }
  | {
      readonly isFound: false;
      /** Whether the owner refused; otherwise it did not reply in time. */
      readonly isRefused: boolean;
      /** Whether the owner may have sent the request to an origin. */
      readonly mayHaveFetched: boolean;
      /** Time until the owner's share of the rate limit has a request again, if the refusal is due to it. */
      readonly retryAfterMs?: number;
    };

/** Callbacks of a query. */
export interface QueryHandlers {
  /** Called once. */
  readonly onOutcome: (outcome: ObjectOutcome) => void;
  /** Whether the request can go on without an owner that is late; otherwise its reply is waited for. */
  readonly canGoOn: () => boolean;
}

interface PendingQuery {
  readonly owner: Address;
  readonly requestedAt: Timestamp;
  readonly handlers: QueryHandlers;
  deadline: Timestamp;
  isFetching: boolean;
}

/** Range of each half of a first query id. */
const halfIdRange = 2 ** 26;

/**
 * Draws the first query id of a process from 2^52 numbers, so that it uses no id of an earlier process of this edge, to
 * which an owner may still reply.
 */
const drawFirstQueryId = (random: RandomSource): number => {
  const high = Math.floor(random.next() * halfIdRange);
  const low = Math.floor(random.next() * halfIdRange);
  return high * halfIdRange + low + 1;
};

/** Pending queries of one edge, and the ownership of objects. */
export class ObjectSharing {
  readonly #port: PeerPort;
  readonly #self: Address;
  readonly #pending = new Map<number, PendingQuery>();
  readonly #backoffUntil = new Map<Address, Timestamp>();
  /** Time of the last frame from each edge. */
  readonly #heardAt = new Map<Address, Timestamp>();
  #zoneOwners = new ObjectOwners([]);
  #regionOwners = new ObjectOwners([]);
  #zoneEdges: ReadonlySet<Address> = new Set();
  #peersKey = '';
  #nextQueryId: number;

  constructor(port: PeerPort, self: Address, random: RandomSource) {
    this.#port = port;
    this.#self = self;
    this.#nextQueryId = drawFirstQueryId(random);
  }

  /** Sets the edges of the zone and of the region, both including this one. */
  updatePeers(zoneEdges: readonly Address[], regionEdges: readonly Address[]): void {
    const key = [[...zoneEdges].sort().join(' '), [...regionEdges].sort().join(' ')].join('|');
    if (key === this.#peersKey) return;
    this.#peersKey = key;
    for (const edge of this.#heardAt.keys())
      if (!regionEdges.includes(edge)) this.#heardAt.delete(edge);
    this.#zoneEdges = new Set(zoneEdges);
    this.#zoneOwners = new ObjectOwners(zoneEdges);
    this.#regionOwners = new ObjectOwners(regionEdges);
  }

  /** Whether an edge is in this edge's zone. */
  isInZone(edge: Address): boolean {
    return this.#zoneEdges.has(edge);
  }

  /** Returns the other edge that owns an object in this zone; undefined if this edge owns it or no owner is available. */
  zoneOwnerOf(object: string, now: Timestamp): Address | undefined {
    if (this.#pending.size >= maxPendingQueries) return undefined;
    const owner = this.#zoneOwners.ownerOf(object, (address) => this.#isAvailable(address, now));
    return owner === this.#self ? undefined : owner;
  }

  /**
   * Returns the edges of other zones to request an object from, in this order: its owner in the region, then the next in
   * line, which may still have the object if the owner is new. Empty if this edge owns the object. Edges of this zone are
   * left out, so that no two edges with different views of the members forward a request to each other.
   */
  regionOwnersOf(object: string, now: Timestamp): readonly Address[] {
    if (this.#pending.size >= maxPendingQueries) return [];
    const owners = this.#regionOwners.ownersOf(object, maxRegionOwners, (address) =>
      this.#isAvailable(address, now),
    );
    const ownIndex = owners.indexOf(this.#self);
    const earlierOwners = ownIndex < 0 ? owners : owners.slice(0, ownIndex);
    return earlierOwners.filter((edge) => !this.isInZone(edge));
  }

  /** Sends a query to an owner. */
  request(owner: Address, query: ObjectQuery, now: Timestamp, handlers: QueryHandlers): void {
    const id = this.#nextQueryId;
    this.#nextQueryId += 1;
    this.#pending.set(id, {
      owner,
      requestedAt: now,
      handlers,
      deadline: addMs(now, ownerReplyTimeoutMs),
      isFetching: false,
    });
    this.#port.send(owner, { kind: 'object-request', id, ...query });
  }

  /**
   * Handles an owner's reply. Returns false for a reply to no pending query of this process: one that comes after its
   * timeout, is meant for an earlier process at this address, or is from another edge than the queried one.
   */
  handleReply(from: Address, frame: ObjectReplyFrame, now: Timestamp): boolean {
    const query = this.#pending.get(frame.id);
    if (query?.owner !== from) return false;
    if (frame.kind === 'object') {
      const { purged, fields } = frame;
      const createdAt = subtractMs(query.requestedAt, frame.age);
      const object = { createdAt, purged, fields, body: Buffer.from(frame.body) };
      this.#finish(frame.id, query, { isFound: true, object });
    } else if (frame.state === 'refused')
      this.#finish(frame.id, query, {
        isFound: false,
        isRefused: true,
        mayHaveFetched: query.isFetching && frame.unsent !== true,
        ...(frame.retryAfter === undefined ? {} : { retryAfterMs: frame.retryAfter }),
      });
    else {
      query.isFetching = true;
      query.deadline = addMs(now, ownerFetchTimeoutMs);
    }
    return true;
  }

  /** Records that a frame of another edge was received. */
  recordHeard(from: Address, now: Timestamp): void {
    this.#heardAt.set(from, now);
  }

  /** Ends the queries to an edge whose channel was closed; without an established channel none of them was sent. */
  handleDisconnect(edge: Address, wasEstablished: boolean, now: Timestamp): void {
    for (const [id, query] of this.#pending) {
      if (query.owner !== edge) continue;
      this.#backOff(edge, now);
      this.#finish(id, query, {
        isFound: false,
        isRefused: false,
        mayHaveFetched: wasEstablished,
      });
    }
  }

  /** Handles queries whose owner has not replied in time. */
  tick(now: Timestamp): void {
    for (const [address, until] of this.#backoffUntil)
      if (until <= now) this.#backoffUntil.delete(address);
    for (const [id, query] of this.#pending)
      if (now >= query.deadline) this.#onLate(id, query, now);
  }

  /** Skips an owner that was not heard of since the query, and ends the query if the request can go on without it. */
  #onLate(id: number, query: PendingQuery, now: Timestamp): void {
    const isHeard = (this.#heardAt.get(query.owner) ?? clockOrigin) >= query.requestedAt;
    if (!isHeard) this.#backOff(query.owner, now);
    const lastDeadline = addMs(query.requestedAt, ownerReplyTimeoutMs + ownerFetchTimeoutMs);
    if (now < lastDeadline && !query.handlers.canGoOn()) return;
    // Only the reply may have been lost, so the owner may have sent the request to an origin.
    this.#finish(id, query, { isFound: false, isRefused: false, mayHaveFetched: true });
  }

  #backOff(owner: Address, now: Timestamp): void {
    this.#backoffUntil.set(owner, addMs(now, unresponsiveOwnerBackoffMs));
  }

  #isAvailable(edge: Address, now: Timestamp): boolean {
    return edge === this.#self || (this.#backoffUntil.get(edge) ?? clockOrigin) <= now;
  }

  #finish(id: number, query: PendingQuery, outcome: ObjectOutcome): void {
    this.#pending.delete(id);
    query.handlers.onOutcome(outcome);
  }
}

/** Returns the frame of a reply to another edge's request for an object. */
export const replyFrame = (id: number, reply: ObjectReply, now: Timestamp): ObjectReplyFrame => {
  if (reply === 'fetching') return { kind: 'object-status', id, state: 'fetching' };
  if ('isUnsent' in reply) return refusalFrame(id, reply);
  const { createdAt, purged, fields, body } = reply;
  return { kind: 'object', id, age: elapsedMs(createdAt, now), purged, fields, body };
};

const refusalFrame = (
  id: number,
  { isUnsent, retryAfterMs }: ObjectRefusal,
): FrameOf<'object-status'> => {
  const refusal = { kind: 'object-status', id, state: 'refused', unsent: isUnsent } as const;
  if (retryAfterMs === undefined) return refusal;
  return { ...refusal, retryAfter: toDurationMs(Math.max(1, Math.ceil(retryAfterMs))) };
};
