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
import type { Fields, FrameOf, ObjectFrame } from '@switchwheel/transport';
import { Owners } from './owner.js';

/** How long an owner may take to say anything: the answer to another caller may be on the same link before it. */
const answerLimit = 400;
/** How long an owner may take to fetch an object once it said that it does. */
const fetchLimit = 3000;
/** How long an owner that said nothing is not asked. */
const silentBar = 1000;
/** Requests to owners that are under way at the most. */
const maxOpen = 256;

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
  readonly fields: Fields;
  readonly left: DurationMs;
}

/** An object as its owner told it; `born` is no later than the object was made, by this edge's clock. */
export interface SharedObject {
  readonly born: Timestamp;
  readonly purged: Seq;
  readonly fields: Fields;
  readonly body: Buffer;
}

/** What asking an owner came to: its object, or none, and then whether an origin may have been asked for it. */
export type ObjectOutcome =
  | { readonly found: true; readonly object: SharedObject }
  | { readonly found: false; readonly mayHaveFetched: boolean };

interface OpenQuery {
  readonly owner: Address;
  readonly askedAt: Timestamp;
  readonly done: (outcome: ObjectOutcome) => void;
  until: Timestamp;
  fetching: boolean;
}

/** One edge's side of the sharing: whom it asks, and what it waits for. */
export class ObjectSharing {
  readonly #port: PeerPort;
  readonly #self: Address;
  readonly #open = new Map<number, OpenQuery>();
  readonly #barred = new Map<Address, Timestamp>();
  #owners = new Owners([]);
  #key = '';
  #last = 0;

  constructor(port: PeerPort, self: Address) {
    this.#port = port;
    this.#self = self;
  }

  /** Takes over the edges of the area, this one among them. */
  learn(addresses: readonly Address[]): void {
    const sorted = [...addresses].sort();
    const key = sorted.join(' ');
    if (key === this.#key) return;
    this.#key = key;
    this.#owners = new Owners(sorted);
  }

  /** The other edge that owns an object; undefined if this one does, or nobody can be asked. */
  ownerOf(object: string, now: Timestamp): Address | undefined {
    if (this.#open.size >= maxOpen) return undefined;
    const owner = this.#owners.ownerOf(
      object,
      (address) => address === this.#self || (this.#barred.get(address) ?? clockOrigin) <= now,
    );
    return owner === this.#self ? undefined : owner;
  }

  /** Asks an owner; `done` is called once. */
  ask(
    owner: Address,
    query: ObjectQuery,
    now: Timestamp,
    done: (outcome: ObjectOutcome) => void,
  ): void {
    this.#last += 1;
    this.#open.set(this.#last, {
      owner,
      askedAt: now,
      done,
      until: addMs(now, answerLimit),
      fetching: false,
    });
    this.#port.send(owner, { kind: 'object-request', id: this.#last, ...query });
  }

  /** Takes an owner's word. */
  hear(from: Address, frame: FrameOf<'object'> | FrameOf<'object-status'>, now: Timestamp): void {
    const query = this.#open.get(frame.id);
    if (query?.owner !== from) return;
    if (frame.kind === 'object') {
      const { purged, fields } = frame;
      const born = subtractMs(query.askedAt, frame.age);
      const object = { born, purged, fields, body: Buffer.from(frame.body) };
      this.#end(frame.id, query, { found: true, object });
    } else if (frame.state === 'refused')
      this.#end(frame.id, query, { found: false, mayHaveFetched: query.fetching });
    else {
      query.fetching = true;
      query.until = addMs(now, fetchLimit);
    }
  }

  /** Lets time pass: owners that are silent are done without. */
  tick(now: Timestamp): void {
    for (const [address, until] of this.#barred) if (until <= now) this.#barred.delete(address);
    for (const [id, query] of this.#open) {
      if (now < query.until) continue;
      if (!query.fetching) this.#barred.set(query.owner, addMs(now, silentBar));
      // Its word may have been lost, not the request.
      this.#end(id, query, { found: false, mayHaveFetched: true });
    }
  }

  /** Tells an edge what became of its request for an object. */
  tell(
    to: Address,
    id: number,
    object:
      | {
          readonly born: Timestamp;
          readonly purged: Seq;
          readonly fields: Fields;
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
    const { born, purged, fields, body } = object;
    this.#port.send(to, { kind: 'object', id, age: elapsedMs(born, now), purged, fields, body });
  }

  #end(id: number, query: OpenQuery, outcome: ObjectOutcome): void {
    this.#open.delete(id);
    query.done(outcome);
  }
}
