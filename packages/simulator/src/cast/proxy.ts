import {
  type Address,
  type ErrorKind,
  type Timestamp,
  type NodeId,
  type StateMachine,
  toZoneName,
} from '@switchwheel/types';
import type { HeaderFields, Member, ProcessEvent } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { buildConfiguration, runToCompletion } from '@switchwheel/configuration';
import {
  Cache,
  type ClientRequest,
  type ClientConnection,
  type ShutdownPhase,
  CacheLookup,
  EdgeRequestHandler,
  type AttemptHandlers,
  type AttemptRequest,
  type TransferLimits,
  type ProxyState,
  type ProxyEffect,
  type ProxyEvent,
  ShieldRequestHandler,
  type ClientStream,
  type Reply,
  shutdownPhase,
  isReady,
  newProxyState,
  proxyTransition,
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
  readonly fields: HeaderFields;
}

/** Small measures, so that simulated results come in several parts and the larger ones stream. */
const sizes: TransferLimits = {
  maxBufferedBytes: 4000,
  chunkBytes: 900,
  windowBytes: 2500,
  maxCoalescedWaiters: 64,
};

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

const toResult = (told: Reply): CallerResult => {
  switch (told.kind) {
    case 'failure':
      return faultOf(told.errorKind, told.text, told.retryMs);
    case 'cached':
      return resultOf(told.entry.status, told.entry.body, told.source);
    case 'complete':
      return resultOf(told.status, told.body, told.source);
  }
};

/** A proxy in the simulation: all that ships but for sockets, which are virtual. */
export class SimProxy extends Actor {
  readonly role: 'edge' | 'shield';
  readonly #seeds: () => readonly Address[];
  readonly #origins: () => readonly SimOrigin[];
  #store: StateMachine<ProxyState, ProxyEvent> | undefined;
  #cache = new Cache(4 * 1024 * 1024);
  #edge: EdgeRequestHandler | undefined;
  #shield: ShieldRequestHandler | undefined;
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

  get state(): ProxyState | undefined {
    return this.alive ? this.#store?.state() : undefined;
  }

  get ready(): boolean {
    const { state } = this;
    return state !== undefined && !this.frozen && isReady(state.nodeAgent, this.clock);
  }

  get stopping(): boolean {
    return this.state?.nodeAgent.isStopping === true;
  }

