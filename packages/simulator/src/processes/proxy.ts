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
import { SimulatedProcess, type SimulationContext } from '../world/process.js';
import { parseObjectContent } from './object-content.js';
import type { SimulatedOrigin } from './origin.js';
import { SimulatedChannel } from './channel.js';

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
  readonly createdAt: number;
  readonly source: string;
  readonly retryMs: number;
}

/** A request as it goes through the simulation. */
export interface SimulatedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly fields: HeaderFields;
}

/** Small measures, so that simulated results come in several parts and the larger ones stream. */
const streamLimits: TransferLimits = {
  maxBufferedBytes: 4000,
  chunkBytes: 900,
  windowBytes: 2500,
  maxCoalescedWaiters: 64,
};

const failedResult = (kind: 'broken' | ErrorKind, text: string, retryMs = 0): CallerResult => ({
  kind,
  text,
  status: 0,
  revision: -1,
  object: '',
  request: '',
  createdAt: 0,
  source: '',
  retryMs,
});

const completeResult = (status: number, body: Buffer, from: string): CallerResult => {
  const read = status === 200 ? parseObjectContent(body) : undefined;
  return {
    kind: 'result',
    text: '',
    status,
    revision: read?.revision ?? -1,
    object: read?.object ?? '',
    request: read?.request ?? '',
    createdAt: read?.createdAt ?? 0,
    source: from,
    retryMs: 0,
  };
};

const toCallerResult = (told: Reply): CallerResult => {
  switch (told.kind) {
    case 'failure':
      return failedResult(told.errorKind, told.text, told.retryMs);
    case 'cached':
      return completeResult(told.entry.status, told.entry.body, told.source);
    case 'complete':
      return completeResult(told.status, told.body, told.source);
  }
};

/** A proxy in the simulation: all that ships but for sockets, which are virtual. */
export class SimulatedProxy extends SimulatedProcess {
  readonly role: 'edge' | 'shield';
  readonly #seeds: () => readonly Address[];
  readonly #origins: () => readonly SimulatedOrigin[];
  #store: StateMachine<ProxyState, ProxyEvent> | undefined;
  #cache = new Cache(4 * 1024 * 1024);
  #edge: EdgeRequestHandler | undefined;
  #shield: ShieldRequestHandler | undefined;
  readonly #channels = new Map<Address, Set<SimulatedChannel>>();
  readonly #cancelledAttempts = new Set<string>();
  /** Whether it takes no new callers as it is about to end. */
  #isClosedToCallers = false;
  /** Whether this machine can't apply descriptions: a fault of its own. */
  failsToCompile = false;
  /** The generation that came into force, when, in which life. */
  readonly activations: {
    readonly generation: number;
    readonly at: number;
    readonly incarnationNumber: number;
  }[] = [];

  constructor(
    stage: SimulationContext,
    role: 'edge' | 'shield',
    node: NodeId,
    address: Address,
    area: string,
    seeds: () => readonly Address[],
    origins: () => readonly SimulatedOrigin[],
  ) {
    super(stage, node, address, area);
    this.role = role;
    this.#seeds = seeds;
    this.#origins = origins;
  }

  get state(): ProxyState | undefined {
    return this.isAlive ? this.#store?.state() : undefined;
  }

  get isReady(): boolean {
    const { state } = this;
    return state !== undefined && !this.isFrozen && isReady(state.nodeAgent, this.clock);
  }

  get isStopping(): boolean {
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
    if (this.isFrozen && past)
      this.context.coverage.record('a keeper woke past its lease with legs open');
    super.wake();
  }

