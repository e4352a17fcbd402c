import {
  type Address,
  type ErrorKind,
  type Timestamp,
  type NodeId,
  type Store,
  toZoneName,
} from '@switchwheel/types';
import type { Fields, Member, WireEvent } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { build, finish } from '@switchwheel/configuration';
import {
  Cache,
  type Call,
  type Caller,
  type Departure,
  Desk,
  EdgeLine,
  type LegEars,
  type LegRequest,
  type Measures,
  type Proxy,
  type ProxyEffect,
  type ProxyEvent,
  ShieldLine,
  type Spout,
  type Told,
  departure,
  isReady,
  newProxy,
  proxyStep,
} from '@switchwheel/proxy-core';
import { Actor, type Stage } from '../world/actor.js';
import { readContent } from './content.js';
import type { SimOrigin } from './origin.js';
import { Wire } from './wire.js';

/** What a caller is told in the end. */
export interface CallerResult {
  /** A result, a fault by its kind, or one that visibly broke off. */
  readonly kind: 'result' | 'broken' | ErrorKind;
  readonly text: string;
  readonly status: number;
  readonly revision: number;
  /** The object that the result says it is; empty if its bytes are nobody's. */
  readonly object: string;
  /** The request that the origin says it answers. */
  readonly request: string;
  /** When its origin made it. */
  readonly stamp: number;
  readonly from: string;
  readonly retryMs: number;
}

/** A request as it goes through the simulation. */
export interface Request {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly fields: Fields;
}

/** Small measures, so that simulated results come in several parts and the larger ones stream. */
const sizes: Measures = { whole: 4000, chunk: 900, ahead: 2500, joiners: 64 };

const faultOf = (kind: 'broken' | ErrorKind, text: string, retryMs = 0): CallerResult => ({
  kind,
  text,
  status: 0,
  revision: -1,
  object: '',
  request: '',
  stamp: 0,
  from: '',
  retryMs,
});

const resultOf = (status: number, body: Buffer, from: string): CallerResult => {
  const read = status === 200 ? readContent(body) : undefined;
  return {
    kind: 'result',
    text: '',
    status,
    revision: read?.revision ?? -1,
    object: read?.object ?? '',
    request: read?.request ?? '',
    stamp: read?.stamp ?? 0,
    from,
    retryMs: 0,
  };
};

const toResult = (told: Told): CallerResult => {
  switch (told.kind) {
    case 'fault':
      return faultOf(told.fault, told.text, told.retryMs);
    case 'entry':
      return resultOf(told.entry.status, told.entry.body, told.from);
    case 'whole':
      return resultOf(told.status, told.body, told.from);
  }
};

/** A proxy in the simulation: all that ships but for sockets, which are virtual. */
export class SimProxy extends Actor {
  readonly role: 'edge' | 'shield';
  readonly #seeds: () => readonly Address[];
  readonly #origins: () => readonly SimOrigin[];
  #store: Store<Proxy, ProxyEvent> | undefined;
  #cache = new Cache(4 * 1024 * 1024);
  #edge: EdgeLine | undefined;
  #shield: ShieldLine | undefined;
  readonly #wires = new Map<Address, Set<Wire>>();
  readonly #dropped = new Set<string>();
  /** Whether it takes no new callers as it is about to end. */
  #shut = false;
  /** Whether this machine can't apply descriptions: a fault of its own. */
  lame = false;
  /** The generation that came into force, when, in which life. */
  readonly adopted: { readonly generation: number; readonly at: number; readonly life: number }[] =
    [];

  constructor(
    stage: Stage,
    role: 'edge' | 'shield',
    node: NodeId,
    address: Address,
    area: string,
    seeds: () => readonly Address[],
    origins: () => readonly SimOrigin[],
  ) {
    super(stage, node, address, area);
    this.role = role;
    this.#seeds = seeds;
    this.#origins = origins;
  }

  get state(): Proxy | undefined {
    return this.alive ? this.#store?.state() : undefined;
  }

  get ready(): boolean {
    const { state } = this;
    return state !== undefined && !this.frozen && isReady(state.cabin, this.clock);
  }

  get stopping(): boolean {
    return this.state?.cabin.stopping === true;
  }

  override wake(): void {
    const { state, clock } = this;
    const past = [...(state?.active ?? [])].some(([service, name]) => {
      const candidate = state?.cabin.candidates.get(service);
      return (
        candidate !== undefined &&
        !holdsLease(candidate, clock) &&
        (state?.keepers.get(name)?.legs.size ?? 0) > 0
      );
    });
    if (this.frozen && past) this.stage.tried.note('a keeper woke past its lease with legs open');
    super.wake();
  }

