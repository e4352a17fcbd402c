import {
  type Address,
  type RequestId,
  type ErrorKind,
  type Timestamp,
  type Seq,
  noGeneration,
  noSeq,
  hashToFraction,
  increment,
  toRequestId,
  toTimestamp,
} from '@switchwheel/types';
import type { Ask, Fields, Frame, FrameOf } from '@switchwheel/transport';
import { type Track, match, pickService } from '@switchwheel/configuration';
import { type Desk, type Slip, bornAt, conditional, cutTarget } from '../cache/desk.js';
import { handOn, ownFields, tagsOf } from '../cache/fields.js';
import { Flights } from '../cache/flights.js';
import { mayServe, takes } from '../cabin/machine.js';
import { isOverdue, knowsAllRoutes } from '../cabin/newest.js';
import type { ProxyEffect } from '../proxy/state.js';
import { Links } from './links.js';
import {
  type Cab,
  type Call,
  type Caller,
  type Dial,
  type Measures,
  type Told,
  measures,
} from './port.js';
import { type Outcome, Trip } from './trip.js';

/** Within which span after its confirmation a description has to be in force on every node in touch. */
const applySpan = 2000;
/** When a caller is told to come back by an edge whose description is replaced. */
const overdueRetryMs = 200;

/** A request on its way through the filters of an edge. */
interface Pass {
  readonly call: Call;
  readonly track: Track;
  readonly caller: Caller;
  readonly until: Timestamp;
  readonly slip: Slip | undefined;
  /** Tells those who wait for this very fetch; nothing if it can't be shared. */
  readonly lead: ((outcome: Outcome) => void) | undefined;
  /** Its trip, once it has one. */
  readonly seat: { id: RequestId | undefined };
}
type Filter = (pass: Pass, next: (pass: Pass) => void) => void;

/** Runs a request through filters in their order; each answers it or passes it on. */
const chain = (filters: readonly Filter[], pass: Pass): void => {
  const [first, ...rest] = filters;
  first?.(pass, (on) => chain(rest, on));
};

const fault = (
  kind: ErrorKind,
  text: string,
  retryMs: number,
): Extract<Told, { kind: 'fault' }> => ({
  kind: 'fault',
  fault: kind,
  text,
  retryMs,
});

/** Adds whom the request came from to what earlier proxies said. */
const withCaller = (call: Call, fields: Fields): Fields => {
  const before = fields.filter(([name]) => name === 'x-forwarded-for').map(([, value]) => value);
  return [
    ...fields.filter(([name]) => name !== 'x-forwarded-for'),
    ['x-forwarded-for', [...before, call.remote].join(', ')],
  ];
};

/** What came back sooner than this is younger than any purge that must have been acted on by now. */
const sureSpan = 1800;
const overtaken = 'it was under way for so long that it may be purged or past its lifetime by now';

/** The life of callers' requests at an edge: filters first, then a trip to the keeper and back. */
export class EdgeLine {
  readonly #trips = new Map<RequestId, Trip>();
  readonly #flights: Flights<Outcome>;
  readonly #desk: Desk;
  readonly #cab: Cab;
  readonly #links: Links;
  readonly #name: string;
  readonly #measures: Measures;
  readonly #filters: readonly Filter[];
  #count = 0;
  readonly counts = new Map<string, number>();

