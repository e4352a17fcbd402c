import {
  type RequestId,
  type Timestamp,
  type Seq,
  increment,
  toTimestamp,
  toDurationMs,
} from '@switchwheel/types';
import type { Fields } from '@switchwheel/transport';
import { type Entry, digestOf } from '../cache/cache.js';
import type { Desk, Slip } from '../cache/desk.js';
import { ageOf, handOn, ownFields } from '../cache/fields.js';
import { Flights } from '../cache/flights.js';
import type { ProxyEffect } from '../proxy/state.js';
import { Dock, type Inbound, type Outflow } from './dock.js';
import { type Cab, type LegPort, type LegRequest, type Measures, measures } from './port.js';
import { type LegResult, Taking } from './taking.js';

type KeeperWords = Extract<ProxyEffect, { keeper: string }>;
type LegWord = Extract<KeeperWords, { kind: 'leg' }>;

/** A request that a keeper has in hand. */
interface Hand {
  readonly one: Inbound;
  readonly slip: Slip | undefined;
  readonly purged: Seq;
  readonly finish: (entry: Entry | undefined) => void;
}

const backFields = (fields: Fields): Fields =>
  handOn(fields, ['content-length', 'switchwheel-instance', 'switchwheel-unrun']);
const nameOf = (effect: { readonly keeper: string; readonly leg: number }): string =>
  `${effect.keeper}/${effect.leg}`;

/** The life of requests at a shield: what it keeps of them while its keepers decide about them. */
export class ShieldLine {
  readonly dock: Dock;
  readonly #hands = new Map<RequestId, Hand>();
  readonly #takings = new Map<string, Taking>();
  readonly #results = new Map<string, { readonly result: LegResult; readonly since: Timestamp }>();
  readonly #flights: Flights<Entry | undefined>;
  readonly #legs: LegPort;
  readonly #desk: Desk;
  readonly #cab: Cab;
  readonly #measures: Measures;
  readonly #doubt: (instance: string, why: string) => void;
  readonly counts = new Map<string, number>();

  constructor(
    legs: LegPort,
    desk: Desk,
    cab: Cab,
    doubt: (instance: string, why: string) => void,
    sizes: Measures = measures,
  ) {
    this.#legs = legs;
    this.#desk = desk;
    this.#cab = cab;
    this.#doubt = doubt;
    this.#measures = sizes;
    this.#flights = new Flights(sizes.joiners);
    this.dock = new Dock(
      sizes,
      (one) => this.#asked(one),
      (id) => this.#quit(id),
    );
  }

  /** What a keeper decided. */
  run(effect: KeeperWords): void {
    switch (effect.kind) {
      case 'leg':
        this.#leg(effect);
        break;
      case 'cut':
        this.#takings.get(nameOf(effect))?.drop();
        break;
      case 'use':
        this.#use(nameOf(effect), effect.ask);
        break;
      case 'turnAway':
        this.#count(`away_${effect.errorKind}`);
        this.#drop(effect.ask);
        this.dock.reject(effect.ask, {
          errorKind: effect.errorKind,
          text: effect.text,
          retryAfter: effect.retryMs,
          moved: effect.moved,
        });
        break;
    }
  }

  /** After purges nobody joins what began before them. */
  purged(): void {
    this.#flights.close();
  }

