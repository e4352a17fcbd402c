/**
 * Sharing of kept objects among the edges of an area. Where a service may be asked so seldom that each edge's part of
 * its rate can't fill a cache, one edge owns each object: the others ask it, and it alone fetches from an origin.
 * An owner that does not answer at once, or refuses, is done without: the request goes its ordinary way.
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

/** How long an owner may take to say anything: the answer to another caller may be on the same link before it. */
const ownerReplyTimeoutMs = 400;
/** How long an owner may take to fetch an object once it said that it does. */
const ownerFetchTimeoutMs = 3000;
/** How long an owner that said nothing is not asked. */
const silentOwnerBackoffMs = 1000;
/** Requests to owners that are under way at the most. */
const maxPendingQueries = 256;

/** The largest object that is shared: it has to fit one frame. */
export const maxSharedBytes = 4 * 1024 * 1024;

/** Sends frames to other edges. */
export interface PeerPort {
  readonly send: (to: Address, frame: ObjectFrame) => void;
}

/** What an owner is asked for. */
export interface ObjectQuery {
  /** The id of the caller's request, by which the owner fetches. */
  readonly callerId: string;
  readonly generation: Generation;
  readonly route: RouteName;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly left: DurationMs;
}

/** An object as its owner told it; `createdAt` is no later than the object was made, by this edge's clock. */
export interface SharedObject {
  readonly createdAt: Timestamp;
  readonly purged: Seq;
  readonly fields: HeaderFields;
  readonly body: Buffer;
}

/** What asking an owner came to: its object, or none, and then whether an origin may have been asked for it. */
export type ObjectOutcome =
  | { readonly isFound: true; readonly object: SharedObject }
  | { readonly isFound: false; readonly mayHaveFetched: boolean };

interface PendingQuery {
  readonly owner: Address;
  readonly askedAt: Timestamp;
  readonly onOutcome: (outcome: ObjectOutcome) => void;
  deadline: Timestamp;
  isFetching: boolean;
}

/** One edge's side of the sharing: whom it asks, and what it waits for. */
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

  /** Takes over the edges of the area, this one among them. */
  updatePeers(addresses: readonly Address[]): void {
    const sorted = [...addresses].sort();
    const key = sorted.join(' ');
    if (key === this.#peersKey) return;
    this.#peersKey = key;
    this.#owners = new ObjectOwners(sorted);
  }

  /** The other edge that owns an object; undefined if this one does, or nobody can be asked. */
  ownerOf(object: string, now: Timestamp): Address | undefined {
    if (this.#pending.size >= maxPendingQueries) return undefined;
    const owner = this.#owners.ownerOf(
      object,
      (address) =>
        address === this.#self || (this.#backoffUntil.get(address) ?? clockOrigin) <= now,
    );
    return owner === this.#self ? undefined : owner;
  }

  /** Asks an owner; `done` is called once. */
  request(
    owner: Address,
    query: ObjectQuery,
    now: Timestamp,
    done: (outcome: ObjectOutcome) => void,
  ): void {
    this.#lastQueryId += 1;
    this.#pending.set(this.#lastQueryId, {
      owner,
      askedAt: now,
      onOutcome: done,
      deadline: addMs(now, ownerReplyTimeoutMs),
      isFetching: false,
    });
    this.#port.send(owner, { kind: 'object-request', id: this.#lastQueryId, ...query });
  }

  /** Takes an owner's word. */
  handleReply(
    from: Address,
    frame: FrameOf<'object'> | FrameOf<'object-status'>,
    now: Timestamp,
  ): void {
    const query = this.#pending.get(frame.id);
    if (query?.owner !== from) return;
    if (frame.kind === 'object') {
      const { purged, fields } = frame;
      const createdAt = subtractMs(query.askedAt, frame.age);
      const object = { createdAt, purged, fields, body: Buffer.from(frame.body) };
      this.#finish(frame.id, query, { isFound: true, object });
    } else if (frame.state === 'refused')
      this.#finish(frame.id, query, { isFound: false, mayHaveFetched: query.isFetching });
    else {
      query.isFetching = true;
      query.deadline = addMs(now, ownerFetchTimeoutMs);
    }
  }

  /** Lets time pass: owners that are silent are done without. */
  tick(now: Timestamp): void {
    for (const [address, until] of this.#backoffUntil)
      if (until <= now) this.#backoffUntil.delete(address);
    for (const [id, query] of this.#pending) {
      if (now < query.deadline) continue;
      if (!query.isFetching) this.#backoffUntil.set(query.owner, addMs(now, silentOwnerBackoffMs));
      // Its word may have been lost, not the request.
      this.#finish(id, query, { isFound: false, mayHaveFetched: true });
    }
  }

  /** Tells an edge what became of its request for an object. */
  reply(
    to: Address,
    id: number,
    object:
      | {
          readonly createdAt: Timestamp;
          readonly purged: Seq;
          readonly fields: HeaderFields;
          readonly body: Buffer;
        }
      | 'fetching'
      | 'refused',
    now: Timestamp,
  ): void {
    if (object === 'fetching' || object === 'refused') {
      this.#port.send(to, { kind: 'object-status', id, state: object });
      return;
    }
    const { createdAt, purged, fields, body } = object;
    this.#port.send(to, {
      kind: 'object',
      id,
      age: elapsedMs(createdAt, now),
      purged,
      fields,
      body,
    });
  }

  #finish(id: number, query: PendingQuery, outcome: ObjectOutcome): void {
    this.#pending.delete(id);
    query.onOutcome(outcome);
  }
}
