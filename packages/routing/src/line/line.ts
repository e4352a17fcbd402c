import {
  type Address,
  type ZoneName,
  type RandomState,
  type InstanceId,
  type ErrorKind,
  type Timestamp,
  type Release,
  type Seq,
  type ServiceName,
  elapsedMs,
  addMs,
  nextRandom,
  increment,
} from '@switchwheel/types';
import type { Fields, FrameOf, ObjectFrame } from '@switchwheel/transport';
import { type Track, chooseRelease, match, pickService } from '@switchwheel/configuration';
import { isConnected } from '@switchwheel/membership';
import {
  type Cabin,
  type Cache,
  Desk,
  type Entry,
  type Slip,
  conditional,
  cutTarget,
  fieldOf,
  handOn,
  isOverdue,
  knowsAllRoutes,
} from '@switchwheel/proxy-core';
import { Book, type Taste } from '../origin/book.js';
import {
  type Told,
  type Trip,
  type TripEffect,
  type TripEvent,
  newTrip,
  tripStep,
} from '../trip/trip.js';
import {
  type Bounds,
  type Cab,
  type Call,
  type LegPort,
  type Tell,
  type Word,
  type Words,
} from './port.js';
import {
  type ObjectOutcome,
  type ObjectQuery,
  ObjectSharing,
  type PeerPort,
  type SharedObject,
  maxSharedBytes,
} from '../sharing/sharing.js';
import { Uploads } from '../sharing/uploads.js';
import { Edges, Quota } from './quota.js';
import { type Outcome, Tallies } from '../release/tally.js';

/** How an edge chooses and how much it takes on. */
export interface Manner {
  readonly area: ZoneName;
  readonly words: Words;
  readonly bounds: Bounds;
  /** Requests under way at the most; more are told to come back. */
  readonly most: number;
  /** The way to other edges, where objects are shared with them. */
  readonly peers?: PeerPort;
  /** The rate of this machine's link, where it is known. */
  readonly linkBytesPerSecond?: number;
}

/** A request that waits for another one's fetch of the same object. */
interface Waiter {
  readonly call: Call;
  readonly tell: Tell;
  readonly until: Timestamp;
  /** Whether another edge asks. */
  readonly forPeer: boolean;
  /** Set once it has been told, or its caller has left. */
  gone: boolean;
  /** What to call when the caller leaves after the request was sent on by itself. */
  leave: (() => void) | undefined;
}

/** A fetch that later requests for the same object may join. */
interface Flight {
  readonly since: Timestamp;
  readonly epoch: number;
  readonly waiters: Waiter[];
}

interface Run {
  readonly number: number;
  readonly call: Call;
  readonly track: Track;
  readonly service: ServiceName;
  readonly slip: Slip | undefined;
  /** Those who wait for this very fetch: a newer one of the same object has a list of its own. */
  readonly flight: Flight | undefined;
  readonly tell: Tell;
  readonly taste: Taste;
  readonly cuts: Map<
    number,
    {
      readonly cut: () => void;
      readonly instance: InstanceId;
      readonly release: Release;
      readonly since: Timestamp;
    }
  >;
  /** When each leg was sent, and the last purge that was acted on by then. */
  readonly births: Map<number, { readonly since: Timestamp; readonly purged: Seq }>;
  trip: Trip;
  lateAt: Timestamp | undefined;
  left: boolean;
}

/** How a request is taken on. */
interface Serving {
  /** When its time is over, for one that waited for another one's fetch in vain. */
  readonly latest?: Timestamp;
  /** Whether another edge asks: its own callers count there, and nobody else is asked for it. */
  readonly forPeer: boolean;
}

type ObjectAnswer = Parameters<ObjectSharing['tell']>[2];

const isShareable = ({ status, body }: Entry): boolean =>
  status === 200 && body.length <= maxSharedBytes;

/** Fields of a request on which a kept object may depend, besides those that its route names. */
const commonVary: ReadonlySet<string> = new Set(['accept', 'accept-encoding', 'accept-language']);
const isVaryField = (name: string, track: Track): boolean =>
  commonVary.has(name) || track.cache?.vary.includes(name) === true;