  constructor(name: string, desk: Desk, dial: Dial, cab: Cab, sizes: Measures = measures) {
    this.#name = name;
    this.#desk = desk;
    this.#cab = cab;
    this.#measures = sizes;
    this.#flights = new Flights(sizes.joiners);
    this.#links = new Links(dial, {
      frame: (from, frame) => this.#hear(from, frame),
      lost: (keeper, unsent) => {
        for (const trip of [...this.#trips.values()])
          if (trip.keeper === keeper && trip.begun)
            this.#break(trip, 'the channel to the keeper ended');
        cab.tell((at) => ({ kind: 'lost', now: at, keeper, unsent }));
      },
    });
    this.#filters = [
      (pass, next) => this.#kept(pass, next),
      (pass, next) => this.#joined(pass, next),
      (pass) => this.#forwarded(pass),
    ];
  }

  get open(): number {
    return this.#trips.size;
  }

  purged(): void {
    this.#flights.close();
  }

  /** Finds the track of a request before its body is read, or says why there is none. */
  enter(
    method: string,
    host: string,
    target: string,
  ): { readonly track: Track } | { readonly told: Extract<Told, { kind: 'fault' }> } {
    const { cabin } = this.#cab.state();
    const refuse = (
      told: Extract<Told, { kind: 'fault' }>,
    ): { readonly told: Extract<Told, { kind: 'fault' }> } => {
      this.bump(`fault_${told.fault}`);
      return { told };
    };
    if (cabin.table === undefined || !takes(cabin, this.#cab.now()))
      return refuse(fault('unready', 'this node is not ready', 1000));
    if (isOverdue(cabin, this.#cab.now(), applySpan))
      return refuse(fault('unready', 'a newer description is on its way here', overdueRetryMs));
    const { path } = cutTarget(target);
    if (!path.startsWith('/')) return refuse(fault('malformed', 'a path starts with /', 0));
    const found = match(cabin.table, method, host, path);
    if (found.found === 'none')
      return refuse(
        knowsAllRoutes(cabin, this.#cab.now())
          ? fault('absent', 'no route', 0)
          : fault('unready', 'no route is known here yet', 300),
      );
    if (found.found === 'method')
      return refuse({ ...fault('absent', 'no route for this method', 0), allow: found.methods });
    return { track: found.track };
  }

  /** Takes a whole request on and tells its caller what it comes to; gives what to call when the caller leaves. */
  serve(track: Track, call: Call, caller: Caller): () => void {
    const seat: Pass['seat'] = { id: undefined };
    const slip = this.#desk.slip(track, call.method, call.host, call.target, call.fields);
    chain(this.#filters, {
      call,
      track,
      caller,
      slip,
      seat,
      lead: undefined,
      until: toTimestamp(this.#cab.now() + track.timeoutMs),
    });
    // Others may wait for what can be kept: it goes on without its caller.
    return () => {
      if (slip === undefined && seat.id !== undefined) this.#leave(seat.id, 'the caller left');
    };
  }

  /** Breaks off all that is still under way, so that every caller sees or hears of it. */
  breakAll(text: string): number {
    const many = this.#trips.size;
    for (const id of [...this.#trips.keys()]) this.#leave(id, text);
    return many;
  }

  bump(name: string): void {
    increment(this.counts, name);
  }

  #tell(pass: Pass, told: Told): void {
    this.bump(told.kind === 'fault' ? `fault_${told.fault}` : `from_${told.from}`);
    pass.caller.tell(told);
  }

  #serveKept(pass: Pass, slip: Slip, from: string): boolean {
    const at = this.#cab.now();
    const entry = this.#desk.find(slip, this.#cab.state().cabin, noSeq, at);
    if (entry !== undefined) this.#tell(pass, { kind: 'entry', entry, at, from });
    return entry !== undefined;
  }

  #kept(pass: Pass, next: (pass: Pass) => void): void {
    if (pass.slip === undefined || !this.#serveKept(pass, pass.slip, 'edge')) next(pass);
  }

  #joined(pass: Pass, next: (pass: Pass) => void): void {
    const { slip } = pass;
    if (slip === undefined) {
      next(pass);
      return;
    }
    const seat = this.#flights.join(slip.flight, (outcome) => {
      if (this.#serveKept(pass, slip, 'edge')) return;
      if (outcome.kind === 'fault') this.#tell(pass, outcome);
      else if (this.#cab.now() >= pass.until)
        this.#tell(pass, fault('rejected', 'what it waited for came too late', 1000));
      else next(pass);
    });
    if (seat === 'joined') this.bump('joined');
    else if (seat === 'full')
      this.#tell(pass, fault('rejected', 'too many wait for results under way', 1000));
    else next({ ...pass, lead: this.#flights.lead(slip.flight) });
  }

  #forwarded(pass: Pass): void {
    const { call, track, slip, lead } = pass;
    const storable = slip !== undefined;
    const { table } = this.#cab.state().cabin;
    this.#count += 1;
    const id = toRequestId(`${this.#name}.${this.#count}`);
    const sentAt = this.#cab.now();
    const purged = this.#desk.cache.top;
    pass.seat.id = id;
    const late = (arrived: Fields): boolean =>
      slip !== undefined && this.#isLate(slip, arrived, sentAt, purged);
    this.#trips.set(
      id,
      new Trip(
        id,
        call.body,
        pass.caller,
        this.#measures.whole + this.#measures.chunk,
        late,
        (outcome) => {
          this.#ended(pass, sentAt, outcome);
          lead?.(outcome);
        },
      ),
    );
    this.#cab.tell((at) => ({
      kind: 'take',
      now: at,
      wagon: {
        id,
        service: pickService(track, hashToFraction(id)),
        generation: table?.generation ?? noGeneration,
        route: track.name,
        group: track.group,
        method: call.method === 'HEAD' && storable ? 'GET' : call.method,
        host: call.host,
        path: call.target,
        fields: withCaller(
          call,
          handOn(call.fields, storable ? [...conditional, ...ownFields] : ownFields),
        ),
        repeatable: track.repeatable,
        storable,
        until: pass.until,
        purged,
      },
    }));
  }

  #ended(pass: Pass, sentAt: Timestamp, outcome: Outcome): void {
    switch (outcome.kind) {
      case 'fault':
        this.#tell(pass, outcome);
        break;
      case 'streamed':
        this.bump('from_stream');
        break;
      case 'whole': {
        const { status, fields, body, digest, age, purged, from } = outcome;
        if (pass.slip !== undefined) {
          this.#desk.keep(
            pass.slip,
            { status, fields, body, digest, born: bornAt(sentAt, age), purged },
            this.#cab.now(),
          );
          if (this.#serveKept(pass, pass.slip, from)) return;
        }
        this.#tell(pass, { kind: 'whole', status, fields, body, from });
        break;
      }
    }
  }

  /** Whether a result that may be kept is no longer sure to be good: a sleep, or a purge while it was long under way. */
  #isLate(slip: Slip, fields: Fields, sentAt: Timestamp, purged: Seq): boolean {
    const { cabin, woke } = this.#cab.state();
    const at = this.#cab.now();
    if (woke > sentAt) return true;
    return (
      at - sentAt > sureSpan &&
      (!mayServe(cabin, at) || this.#desk.cache.purgedSince(slip.key, tagsOf(fields), purged))
    );
  }

  #leave(id: RequestId, text: string): void {
    this.#cab.tell((at) => ({ kind: 'quit', now: at, id, text }));
  }

  /** What the forwarding side decided. */
  run(effect: Extract<ProxyEffect, { kind: 'ask' | 'cancel' | 'begin' | 'fail' }>): void {
    switch (effect.kind) {
      case 'ask': {
        const trip = this.#trips.get(effect.ask.id);
        if (trip === undefined) return;
        trip.keeper = effect.to;
        const ask: Ask = { ...effect.ask, body: trip.body };
        this.#links.ask(effect.to, ask);
        break;
      }
      case 'cancel':
        this.#links.tell(effect.to, { kind: 'quit', id: effect.id });
        break;
      case 'begin': {
        const trip = this.#trips.get(effect.id);
        if (trip?.begin(effect.frame) !== 'late') break;
        this.#links.tell(effect.to, { kind: 'quit', id: effect.id });
        this.#break(trip, overtaken);
        break;
      }
      case 'fail': {
        const trip = this.#trips.get(effect.id);
        this.#trips.delete(effect.id);
        trip?.fail(effect.errorKind, effect.text, effect.retryMs);
        break;
      }
    }
  }

  /** Hears a keeper; false for what no keeper says. */
  #hear(from: Address, frame: Frame): boolean {
    switch (frame.kind) {
      case 'result':
        this.#cab.tell((at) => ({ kind: 'result', now: at, from, frame }));
        return true;
      case 'begun':
        this.#cab.tell((at) => ({ kind: 'begun', now: at, from, id: frame.id }));
        return true;
      case 'reject': {
        // A result that had begun broke off: it is never ended as if it were whole.
        const trip = this.#coming(from, frame.id);
        if (trip !== undefined) this.#break(trip, frame.text);
        this.#cab.tell((at) => ({ kind: 'reject', now: at, from, frame }));
        return true;
      }
      case 'chunk':
        this.#chunk(from, frame);
        return true;
      case 'done':
        this.#done(from, frame);
        return true;
      default:
        return false;
    }
  }

  /** The trip whose result a keeper sends, if that is the keeper that was asked. */
  #coming(from: Address, id: RequestId): Trip | undefined {
    const trip = this.#trips.get(id);
    return trip?.begun === true && trip.keeper === from ? trip : undefined;
  }

  #chunk(from: Address, frame: FrameOf<'chunk'>): void {
    const trip = this.#coming(from, frame.id);
    if (trip === undefined) return;
    const bytes = Buffer.from(frame.bytes);
    const turn = trip.add(bytes, () =>
      this.#links.tell(from, { kind: 'credit', id: frame.id, bytes: bytes.length }),
    );
    if (turn === 'broken') this.#break(trip, 'more bytes than told');
  }

  #done(from: Address, frame: FrameOf<'done'>): void {
    const trip = this.#coming(from, frame.id);
    if (trip === undefined) return;
    this.#over(trip);
    const turn = trip.finish(frame);
    if (turn === 'broken') this.#broken(trip, 'the digest between edge and keeper does not fit');
    else if (turn === 'late') trip.fail('lost', overtaken, 250);
  }

  /** Nothing more comes for a trip. */
  #over(trip: Trip): void {
    this.#trips.delete(trip.id);
    this.#cab.tell((at) => ({ kind: 'done', now: at, id: trip.id }));
  }

  #broken(trip: Trip, text: string): void {
    this.bump('broke_off');
    trip.fail('lost', text, 0);
  }

  #break(trip: Trip, text: string): void {
    this.#over(trip);
    this.#broken(trip, text);
  }
}