  #count(name: string): void {
    increment(this.counts, name);
  }

  #drop(id: RequestId): void {
    const hand = this.#hands.get(id);
    this.#hands.delete(id);
    hand?.finish(undefined);
  }

  #asked(one: Inbound): void {
    this.#count('asked');
    const { ask } = one;
    const { cabin } = this.#cab.state();
    const slip = this.#desk.askSlip(cabin.table, ask);
    if (slip === undefined || !this.#desk.inStep(cabin, ask.purged, this.#cab.now())) {
      this.#admit(one, slip, () => undefined);
      return;
    }
    if (this.#fromCache(one, slip)) return;
    const seat = this.#flights.join(slip.flight, (found) => {
      if (this.dock.find(ask.id) !== one) return;
      if (found === undefined || !this.#fromCache(one, slip))
        this.#admit(one, slip, () => undefined);
    });
    if (seat === 'joined') this.#count('joined');
    else if (seat === 'full')
      this.dock.reject(ask.id, {
        errorKind: 'rejected',
        text: 'too many wait for results under way',
        retryAfter: 1000,
        moved: false,
      });
    else this.#admit(one, slip, this.#flights.lead(slip.flight));
  }

  #fromCache(one: Inbound, slip: Slip): boolean {
    const entry = this.#desk.find(slip, this.#cab.state().cabin, one.ask.purged, this.#cab.now());
    if (entry === undefined) return false;
    this.#count('from_cache');
    const { status, fields, body, digest } = entry;
    this.dock.tell(one.ask.id, {
      status,
      fields,
      body,
      digest,
      age: Math.max(0, one.came - entry.born),
      from: 'cache',
      purged: this.#desk.cache.top,
    });
    return true;
  }

  #admit(one: Inbound, slip: Slip | undefined, finish: (entry: Entry | undefined) => void): void {
    this.#hands.set(one.ask.id, { one, slip, purged: this.#desk.cache.top, finish });
    // What it waited for another's fetch is gone from its time.
    this.#cab.tell((at) => ({
      kind: 'asked',
      now: at,
      ask: { ...one.ask, left: toDurationMs(Math.max(0, one.ask.left - (at - one.came))) },
    }));
  }

  #quit(id: RequestId): void {
    this.#drop(id);
    this.#cab.tell((at) => ({ kind: 'quitAsk', now: at, id }));
  }

  #ended(effect: LegWord, since: Timestamp, came: LegResult): void {
    const name = nameOf(effect);
    const result: LegResult =
      came.whole !== undefined && this.#isStale(effect.ask, since)
        ? { how: { end: 'dropped' }, whole: undefined }
        : came;
    this.#count(`leg_${result.how.end}`);
    if (result.how.end === 'lost') this.#doubt(effect.instance, result.how.text);
    this.#takings.delete(name);
    this.#legs.drop(name);
    // A result in parts has gone out by then; one that is whole waits for the keeper's word.
    if (result.whole !== undefined) this.#results.set(name, { result, since });
    this.#cab.tell((at) => ({
      kind: 'legEnded',
      now: at,
      keeper: effect.keeper,
      leg: effect.leg,
      how: result.how,
      ms: at - since,
    }));
    this.#results.delete(name);
  }

  /** Nobody knows how long a result waited here while this process slept: what may be kept is not told any more. */
  #isStale(ask: RequestId, since: Timestamp): boolean {
    return this.#cab.state().woke > since && this.#hands.get(ask)?.slip !== undefined;
  }

  #leg(effect: LegWord): void {
    const hand = this.#hands.get(effect.ask);
    const since = this.#cab.now();
    if (hand === undefined) {
      this.#ended(effect, since, {
        how: { end: 'unopened', text: 'nobody waits for it' },
        whole: undefined,
      });
      return;
    }
    const { ask } = hand.one;
    const request: LegRequest = {
      address: effect.address,
      instance: effect.instance,
      service: ask.service,
      method: ask.method,
      target: ask.path,
      body: ask.body,
      fields: handOn(ask.fields, ownFields).concat([['host', ask.host]]),
      spanMs: Math.ceil(effect.spanMs),
      repeatable: ask.repeatable,
    };
    this.dock.begun(ask.id);
    let flow: Outflow | undefined;
    const sink = {
      begin: (status: number, fields: Fields, length: number | undefined): void => {
        if (this.#isStale(ask.id, since)) {
          taking.drop();
          return;
        }
        this.#cab.tell((at) => ({
          kind: 'streaming',
          now: at,
          keeper: effect.keeper,
          leg: effect.leg,
        }));
        flow = this.dock.stream(ask.id, status, backFields(fields), length, hand.purged);
        hand.finish(undefined);
      },
      part: (bytes: Buffer, more: () => void): boolean => flow?.part(bytes, more) ?? false,
    };
    const taking = new Taking(request, this.#measures.whole, sink, (result) => {
      flow?.end(result.how.end === 'good' || result.how.end === 'bad');
      this.#ended(effect, since, result);
    });
    this.#takings.set(nameOf(effect), taking);
    this.#legs.send(nameOf(effect), request, taking);
  }

  #use(name: string, id: RequestId): void {
    const hand = this.#hands.get(id);
    this.#hands.delete(id);
    const held = this.#results.get(name);
    const whole = held?.result.whole;
    if (hand === undefined || held === undefined || whole === undefined) {
      hand?.finish(undefined);
      return;
    }
    const { status, body } = whole;
    const fields = backFields(whole.fields);
    const digest = digestOf(body);
    const born = toTimestamp(held.since - ageOf(whole.fields));
    const entry =
      hand.slip === undefined
        ? undefined
        : this.#desk.keep(
            hand.slip,
            { status, fields, body, digest, born, purged: hand.purged },
            this.#cab.now(),
          );
    this.dock.tell(id, {
      status,
      fields,
      body,
      digest,
      age: Math.max(0, hand.one.came - born),
      from: 'origin',
      purged: hand.purged,
    });
    hand.finish(entry);
  }
}