const tagsIn = (fields: Fields, name: string): readonly string[] =>
  (fieldOf(fields, name) ?? '').split(/[\s,]+/).filter((one) => one !== '');

const fault = (kind: ErrorKind, text: string, retryMs: number): Word => ({
  kind: 'fault',
  fault: kind,
  text,
  retryMs,
});
/** How young a fetch must be for others to wait for it: what it brings is no older. */
const joinSpan = 1000;
/** What is left to the caller when this edge gives up. */
const marginMs = 15;
const shortWait = 120;
/** When a caller is told to come back whose object its owner could not fetch. */
const ownerRetryMs = 250;
/** When a caller is told to come back by an edge whose description is replaced. */
const overdueRetryMs = 200;
/** When a caller is told to come back by an edge that stops; another one answers it. */
const stoppedRetryMs = 100;
/** How old the word of the primary may be for a trial to go on. */
const freshSpan = 1500;

/** When this edge gives a request up: a little before its caller does, or the route's timeout. */
const deadlineOf = (call: Call, track: Track, now: Timestamp): Timestamp => {
  const spanMs = Math.min(track.timeoutMs, call.spanMs ?? track.timeoutMs);
  return addMs(now, Math.max(1, spanMs - marginMs));
};

/**
 * The way of a request at an edge that sends straight to origins: kept, joined, or sent. What may run, wait or be told
 * is decided by `tripStep`; the class only holds bodies, origins and quotas, which change with each request.
 */
export class DirectLine {
  readonly counts = new Map<string, number>();
  readonly book: Book;
  readonly #cab: Cab;
  readonly #desk: Desk;
  readonly #legs: LegPort;
  readonly #manner: Manner;
  readonly #edges = new Edges();
  readonly #quota: Quota;
  readonly #runs = new Map<number, Run>();
  readonly #flights = new Map<string, Flight>();
  readonly #tallies = new Tallies();
  readonly #sharing: ObjectSharing | undefined;
  readonly #uploads: Uploads;
  #dice: RandomState;
  #epoch = 0;
  #last = 0;
  #stopped = false;

  constructor(cab: Cab, cache: Cache, legs: LegPort, manner: Manner, dice: RandomState) {
    this.#cab = cab;
    this.#desk = new Desk(cache);
    this.#legs = legs;
    this.#manner = manner;
    this.#quota = new Quota(manner.bounds, this.#edges);
    this.#uploads = new Uploads(manner.linkBytesPerSecond ?? Infinity);
    const self = cab.cabin().nodeSession.member.address;
    this.#sharing = manner.peers === undefined ? undefined : new ObjectSharing(manner.peers, self);
    this.book = new Book(dice);
    this.#dice = dice;
  }

  /** Requests that are under way. */
  get open(): number {
    return this.#runs.size;
  }

  bump(name: string): void {
    increment(this.counts, name);
  }

  /** Purges came: nobody waits any more for fetches that began before. */
  purged(): void {
    this.#epoch += 1;
  }

  /** Takes over what the fleet looks like. */
  learn(cabin: Cabin): void {
    const now = this.#cab.now();
    const edges = cabin.nodeSession.members.filter((one) => one.role === 'edge');
    this.#edges.note(edges.length, now);
    this.#sharing?.learn(
      edges.filter((one) => one.area === this.#manner.area).map((one) => one.address),
    );
    this.#tallies.note(cabin.releases.values(), now);
    for (const instance of this.book.learn(cabin.nodeSession.origins, now))
      this.#legs.forget(instance);
  }

  /** Takes a whole request on; gives what to call when the caller leaves. */
  serve(call: Call, tell: Tell): () => void {
    return this.#serve(call, tell, { forPeer: false });
  }