  /** Counts of what happened in this life: those of the edge, then of the shield. */
  get counts(): ReadonlyMap<string, number> {
    return new Map([...(this.#edge?.counts ?? []), ...(this.#shield?.counts ?? [])]);
  }

  protected onStart(): void {
    const member: Member = {
      node: this.node,
      role: this.role,
      area: toZoneName(this.zone),
      address: this.address,
      door: this.address,
      incarnation: this.incarnation,
    };
    const before = this.activations.at(-1);
    if (before !== undefined && this.context.highestAcknowledgedGeneration() > before.generation)
      this.context.coverage.record('R5: a node started again under a newer generation');
    this.#isClosedToCallers = false;
    this.#cancelledAttempts.clear();
    this.#cache = new Cache(4 * 1024 * 1024);
    const first = newProxyState(member, this.#seeds(), {
      seed: Math.floor(this.context.random.next() * 4294967296),
    });
    const store = this.makeStore<ProxyState, ProxyEvent, ProxyEffect>(
      proxyTransition,
      first,
      (effect) => this.#runEffect(effect),
    );
    this.#store = store;
    const desk = new CacheLookup(this.#cache);
    const cab = {
      now: (): Timestamp => this.clock,
      state: store.state,
      dispatch: (make: (now: Timestamp) => ProxyEvent): void => this.#dispatchNow(make),
    };
    this.#edge = new EdgeRequestHandler(
      `${this.node}.${this.incarnationNumber}`,
      desk,
      (to, ears) => {
        const other = this.context.processes.get(to);
        const wire = new SimulatedChannel(
          this.context,
          this,
          other,
          {
            ...ears,
            closed: () => {
              this.#channels.get(to)?.delete(wire);
              ears.closed();
            },
          },
          (channel) =>
            other instanceof SimulatedProxy
              ? other.#accept(channel)
              : { frame: () => undefined, closed: () => undefined },
        );
        const list = this.#channels.get(to) ?? new Set<SimulatedChannel>();
        this.#channels.set(to, list.add(wire));
        return wire.channel();
      },
      cab,
      streamLimits,
    );
    this.#shield = new ShieldRequestHandler(
      {
        send: (name, request, ears) => this.#startAttempt(name, request, ears),
        cancel: (name) => {
          this.#cancelledAttempts.add(name);
        },
      },
      desk,
      cab,
      () => undefined,
      streamLimits,
    );
  }

  protected onEnd(): void {
    this.#channels.clear();
    this.#edge = undefined;
    this.#shield = undefined;
  }

  dispatch(make: (now: Timestamp) => ProcessEvent): void {
    this.#dispatchNow(make);
  }

  override peerEnded(address: Address): void {
    super.peerEnded(address);
    for (const wire of this.#channels.get(address) ?? []) wire.remoteProcessEnded();
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
  stop(onStopped: (how: ShutdownPhase) => void): void {
    this.execute(() => {
      const since = this.clock;
      if (this.#openWork() > 0)
        this.context.coverage.record('R11: a node was stopped with requests open');
      if ((this.state?.activeLeaders.size ?? 0) > 0)
        this.context.coverage.record('R11: a keeper was stopped');
      this.#dispatchNow((now) => ({ kind: 'stopRequested', now }));
      const look = (): void => {
        const how = shutdownPhase(this.role, since, this.#openWork(), this.clock);
        this.#isClosedToCallers = how !== 'serving';
        if (how === 'serving' || how === 'draining') {
          this.schedule(20, look);
          return;
        }
        if (how === 'aborting') this.#edge?.abortAll('this node stops');
        this.schedule(how === 'aborting' ? 100 : 0, () => {
          this.kill('planned');
          onStopped(how);
        });
      };
      look();
    });
  }

  #openWork(): number {
    const legs = [...(this.#store?.state().leaders.values() ?? [])].reduce(
      (sum, one) => sum + one.attempts.size,
      0,
    );
    return (this.#edge?.openRequests ?? 0) + (this.#shield?.inbound.size ?? 0) + legs;
  }

  #dispatchNow(make: (now: Timestamp) => ProxyEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  /** Takes a caller's request; the caller hears nothing if this process dies first. Gives what to call when the caller leaves. */
  serve(request: SimulatedRequest, onResult: (result: CallerResult) => void): () => void {
    let leave = (): void => undefined;
    const { incarnationNumber } = this;
    if (!this.isAlive) {
      onResult(failedResult('unready', 'nobody listens', 1000));
      return leave;
    }
    this.execute(() => {
      if (this.#isClosedToCallers) {
        onResult(failedResult('unready', 'nobody listens', 1000));
        return;
      }
      const edge = this.#edge;
      const found = edge?.findRoute(request.method, 'sim', request.path);
      if (edge === undefined || found === undefined) return;
      if ('told' in found) {
        onResult(toCallerResult(found.told));
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
        reply: (told) => onResult(toCallerResult(told)),
        startStream: (status, _, length) => this.#streamingCaller(status, length, onResult),
      };
      leave = edge.serve(found.track, call, caller);
    });
    return () => this.execute(() => leave(), incarnationNumber);
  }

  /** A caller that takes a result in parts, and sees whether it is all there. */
  #streamingCaller(
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
          end(completeResult(status, whole().subarray(0, length), 'stream'));
        this.schedule(this.context.random.uniform(0.1, 5), more);
      },
      end: () =>
        end(
          length === undefined
            ? completeResult(status, whole(), 'stream')
            : failedResult('broken', 'shorter than told'),
        ),
      abort: (why) => end(failedResult('broken', why)),
    };
  }

  #runEffect(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'send':
      case 'log':
        this.runWireEffect(effect);
        break;
      case 'compileConfiguration':
        this.schedule(this.context.random.uniform(2, 40), () => {
          const built = runToCompletion(
            buildConfiguration(
              effect.chunkTexts,
              effect.offer.generation,
              effect.offer.hash,
              effect.previous,
            ),
          );
          this.#dispatchNow((now) =>
            built.isOk && !this.failsToCompile
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
        this.activations.push({
          generation: effect.compiledConfiguration.generation,
          at: this.context.eventQueue.now,
          incarnationNumber: this.incarnationNumber,
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
          this.context.selfReportedViolations.push(
            `${this.node} sent a leg as ${effect.leader} past its lease at ${Math.round(this.context.eventQueue.now)}`,
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

  #originAt(address: Address): SimulatedOrigin | undefined {
    return this.#origins().find((one) => one.address === address && one.isAlive);
  }

  #probe(effect: Extract<ProxyEffect, { kind: 'checkHealth' }>): void {
    const { service, instance, address } = effect;
    this.schedule(this.context.random.uniform(1, 5), () => {
      const good =
        this.context.network.isOpen(this.node, 'origins') &&
        this.#originAt(address)?.answerProbe(instance) === true;
      this.#dispatchNow((now) => ({
        kind: 'healthChecked',
        now,
        service,
        instance,
        isHealthy: good,
        durationMs: 2,
      }));
    });
  }

  #startAttempt(name: string, request: AttemptRequest, ears: AttemptHandlers): void {
    const { incarnationNumber } = this;
    // What comes back keeps its order.
    let free = 0;
    const near = (work: () => void): void => {
      free = Math.max(free, this.context.eventQueue.now + this.context.random.uniform(0.3, 2));
      this.context.eventQueue.schedule(free - this.context.eventQueue.now, () =>
        this.execute(() => {
          if (this.#cancelledAttempts.has(name)) return;
          if (this.context.network.isOpen(this.node, 'origins')) work();
          else
            ears.failed({
              mayHaveBeenSent: true,
              isTimeout: false,
              text: 'cut off from the origin',
            });
        }, incarnationNumber),
      );
    };
    const origin = this.#originAt(request.address);
    this.schedule(request.timeoutMs, () => {
      if (!this.#cancelledAttempts.has(name))
        ears.failed({ mayHaveBeenSent: true, isTimeout: true, text: 'no result in time' });
    });
    if (origin === undefined || !this.context.network.isOpen(this.node, 'origins')) {
      this.schedule(2, () => {
        if (!this.#cancelledAttempts.has(name))
          ears.failed({ mayHaveBeenSent: false, isTimeout: false, text: 'no one listens' });
      });
      return;
    }
    this.context.eventQueue.schedule(this.context.random.uniform(0.3, 2), () =>
      origin.handleRequest(request, {
        head: (status, fields) => near(() => ears.head(status, fields)),
        chunk: (bytes, more) => near(() => ears.chunk(bytes, more)),
        ended: () => near(() => ears.ended()),
        failed: (how) => near(() => ears.failed(how)),
      }),
    );
  }
}