  /** Counts of what happened in this life: those of the edge, then of the shield. */
  get counts(): ReadonlyMap<string, number> {
    return new Map([...(this.#edge?.counts ?? []), ...(this.#shield?.counts ?? [])]);
  }

  protected boot(): void {
    const member: Member = {
      node: this.node,
      role: this.role,
      area: toZoneName(this.area),
      address: this.address,
      door: this.address,
      incarnation: this.incarnation,
    };
    const before = this.adopted.at(-1);
    if (before !== undefined && this.stage.generation() > before.generation)
      this.stage.tried.note('R5: a node started again under a newer generation');
    this.#shut = false;
    this.#dropped.clear();
    this.#cache = new Cache(4 * 1024 * 1024);
    const first = newProxy(member, this.#seeds(), {
      seed: Math.floor(this.stage.chance.next() * 4294967296),
    });
    const store = this.makeStore<Proxy, ProxyEvent, ProxyEffect>(proxyStep, first, (effect) =>
      this.#run(effect),
    );
    this.#store = store;
    const desk = new Desk(this.#cache);
    const cab = {
      now: (): Timestamp => this.clock,
      state: store.state,
      tell: (make: (now: Timestamp) => ProxyEvent): void => this.#tell(make),
    };
    this.#edge = new EdgeLine(
      `${this.node}.${this.life}`,
      desk,
      (to, ears) => {
        const other = this.stage.actors.get(to);
        const wire = new Wire(
          this.stage,
          this,
          other,
          {
            ...ears,
            closed: () => {
              this.#wires.get(to)?.delete(wire);
              ears.closed();
            },
          },
          (channel) =>
            other instanceof SimProxy
              ? other.#accept(channel)
              : { frame: () => undefined, closed: () => undefined },
        );
        const list = this.#wires.get(to) ?? new Set<Wire>();
        this.#wires.set(to, list.add(wire));
        return wire.channel();
      },
      cab,
      sizes,
    );
    this.#shield = new ShieldLine(
      {
        send: (name, request, ears) => this.#leg(name, request, ears),
        drop: (name) => {
          this.#dropped.add(name);
        },
      },
      desk,
      cab,
      () => undefined,
      sizes,
    );
  }

  protected ended(): void {
    this.#wires.clear();
    this.#edge = undefined;
    this.#shield = undefined;
  }

  event(make: (now: Timestamp) => WireEvent): void {
    this.#tell(make);
  }

  override gone(address: Address): void {
    super.gone(address);
    for (const wire of this.#wires.get(address) ?? []) wire.gone();
  }

  #accept(
    channel: Parameters<ShieldLine['dock']['take']>[0],
  ): ReturnType<ShieldLine['dock']['take']> {
    return (
      this.#shield?.dock.take(channel, () => this.clock) ?? {
        frame: () => undefined,
        closed: () => undefined,
      }
    );
  }