  /** Takes a frame of another edge on. */
  hearPeer(from: Address, frame: ObjectFrame): void {
    const now = this.#cab.now();
    if (frame.kind === 'object-request') this.#serveObject(from, frame);
    else this.#sharing?.hear(from, frame, now);
  }

  /** Lets time pass: what is late may get another origin, what is over is told. */
  tick(now: Timestamp): void {
    this.#sharing?.tick(now);
    for (const run of [...this.#runs.values()]) {
      this.#expireWaiters(run.flight, now);
      if (now >= run.trip.until) this.#event(run, { kind: 'expired', now });
      else if (run.lateAt !== undefined && now >= run.lateAt) {
        run.lateAt = undefined;
        this.#event(run, { kind: 'late', now });
      }
    }
  }

  /** What this edge counts for orders that stand, for the primary. */
  tell(cabin: Cabin): readonly FrameOf<'tally'>[] {
    const { node, incarnation } = cabin.nodeSession.member;
    return [...cabin.releases.values()].flatMap((one) => {
      if (
        one.phase === 'none' ||
        (one.phase !== 'trial' && one.phase !== 'moving' && one.leftMs <= 0)
      )
        return [];
      const word = this.#tallies.tell(one, this.#cab.now());
      return word === undefined ? [] : [{ kind: 'tally' as const, node, incarnation, ...word }];
    });
  }

  /** Breaks off all that is under way, and takes nothing on any more. */
  breakAll(): number {
    this.#stopped = true;
    const many = this.#runs.size;
    const now = this.#cab.now();
    for (const run of [...this.#runs.values()]) this.#event(run, { kind: 'expired', now });
    return many;
  }

  /** Answers another edge with an object that this one owns: kept, or fetched if this edge's part allows it. */
  #serveObject(to: Address, asked: FrameOf<'object-request'>): void {
    const answer = (word: ObjectAnswer): void =>
      this.#sharing?.tell(to, asked.id, word, this.#cab.now());
    const table = this.#cab.cabin().table;
    const isShared = table?.tracks.get(asked.route)?.cache !== undefined;
    const now = this.#cab.now();
    if (!isShared || table.generation !== asked.generation || !this.#uploads.reserve(now)) {
      answer('refused');
      return;
    }
    this.bump('peer_asked');
    const progress = { told: false };
    const call: Call = {
      id: asked.callerId,
      method: 'GET',
      host: asked.host,
      target: asked.target,
      fields: [...asked.fields, [this.#manner.words.id, asked.callerId]],
      body: Buffer.alloc(0),
      spanMs: asked.left,
    };
    const tell: Tell = (word) => {
      progress.told = true;
      const isObject = word.kind === 'kept' && isShareable(word.entry);
      this.#uploads.settle(isObject ? word.entry.body.length : 0);
      answer(isObject ? { ...word.entry, purged: word.purged } : 'refused');
    };
    this.#serve(call, tell, { forPeer: true });
    if (!progress.told) answer('fetching');
  }

  /** Takes a request on: a caller's, one that waited for a fetch in vain, or one of another edge. */
  #serve(call: Call, tell: Tell, { latest, forPeer }: Serving): () => void {
    const now = this.#cab.now();
    const cabin = this.#cab.cabin();
    const end = (word: Word): (() => void) => {
      this.#say(tell, word);
      return () => undefined;
    };
    if (this.#stopped) return end(fault('rejected', 'this node is stopping', stoppedRetryMs));
    if (cabin.table === undefined) return end(fault('unready', 'this node is not ready', 300));
    if (isOverdue(cabin, now, this.#manner.bounds.applyMs))
      return end(fault('unready', 'a newer description is on its way here', overdueRetryMs));
    const { path } = cutTarget(call.target);
    const found = match(cabin.table, call.method, call.host, path);
    if (found.found !== 'track')
      return end(
        knowsAllRoutes(cabin, now)
          ? fault('absent', 'no route', 0)
          : fault('unready', 'no route is known here yet', 300),
      );
    const track = found.track;
    const service = pickService(track, this.#roll());
    if (latest === undefined && !forPeer) this.#quota.asked(service, now);
    const until = latest ?? deadlineOf(call, track, now);
    const slip = this.#desk.slip(track, call.method, call.host, call.target, call.fields);
    const kept = slip === undefined ? undefined : this.#kept(slip, cabin, now);
    if (kept !== undefined) {
      this.bump('kept');
      return end({ kind: 'kept', entry: kept, purged: cabin.purged });
    }
    // The answer to a HEAD request has no body: it can be neither kept nor shared as the object.
    const fetched = call.method === 'GET' ? slip : undefined;
    const flight = this.#flightFor(fetched, now);
    if (flight !== undefined) return this.#join(flight, { call, tell, until, forPeer });
    if (this.#runs.size >= this.#manner.most)
      return end(fault('rejected', 'too many requests are under way', 300));
    return this.#start({ call, track, service, slip: fetched, tell, until, forPeer }, now);
  }

  /** The fetch that a request may wait for, if there is one that is young enough and no purge came since. */
  #flightFor(slip: Slip | undefined, now: Timestamp): Flight | undefined {
    const flight = slip === undefined ? undefined : this.#flights.get(slip.flight);
    if (flight === undefined || flight.epoch !== this.#epoch) return undefined;
    const oldest = Math.min(joinSpan, this.#manner.bounds.keptMs / 2);
    return elapsedMs(flight.since, now) < oldest ? flight : undefined;
  }

  #join(flight: Flight, one: Pick<Waiter, 'call' | 'tell' | 'until' | 'forPeer'>): () => void {
    const waiter: Waiter = { ...one, gone: false, leave: undefined };
    flight.waiters.push(waiter);
    this.bump('joined');
    return () => {
      waiter.gone = true;
      waiter.leave?.();
    };
  }

  #expireWaiters(flight: Flight | undefined, now: Timestamp): void {
    for (const waiter of flight?.waiters ?? []) {
      if (waiter.gone || now < waiter.until) continue;
      waiter.gone = true;
      this.#say(waiter.tell, fault('slow', 'no origin answered in time', 0));
    }
  }

  #start(
    one: Pick<Run, 'call' | 'track' | 'service' | 'slip' | 'tell'> & {
      readonly until: Timestamp;
      readonly forPeer: boolean;
    },
    now: Timestamp,
  ): () => void {
    const { track, call } = one;
    this.#last += 1;
    const allowed = track.origins ?? (track.repeatable ? 3 : 2);
    // An owner tries once: what further tries there may be are the asking edge's.
    const most = one.forPeer ? 1 : allowed;
    const flight: Flight | undefined =
      one.slip === undefined ? undefined : { since: now, epoch: this.#epoch, waiters: [] };
    const run: Run = {
      number: this.#last,
      call,
      track,
      service: one.service,
      slip: one.slip,
      flight,
      tell: one.tell,
      taste: { area: this.#manner.area, far: 1.3, sharp: 3 },
      cuts: new Map(),
      births: new Map(),
      trip: newTrip(track.repeatable, most, one.until),
      lateAt: undefined,
      left: false,
    };
    this.#runs.set(run.number, run);
    if (one.slip !== undefined && flight !== undefined) this.#flights.set(one.slip.flight, flight);
    if (one.forPeer || !this.#askOwner(run, now)) this.#begin(run, now);
    return () => {
      run.left = true;
      // Others may wait for what can be kept: it goes on without its caller.
      if (run.slip === undefined) this.#event(run, { kind: 'left', now: this.#cab.now() });
    };
  }

  /** Sends a request to an origin for the first time. */
  #begin(run: Run, now: Timestamp): void {
    run.lateAt = addMs(now, this.#lateSpan(run.service, run.track));
    this.#event(run, { kind: 'start', now });
  }

  /** Asks the edge that owns the object, where this edge's own part of the rate is too small to fetch all of them. */
  #askOwner(run: Run, now: Timestamp): boolean {
    const { slip, track, call } = run;
    const cabin = this.#cab.cabin();
    const service = cabin.table?.services.get(run.service);
    if (slip === undefined || cabin.table === undefined || service === undefined) return false;
    if (!this.#quota.isScarce(service, now)) return false;
    const owner = this.#sharing?.ownerOf(slip.flight, now);
    if (owner === undefined) return false;
    const query: ObjectQuery = {
      callerId: call.id,
      generation: cabin.table.generation,
      route: track.name,
      host: call.host,
      target: call.target,
      fields: slip.fields.filter(([name]) => isVaryField(name, track)),
      left: elapsedMs(now, run.trip.until),
    };
    this.bump('owner_asked');
    this.#sharing?.ask(owner, query, now, (outcome) => this.#onShared(run, outcome));
    return true;
  }

  /** The owner of an object told it, or this edge is on its own. */
  #onShared(run: Run, outcome: ObjectOutcome): void {
    if (run.trip.phase === 'over') return;
    const now = this.#cab.now();
    if (!outcome.found) {
      this.#beginAfterOwner(run, outcome.mayHaveFetched, now);
      return;
    }
    const { object } = outcome;
    const entry = this.#entryOf(run, object, now);
    if (entry === undefined) {
      this.#beginAfterOwner(run, false, now);
      return;
    }
    this.bump('owner_told');
    run.trip = { ...run.trip, phase: 'over' };
    this.#runs.delete(run.number);
    this.#settle(run, { kind: 'kept', entry, purged: object.purged });
  }

  /** Goes on without the owner; what it may have sent to an origin counts as a first try of the request. */
  #beginAfterOwner(run: Run, mayHaveFetched: boolean, now: Timestamp): void {
    this.bump('owner_silent');
    if (!mayHaveFetched) {
      this.#begin(run, now);
      return;
    }
    if (run.trip.most > 1 && this.#quota.extra(run.service, now)) {
      run.trip = { ...run.trip, most: run.trip.most - 1 };
      this.#begin(run, now);
      return;
    }
    this.bump('budget');
    run.trip = { ...run.trip, phase: 'over' };
    this.#runs.delete(run.number);
    this.#settle(run, fault('lost', 'the object could not be fetched', ownerRetryMs));
  }

  /** A shared object as an entry of this edge's own cache; none if it is too old, or was purged since. */
  #entryOf(run: Run, object: SharedObject, now: Timestamp): Entry | undefined {
    const { slip } = run;
    if (slip === undefined) return undefined;
    const lifetime = slip.track.cache?.lifetimeMs ?? 0;
    const tags = tagsIn(object.fields, this.#manner.words.tags);
    const isOld = elapsedMs(object.born, now) >= lifetime;
    if (isOld || this.#desk.cache.purgedSince(slip.key, tags, object.purged)) return undefined;
    const entry: Entry = {
      key: slip.key,
      vary: new Map(),
      status: 200,
      fields: object.fields,
      body: object.body,
      digest: '',
      born: object.born,
      lifetime,
      tags,
    };
    this.#desk.cache.store(entry, slip.fields, slip.track.cache?.vary ?? [], object.purged, now);
    return entry;
  }

  #lateSpan(service: ServiceName, track: Track): number {
    return Math.max(3 * this.book.typical(service), Math.min(400, track.goalMs ?? 400), 60);
  }

  #event(run: Run, event: TripEvent): void {
    const queue: TripEvent[] = [event];
    for (let head = queue.shift(); head !== undefined; head = queue.shift()) {
      const done = tripStep(run.trip, head);
      run.trip = done.state;
      for (const effect of done.effects) {
        const raised = this.#run(run, effect, head.now);
        if (raised !== undefined) queue.push(raised);
      }
    }
    if (run.trip.phase === 'over') this.#runs.delete(run.number);
  }

  #run(run: Run, effect: TripEffect, now: Timestamp): TripEvent | undefined {
    switch (effect.kind) {
      case 'pick':
        return this.#pick(run, effect.extra, now);
      case 'send':
        this.#send(run, effect.leg, effect.instance, now);
        return undefined;
      case 'cut': {
        const out = run.cuts.get(effect.leg);
        run.cuts.delete(effect.leg);
        if (out === undefined) return undefined;
        const nodeSession = this.book.get(out.instance);
        this.#count(run, out.release, 'cut', elapsedMs(out.since, now));
        // A leg that is cut took at least this long: a slow origin is known by it.
        if (nodeSession !== undefined)
          this.book.ended(
            nodeSession,
            Math.max(nodeSession.typicalMs, elapsedMs(out.since, now)),
            true,
            now,
          );
        out.cut();
        return undefined;
      }
      case 'tell':
        this.#told(run, effect.told, now);
        return undefined;
    }
  }

  #pick(run: Run, extra: boolean, now: Timestamp): TripEvent {
    const service = this.#cab.cabin().table?.services.get(run.service);
    if (service === undefined)
      return { kind: 'none', now, text: 'the service is gone', retryMs: shortWait };
    const release = this.#release(run, extra, now);
    if (release === null)
      return { kind: 'none', now, text: 'no origin of a sound release stands', retryMs: 250 };
    const nodeSession = this.book.pick(
      run.service,
      run.trip.tried,
      run.taste,
      this.#quota.room(service),
      (one) => release === undefined || one.release === release,
      now,
    );
    if (nodeSession === undefined)
      return { kind: 'none', now, text: 'no origin stands', retryMs: 250 };
    if (extra && run.trip.tried.has(nodeSession.instance))
      return { kind: 'none', now, text: 'no other origin stands', retryMs: 250 };
    if (extra && !this.#quota.extra(run.service, now)) {
      this.bump('budget');
      return { kind: 'none', now, text: 'no further tries are left', retryMs: 250 };
    }
    const wait = this.#quota.wait(service, now);
    if (wait > 0) {
      this.bump('ceiling');
      return { kind: 'none', now, text: 'the service takes no more just now', retryMs: wait + 20 };
    }
    if (extra) this.bump('extra');
    return { kind: 'picked', now, instance: nodeSession.instance };
  }

  /** The release to send to: any if there is but one, none if only one that was judged bad is left. Further legs try no release. */
  #release(run: Run, extra: boolean, now: Timestamp): Release | undefined | null {
    const releases = this.book.releases(run.service);
    const cabin = this.#cab.cabin();
    const state = cabin.releases.get(run.service);
    if (releases.size <= 1 && state === undefined) return undefined;
    const fresh = elapsedMs(cabin.releasesAt, now) < freshSpan;
    return (
      chooseRelease(state, releases, run.track.group, extra ? 1 : this.#roll(), fresh) ??
      (releases.size === 0 ? undefined : null)
    );
  }

  #send(run: Run, leg: number, instance: InstanceId, now: Timestamp): void {
    const nodeSession = this.book.get(instance);
    if (nodeSession === undefined) return;
    const { call, track } = run;
    this.book.sent(nodeSession);
    const { release } = nodeSession;
    this.#tallies.sent(run.service, release, track.group);
    const drop = [
      this.#manner.words.timeLeft,
      this.#manner.words.instance,
      'content-length',
      'expect',
      ...(run.slip === undefined ? [] : conditional),
    ];
    const spanMs = Math.max(1, Math.floor(elapsedMs(now, run.trip.until)));
    const fields: Fields = [
      ...handOn(call.fields, drop),
      [this.#manner.words.timeLeft, String(spanMs)],
      [this.#manner.words.instance, instance],
    ];
    const ended = (): boolean => {
      const known = run.cuts.has(leg);
      run.cuts.delete(leg);
      return known;
    };
    run.births.set(leg, { since: now, purged: this.#cab.cabin().purged });
    const cut = this.#legs.send(
      {
        service: run.service,
        address: nodeSession.address,
        instance,
        id: call.id,
        method: call.method,
        target: call.target,
        fields,
        body: call.body,
        spanMs,
        fresh: !track.repeatable,
      },
      {
        answered: (answer) => {
          if (!ended()) return;
          const at = this.#cab.now();
          this.#count(
            run,
            release,
            answer.unrun ? 'cut' : answer.status < 500 ? 'good' : 'bad',
            answer.unrun ? 0 : elapsedMs(now, at),
          );
          if (answer.unrun) this.book.full(nodeSession, at);
          else this.book.ended(nodeSession, elapsedMs(now, at), answer.status < 500, at);
          this.#event(run, { kind: 'answered', now: at, leg, answer });
        },
        broke: (sent, text) => {
          if (!ended()) return;
          const at = this.#cab.now();
          this.bump(sent ? 'broke' : 'unopened');
          this.#count(run, release, sent ? 'bad' : 'cut', sent ? elapsedMs(now, at) : 0);
          this.book.ended(nodeSession, undefined, false, at);
          this.#event(run, { kind: 'broke', now: at, leg, sent, text });
        },
      },
    );
    run.cuts.set(leg, { cut, instance, release, since: now });
  }

  #count(run: Run, release: Release, outcome: Outcome, ms: number): void {
    const settled = this.#cab.cabin().releases.get(run.service)?.settled;
    this.#tallies.ended(
      run.service,
      release,
      run.track.group,
      outcome,
      ms,
      this.book.typical(run.service, settled),
    );
  }

  #kept(slip: Slip, cabin: Cabin, now: Timestamp): Entry | undefined {
    // An edge that is cut off from all registries is out of touch, and serves what it has.
    const sure =
      cabin.asOf !== undefined && elapsedMs(cabin.asOf, now) < this.#manner.bounds.keptMs;
    if (!sure && isConnected(cabin.nodeSession, now)) return undefined;
    return this.#desk.cache.find(slip.key, slip.fields, now);
  }

  #told(run: Run, told: Told, now: Timestamp): void {
    this.#settle(run, this.#wordOf(run, told, now));
  }

  /** Ends a request: its caller and those who waited for its fetch are told. */
  #settle(run: Run, word: Word): void {
    const { slip, flight } = run;
    if (slip !== undefined && this.#flights.get(slip.flight) === flight)
      this.#flights.delete(slip.flight);
    if (!run.left) this.#say(run.tell, word);
    for (const waiter of flight?.waiters ?? []) {
      if (waiter.gone) continue;
      waiter.gone = true;
      if (word.kind === 'kept') this.#say(waiter.tell, word);
      else {
        const serving = { latest: waiter.until, forPeer: waiter.forPeer };
        waiter.leave = this.#serve(waiter.call, waiter.tell, serving);
      }
    }
  }

  #wordOf(run: Run, told: Told, now: Timestamp): Word {
    if (told.kind === 'fault')
      return { kind: 'fault', fault: told.fault, text: told.text, retryMs: told.retryMs };
    const { answer } = told;
    const birth = run.births.get(told.leg);
    if (run.slip === undefined || answer.status !== 200 || birth === undefined)
      return { kind: 'answer', answer };
    const { slip } = run;
    const entry: Entry = {
      key: slip.key,
      vary: new Map(),
      status: answer.status,
      fields: answer.fields,
      body: answer.body,
      digest: '',
      born: birth.since,
      lifetime: slip.track.cache?.lifetimeMs ?? 0,
      tags: tagsIn(answer.fields, this.#manner.words.tags),
    };
    if (entry.lifetime > 0)
      this.#desk.cache.store(entry, slip.fields, slip.track.cache?.vary ?? [], birth.purged, now);
    return { kind: 'kept', entry, purged: birth.purged };
  }

  #say(tell: Tell, word: Word): void {
    this.bump(
      word.kind === 'fault'
        ? `fault_${word.fault}`
        : word.kind === 'kept'
          ? 'told_kept'
          : `status_${Math.floor(word.answer.status / 100)}xx`,
    );
    tell(word);
  }

  #roll(): number {
    const [chance, dice] = nextRandom(this.#dice);
    this.#dice = dice;
    return chance;
  }
}
