/**
 * Sharing of cached objects among the edges of a zone. Where a service's rate limit is so low that each edge's quota
 * share can't fill a cache, one edge owns each object: the others request it there, and the owner alone fetches from an
 * origin. If the owner does not reply in time, or refuses, the request goes to an origin after all. This module keeps
 * the pending queries and their time-outs; who may be served, and what is cached, is the router's.
 */

import {
  type Address,
  type Generation,
  type Timestamp,
  type RouteName,
  type Seq,
  type DurationMs,
  elapsedMs,
  subtractMs,
  addMs,
  clockOrigin,
} from '@switchwheel/types';
import type { HeaderFields, FrameOf, ObjectFrame } from '@switchwheel/transport';
import { ObjectOwners } from './object-owners.js';

/** How long an owner may take to reply at all: a response to a client may be on the same link before its reply. */
const ownerReplyTimeoutMs = 400;
/** How long an owner may take to fetch an object once it has replied that it does. */
const ownerFetchTimeoutMs = 3000;
/** How long an owner that did not reply is passed over. */
const unresponsiveOwnerBackoffMs = 1000;
/** The largest number of pending queries; beyond it requests go to origins. */
const maxPendingQueries = 256;

/** The largest object that is shared, in bytes: it has to fit one frame. */
export const maxSharedBytes = 4 * 1024 * 1024;

/** Sends frames to other edges. */
export interface PeerPort {
  readonly send: (to: Address, frame: ObjectFrame) => void;
}

/** What an owner is asked for; the members are those of the `object-request` frame. */
export interface ObjectQuery {
  /** The id of the caller's request, by which the owner fetches. */
  readonly callerId: string;
  readonly generation: Generation;
  readonly route: RouteName;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  /** How much time the request has left. */
  readonly left: DurationMs;
}

/** An object as its owner sent it; `createdAt` is no later than the object was fetched, by this edge's clock. */
export interface SharedObject {
  readonly createdAt: Timestamp;
  /** The last purge that the object is known to have survived. */
  readonly purged: Seq;
  readonly fields: HeaderFields;
  readonly body: Buffer;
}

/** An owner's reply: the object, that it is being fetched, or a refusal. */
export type ObjectReply = SharedObject | 'fetching' | 'refused';

/** The outcome of a query: the object, or none, and then whether the owner may have sent the request to an origin. */
export type ObjectOutcome =
  | { readonly isFound: true; readonly object: SharedObject }
  | { readonly isFound: false; readonly mayHaveFetched: boolean };

interface PendingQuery {
  readonly owner: Address;
  readonly requestedAt: Timestamp;
  readonly onOutcome: (outcome: ObjectOutcome) => void;
  deadline: Timestamp;
  isFetching: boolean;
}

/** The pending queries of one edge, and the owners that it may ask. */
export class ObjectSharing {
  readonly #port: PeerPort;
  readonly #self: Address;
  readonly #pending = new Map<number, PendingQuery>();
  readonly #backoffUntil = new Map<Address, Timestamp>();
  #owners = new ObjectOwners([]);
  #peersKey = '';
  #lastQueryId = 0;

  constructor(port: PeerPort, self: Address) {
    this.#port = port;
    this.#self = self;
  }

  /** Adopts the edges of the zone, this one among them. */
  updatePeers(addresses: readonly Address[]): void {
    const sorted = [...addresses].sort();
    const key = sorted.join(' ');
    if (key === this.#peersKey) return;
    this.#peersKey = key;
    this.#owners = new ObjectOwners(sorted);
  }

  /** The other edge that owns an object; undefined if this one does, or none can be asked now. */
  ownerOf(object: string, now: Timestamp): Address | undefined {
    if (this.#pending.size >= maxPendingQueries) return undefined;
    const owner = this.#owners.ownerOf(
      object,
      (address) =>
        address === this.#self || (this.#backoffUntil.get(address) ?? clockOrigin) <= now,
    );
    return owner === this.#self ? undefined : owner;
  }

  /** Asks an owner; `onOutcome` is called once. */
  request(
    owner: Address,
    query: ObjectQuery,
    now: Timestamp,
    onOutcome: (outcome: ObjectOutcome) => void,
  ): void {
    this.#lastQueryId += 1;
    this.#pending.set(this.#lastQueryId, {
      owner,
      requestedAt: now,
      onOutcome,
      deadline: addMs(now, ownerReplyTimeoutMs),
      isFetching: false,
    });
    this.#port.send(owner, { kind: 'object-request', id: this.#lastQueryId, ...query });
  }

  /** Handles an owner's reply; one of another edge than was asked is ignored. */
  handleReply(
    from: Address,
    frame: FrameOf<'object'> | FrameOf<'object-status'>,
    now: Timestamp,
  ): void {
    const query = this.#pending.get(frame.id);
    if (query?.owner !== from) return;
    if (frame.kind === 'object') {
      const { purged, fields } = frame;
      const createdAt = subtractMs(query.requestedAt, frame.age);
      const object = { createdAt, purged, fields, body: Buffer.from(frame.body) };
      this.#finish(frame.id, query, { isFound: true, object });
    } else if (frame.state === 'refused')
      this.#finish(frame.id, query, { isFound: false, mayHaveFetched: query.isFetching });
    else {
      query.isFetching = true;
      query.deadline = addMs(now, ownerFetchTimeoutMs);
    }
  }

  /** Ends queries whose owner has not replied in time. */
  tick(now: Timestamp): void {
    for (const [address, until] of this.#backoffUntil)
      if (until <= now) this.#backoffUntil.delete(address);
    for (const [id, query] of this.#pending) {
      if (now < query.deadline) continue;
      if (!query.isFetching)
        this.#backoffUntil.set(query.owner, addMs(now, unresponsiveOwnerBackoffMs));
      // The reply may have been lost, not the request.
      this.#finish(id, query, { isFound: false, mayHaveFetched: true });
    }
  }

  /** Replies to another edge's request for an object. */
  reply(to: Address, id: number, reply: ObjectReply, now: Timestamp): void {
    if (reply === 'fetching' || reply === 'refused') {
      this.#port.send(to, { kind: 'object-status', id, state: reply });
      return;
    }
    const { createdAt, purged, fields, body } = reply;
    const age = elapsedMs(createdAt, now);
    this.#port.send(to, { kind: 'object', id, age, purged, fields, body });
  }

  #finish(id: number, query: PendingQuery, outcome: ObjectOutcome): void {
    this.#pending.delete(id);
    query.onOutcome(outcome);
  }
}