  /** A planned stop, as the shipped program goes about it; calls back when the process has ended. */
  stop(then: (how: Departure) => void): void {
    this.act(() => {
      const since = this.clock;
      if (this.#open() > 0) this.stage.tried.note('R11: a node was stopped with requests open');
      if ((this.state?.active.size ?? 0) > 0) this.stage.tried.note('R11: a keeper was stopped');
      this.#tell((now) => ({ kind: 'stop', now }));
      const look = (): void => {
        const how = departure(this.role, since, this.#open(), this.clock);
        this.#shut = how !== 'serving';
        if (how === 'serving' || how === 'ending') {
          this.later(20, look);
          return;
        }
        if (how === 'broken') this.#edge?.breakAll('this node stops');
        this.later(how === 'broken' ? 100 : 0, () => {
          this.kill('planned');
          then(how);
        });
      };
      look();
    });
  }

  #open(): number {
    const legs = [...(this.#store?.state().keepers.values() ?? [])].reduce(
      (sum, one) => sum + one.legs.size,
      0,
    );
    return (this.#edge?.open ?? 0) + (this.#shield?.dock.size ?? 0) + legs;
  }

  #tell(make: (now: Timestamp) => ProxyEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  /** Takes a caller's request; the caller hears nothing if this process dies first. Gives what to call when the caller leaves. */
  serve(request: Request, done: (result: CallerResult) => void): () => void {
    let leave = (): void => undefined;
    const { life } = this;
    if (!this.alive) {
      done(faultOf('unready', 'nobody listens', 1000));
      return leave;
    }
    this.act(() => {
      if (this.#shut) {
        done(faultOf('unready', 'nobody listens', 1000));
        return;
      }
      const edge = this.#edge;
      const found = edge?.enter(request.method, 'sim', request.path);
      if (edge === undefined || found === undefined) return;
      if ('told' in found) {
        done(toResult(found.told));
        return;
      }
      const call: Call = {
        method: request.method,
        host: 'sim',
        target: request.path,
        fields: request.fields,
        body: Buffer.from(request.method === 'POST' ? request.id : ''),
        remote: '10.9.9.9',
      };
      const caller: Caller = {
        tell: (told) => done(toResult(told)),
        stream: (status, _, length) => this.#spout(status, length, done),
      };
      leave = edge.serve(found.track, call, caller);
    });
    return () => this.act(() => leave(), life);
  }

  /** A caller that takes a result in parts, and sees whether it is all there. */
  #spout(status: number, length: number | undefined, done: (result: CallerResult) => void): Spout {
    const parts: Buffer[] = [];
    let over = false;
    const end = (result: CallerResult): void => {
      if (!over) done(result);
      over = true;
    };
    const whole = (): Buffer => Buffer.concat(parts);
    return {
      write: (bytes, more) => {
        parts.push(bytes);
        // A caller takes a result as whole once all the bytes that were told are there, whatever comes after.
        if (length !== undefined && whole().length >= length)
          end(resultOf(status, whole().subarray(0, length), 'stream'));
        this.later(this.stage.chance.between(0.1, 5), more);
      },
      end: () =>
        end(
          length === undefined
            ? resultOf(status, whole(), 'stream')
            : faultOf('broken', 'shorter than told'),
        ),
      snap: (why) => end(faultOf('broken', why)),
    };
  }

  #run(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'send':
      case 'log':
        this.wire(effect);
        break;
      case 'build':
        this.later(this.stage.chance.between(2, 40), () => {
          const built = finish(
            build(effect.texts, effect.offer.generation, effect.offer.hash, effect.before),
          );
          this.#tell((now) =>
            built.isOk && !this.lame
              ? { kind: 'built', now, offer: effect.offer, table: built.value }
              : {
                  kind: 'unbuilt',
                  now,
                  offer: effect.offer,
                  faults: built.isOk ? [{ path: '(node)', text: 'lame' }] : built.error,
                },
          );
        });
        break;
      case 'adopt':
        this.adopted.push({
          generation: effect.table.generation,
          at: this.stage.agenda.now,
          life: this.life,
        });
        break;
      case 'purge':
        this.#cache.purge(effect.purges, effect.flush, effect.top);
        this.#edge?.purged();
        this.#shield?.purged();
        break;
      case 'gates':
        break;
      case 'probe':
        this.#probe(effect);
        break;
      case 'ask':
      case 'cancel':
      case 'begin':
      case 'fail':
        this.#edge?.run(effect);
        break;
      case 'leg': {
        const state = this.#store?.state();
        const keeper = state?.keepers.get(effect.keeper);
        const candidate =
          keeper === undefined ? undefined : state?.cabin.candidates.get(keeper.service);
        if (
          candidate === undefined ||
          !holdsLease(candidate, this.clock) ||
          heldEpoch(candidate) !== keeper?.epoch
        )
          this.stage.breaches.push(
            `${this.node} sent a leg as ${effect.keeper} past its lease at ${Math.round(this.stage.agenda.now)}`,
          );
        this.#shield?.run(effect);
        break;
      }
      case 'cut':
      case 'use':
      case 'turnAway':
        this.#shield?.run(effect);
        break;
    }
  }

  #originAt(address: Address): SimOrigin | undefined {
    return this.#origins().find((one) => one.address === address && one.alive);
  }

  #probe(effect: Extract<ProxyEffect, { kind: 'probe' }>): void {
    const { service, instance, address } = effect;
    this.later(this.stage.chance.between(1, 5), () => {
      const good =
        this.stage.net.open(this.node, 'origins') &&
        this.#originAt(address)?.probe(instance) === true;
      this.#tell((now) => ({ kind: 'probed', now, service, instance, good, ms: 2 }));
    });
  }

  #leg(name: string, request: LegRequest, ears: LegEars): void {
    const { life } = this;
    // What comes back keeps its order.
    let free = 0;
    const near = (work: () => void): void => {
      free = Math.max(free, this.stage.agenda.now + this.stage.chance.between(0.3, 2));
      this.stage.agenda.after(free - this.stage.agenda.now, () =>
        this.act(() => {
          if (this.#dropped.has(name)) return;
          if (this.stage.net.open(this.node, 'origins')) work();
          else ears.broke({ opened: true, slow: false, text: 'cut off from the origin' });
        }, life),
      );
    };
    const origin = this.#originAt(request.address);
    this.later(request.spanMs, () => {
      if (!this.#dropped.has(name))
        ears.broke({ opened: true, slow: true, text: 'no result in time' });
    });
    if (origin === undefined || !this.stage.net.open(this.node, 'origins')) {
      this.later(2, () => {
        if (!this.#dropped.has(name))
          ears.broke({ opened: false, slow: false, text: 'no one listens' });
      });
      return;
    }
    this.stage.agenda.after(this.stage.chance.between(0.3, 2), () =>
      origin.take(request, {
        head: (status, fields) => near(() => ears.head(status, fields)),
        part: (bytes, more) => near(() => ears.part(bytes, more)),
        ended: () => near(() => ears.ended()),
        broke: (how) => near(() => ears.broke(how)),
      }),
    );
  }
}