  override wake(): void {
    const { state, clock } = this;
    const past = [...(state?.activeLeaders ?? [])].some(([service, name]) => {
      const candidate = state?.nodeAgent.candidates.get(service);
      return (
        candidate !== undefined &&
        !holdsLease(candidate, clock) &&
        (state?.leaders.get(name)?.attempts.size ?? 0) > 0
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
    const first = newProxyState(member, this.#seeds(), {
      seed: Math.floor(this.stage.chance.next() * 4294967296),
    });
    const store = this.makeStore<ProxyState, ProxyEvent, ProxyEffect>(
      proxyTransition,
      first,
      (effect) => this.#run(effect),
    );
    this.#store = store;
    const desk = new CacheLookup(this.#cache);
    const cab = {
      now: (): Timestamp => this.clock,
      state: store.state,
      dispatch: (make: (now: Timestamp) => ProxyEvent): void => this.#tell(make),
    };
    this.#edge = new EdgeRequestHandler(
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
    this.#shield = new ShieldRequestHandler(
      {
        send: (name, request, ears) => this.#leg(name, request, ears),
        cancel: (name) => {
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

  event(make: (now: Timestamp) => ProcessEvent): void {
    this.#tell(make);
  }

  override gone(address: Address): void {
    super.gone(address);
    for (const wire of this.#wires.get(address) ?? []) wire.gone();
  }

  #accept(
    channel: Parameters<ShieldRequestHandler['inbound']['accept']>[0],
  ): ReturnType<ShieldRequestHandler['inbound']['accept']> {
    return (
      this.#shield?.inbound.accept(channel, () => this.clock) ?? {
        frame: () => undefined,
        closed: () => undefined,
      }
    );
  }

  /** A planned stop, as the shipped program goes about it; calls back when the process has ended. */
  stop(then: (how: ShutdownPhase) => void): void {
    this.act(() => {
      const since = this.clock;
      if (this.#open() > 0) this.stage.tried.note('R11: a node was stopped with requests open');
      if ((this.state?.activeLeaders.size ?? 0) > 0)
        this.stage.tried.note('R11: a keeper was stopped');
      this.#tell((now) => ({ kind: 'stopRequested', now }));
      const look = (): void => {
        const how = shutdownPhase(this.role, since, this.#open(), this.clock);
        this.#shut = how !== 'serving';
        if (how === 'serving' || how === 'draining') {
          this.later(20, look);
          return;
        }
        if (how === 'aborting') this.#edge?.abortAll('this node stops');
        this.later(how === 'aborting' ? 100 : 0, () => {
          this.kill('planned');
          then(how);
        });
      };
      look();
    });
  }

  #open(): number {
    const legs = [...(this.#store?.state().leaders.values() ?? [])].reduce(
      (sum, one) => sum + one.attempts.size,
      0,
    );
    return (this.#edge?.openRequests ?? 0) + (this.#shield?.inbound.size ?? 0) + legs;
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
      const found = edge?.findRoute(request.method, 'sim', request.path);
      if (edge === undefined || found === undefined) return;
      if ('told' in found) {
        done(toResult(found.told));
        return;
      }
      const call: ClientRequest = {
        method: request.method,
        host: 'sim',
        target: request.path,
        fields: request.fields,
        body: Buffer.from(request.method === 'POST' ? request.id : ''),
        remoteAddress: '10.9.9.9',
      };
      const caller: ClientConnection = {
        reply: (told) => done(toResult(told)),
        startStream: (status, _, length) => this.#spout(status, length, done),
      };
      leave = edge.serve(found.track, call, caller);
    });
    return () => this.act(() => leave(), life);
  }

  /** A caller that takes a result in parts, and sees whether it is all there. */
  #spout(
    status: number,
    length: number | undefined,
    done: (result: CallerResult) => void,
  ): ClientStream {
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
      abort: (why) => end(faultOf('broken', why)),
    };
  }

  #run(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'send':
      case 'log':
        this.wire(effect);
        break;
      case 'compileConfiguration':
        this.later(this.stage.chance.between(2, 40), () => {
          const built = runToCompletion(
            buildConfiguration(
              effect.chunkTexts,
              effect.offer.generation,
              effect.offer.hash,
              effect.previous,
            ),
          );
          this.#tell((now) =>
            built.isOk && !this.lame
              ? {
                  kind: 'configurationCompiled',
                  now,
                  offer: effect.offer,
                  compiledConfiguration: built.value,
                }
              : {
                  kind: 'compileFailed',
                  now,
                  offer: effect.offer,
                  faults: built.isOk ? [{ path: '(node)', text: 'lame' }] : built.error,
                },
          );
        });
        break;
      case 'adoptConfiguration':
        this.adopted.push({
          generation: effect.compiledConfiguration.generation,
          at: this.stage.agenda.now,
          life: this.life,
        });
        break;
      case 'purgeCache':
        this.#cache.purge(effect.purges, effect.flush, effect.lastPurgeSeq);
        this.#edge?.onPurged();
        this.#shield?.onPurged();
        break;
      case 'setLiveOrigins':
        break;
      case 'checkHealth':
        this.#probe(effect);
        break;
      case 'sendRequest':
      case 'cancelRequest':
      case 'startResponse':
      case 'failRequest':
        this.#edge?.run(effect);
        break;
      case 'startAttempt': {
        const state = this.#store?.state();
        const keeper = state?.leaders.get(effect.leader);
        const candidate =
          keeper === undefined ? undefined : state?.nodeAgent.candidates.get(keeper.service);
        if (
          candidate === undefined ||
          !holdsLease(candidate, this.clock) ||
          heldEpoch(candidate) !== keeper?.epoch
        )
          this.stage.breaches.push(
            `${this.node} sent a leg as ${effect.leader} past its lease at ${Math.round(this.stage.agenda.now)}`,
          );
        this.#shield?.run(effect);
        break;
      }
      case 'cancelAttempt':
      case 'useResponse':
      case 'rejectRequest':
        this.#shield?.run(effect);
        break;
    }
  }

  #originAt(address: Address): SimOrigin | undefined {
    return this.#origins().find((one) => one.address === address && one.alive);
  }

  #probe(effect: Extract<ProxyEffect, { kind: 'checkHealth' }>): void {
    const { service, instance, address } = effect;
    this.later(this.stage.chance.between(1, 5), () => {
      const good =
        this.stage.net.open(this.node, 'origins') &&
        this.#originAt(address)?.probe(instance) === true;
      this.#tell((now) => ({
        kind: 'healthChecked',
        now,
        service,
        instance,
        isHealthy: good,
        durationMs: 2,
      }));
    });
  }

  #leg(name: string, request: AttemptRequest, ears: AttemptHandlers): void {
    const { life } = this;
    // What comes back keeps its order.
    let free = 0;
    const near = (work: () => void): void => {
      free = Math.max(free, this.stage.agenda.now + this.stage.chance.between(0.3, 2));
      this.stage.agenda.after(free - this.stage.agenda.now, () =>
        this.act(() => {
          if (this.#dropped.has(name)) return;
          if (this.stage.net.open(this.node, 'origins')) work();
          else
            ears.failed({
              mayHaveBeenSent: true,
              isTimeout: false,
              text: 'cut off from the origin',
            });
        }, life),
      );
    };
    const origin = this.#originAt(request.address);
    this.later(request.timeoutMs, () => {
      if (!this.#dropped.has(name))
        ears.failed({ mayHaveBeenSent: true, isTimeout: true, text: 'no result in time' });
    });
    if (origin === undefined || !this.stage.net.open(this.node, 'origins')) {
      this.later(2, () => {
        if (!this.#dropped.has(name))
          ears.failed({ mayHaveBeenSent: false, isTimeout: false, text: 'no one listens' });
      });
      return;
    }
    this.stage.agenda.after(this.stage.chance.between(0.3, 2), () =>
      origin.take(request, {
        head: (status, fields) => near(() => ears.head(status, fields)),
        chunk: (bytes, more) => near(() => ears.chunk(bytes, more)),
        ended: () => near(() => ears.ended()),
        failed: (how) => near(() => ears.failed(how)),
      }),
    );
  }
}
