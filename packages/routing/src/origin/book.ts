import {
  type ZoneName,
  type RandomState,
  type InstanceId,
  type Timestamp,
  type Release,
  type ServiceName,
  type Address,
  subtractMs,
  addMs,
  nextRandom,
  clockOrigin,
} from '@switchwheel/types';
import { type Origins, standing } from '@switchwheel/membership';

/** What this edge knows of one origin by its own requests. */
export interface Berth {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  address: Address;
  release: Release;
  area: ZoneName | undefined;
  slots: number;
  coldUntil: Timestamp;
  /** Requests of this edge that are there now. */
  busy: number;
  /** What an answer takes, in milliseconds; moving. */
  typicalMs: number;
  answers: number;
  faults: number;
  barredUntil: Timestamp;
}

/** How an origin is chosen. */
export interface Taste {
  readonly area: ZoneName;
  /** How much dearer an origin of another area counts. */
  readonly far: number;
  /** How strongly the quicker is preferred. */
  readonly sharp: number;
}

const firstMs = 100;
const weightOfNew = 0.15;
const shortBar = 400;
const longBar = 6000;

/** The origins of all services, as this edge sees them. A class with tables that change in place: each request changes them. */
export class Book {
  readonly #berths = new Map<InstanceId, Berth>();
  readonly #services = new Map<ServiceName, Berth[]>();
  #dice: RandomState;

  constructor(dice: RandomState) {
    this.#dice = dice;
  }

  get(instance: InstanceId): Berth | undefined {
    return this.#berths.get(instance);
  }

  of(service: ServiceName): readonly Berth[] {
    return this.#services.get(service) ?? [];
  }

  /** Takes over which origins stand; gives those that do not any more. */
  learn(origins: Origins, now: Timestamp): readonly InstanceId[] {
    const seen = new Set<InstanceId>();
    for (const one of origins.values()) {
      if (!standing(one, now)) continue;
      seen.add(one.instance);
      const coldUntil =
        one.coldMs === undefined || one.coldMs <= 0 ? clockOrigin : addMs(one.at, one.coldMs);
      const known = this.#berths.get(one.instance);
      if (known === undefined) {
        const nodeSession: Berth = {
          instance: one.instance,
          service: one.service,
          address: one.address,
          release: one.release,
          area: one.area,
          slots: one.slots,
          coldUntil,
          busy: 0,
          typicalMs: this.#usual(one.service),
          answers: 0,
          faults: 0,
          barredUntil: clockOrigin,
        };
        this.#berths.set(one.instance, nodeSession);
        this.#services.set(one.service, [...this.of(one.service), nodeSession]);
      } else {
        known.address = one.address;
        known.slots = one.slots;
        known.coldUntil = coldUntil;
      }
    }
    const gone = [...this.#berths.keys()].filter((one) => !seen.has(one));
    for (const instance of gone) this.#drop(instance);
    return gone;
  }

  /** Chooses an origin: of two drawn by their speed, the one with less to do. */
  pick(
    service: ServiceName,
    tried: ReadonlySet<InstanceId>,
    taste: Taste,
    room: number,
    fits: (one: Berth) => boolean,
    now: Timestamp,
  ): Berth | undefined {
    const all = this.of(service).filter((one) => one.busy < room && fits(one));
    const fresh = all.filter((one) => !tried.has(one.instance));
    const open = fresh.filter((one) => one.barredUntil <= now);
    // When all are barred, or tried, the one whose bar ends first is better than none.
    if (open.length === 0)
      return (fresh.length > 0 ? fresh : all).reduce<Berth | undefined>(
        (best, one) => (best === undefined || one.barredUntil < best.barredUntil ? one : best),
        undefined,
      );
    const costs = new Map(open.map((one) => [one, this.#cost(one, taste, now)]));
    const weights = open.map((one) => one.slots / (costs.get(one) ?? 1) ** taste.sharp);
    const [first, second] = [this.#draw(open, weights), this.#draw(open, weights)];
    const load = (one: Berth): number => ((one.busy + 1) / one.slots) * (costs.get(one) ?? 1);
    return first === undefined || second === undefined
      ? first
      : load(second) < load(first)
        ? second
        : first;
  }

  sent(one: Berth): void {
    one.busy += 1;
  }

  /** A leg ended; `ms` is given for a whole answer that ran. */
  ended(one: Berth, ms: number | undefined, good: boolean, now: Timestamp): void {
    one.busy = Math.max(0, one.busy - 1);
    if (ms !== undefined) {
      const part = Math.max(weightOfNew, 1 / (one.answers + 1));
      one.typicalMs += (ms - one.typicalMs) * part;
      one.answers += 1;
    }
    if (good) one.faults = 0;
    else this.#fault(one, now);
  }

  /** An origin that turned a request away has no room now. */
  full(one: Berth, now: Timestamp): void {
    one.busy = Math.max(0, one.busy - 1);
    one.barredUntil = addMs(now, 40);
  }

  /** The usual span of an answer of a service, or of one release of it. */
  typical(service: ServiceName, release?: Release): number {
    return this.#usual(service, release);
  }

  /** The releases that have an origin. */
  releases(service: ServiceName): ReadonlySet<Release> {
    return new Set(this.of(service).map((one) => one.release));
  }

  #fault(one: Berth, now: Timestamp): void {
    one.faults += 1;
    if (one.faults >= 2)
      one.barredUntil = addMs(now, Math.min(longBar, shortBar * 2 ** Math.min(6, one.faults - 2)));
  }

  #usual(service: ServiceName, release?: Release): number {
    const known = this.of(service)
      .filter((one) => one.answers > 2 && (release === undefined || one.release === release))
      .map((one) => one.typicalMs)
      .sort((one, two) => one - two);
    return known[Math.floor(known.length / 2)] ?? firstMs;
  }

  #cost(one: Berth, taste: Taste, now: Timestamp): number {
    const cold = one.coldUntil > subtractMs(now, 0) ? 2 : 1;
    const far = one.area === undefined || one.area === taste.area ? 1 : taste.far;
    return Math.max(1, one.typicalMs) * cold * far;
  }

  #draw(open: readonly Berth[], weights: readonly number[]): Berth | undefined {
    const [chance, dice] = nextRandom(this.#dice);
    this.#dice = dice;
    let left = chance * weights.reduce((sum, one) => sum + one, 0);
    for (const [at, one] of open.entries()) {
      left -= weights[at] ?? 0;
      if (left < 0) return one;
    }
    return open.at(-1);
  }

  #drop(instance: InstanceId): void {
    const one = this.#berths.get(instance);
    if (one === undefined) return;
    this.#berths.delete(instance);
    const rest = this.of(one.service).filter((other) => other !== one);
    if (rest.length > 0) this.#services.set(one.service, rest);
    else this.#services.delete(one.service);
  }
}
