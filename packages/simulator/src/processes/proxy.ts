/** An edge or a shield: the shipped state machine and request handlers on virtual channels. */

import {
  type Address,
  type Timestamp,
  type NodeId,
  type StateMachine,
  toZoneName,
} from '@switchwheel/types';
import type { Member, ProcessEvent } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { buildConfiguration, runToCompletion } from '@switchwheel/configuration';
import {
  Cache,
  type ClientRequest,
  type ClientConnection,
  type ShutdownPhase,
  CacheLookup,
  EdgeRequestHandler,
  type DataChannel,
  type DataChannelHandlers,
  type TransferLimits,
  type ProxyState,
  type ProxyEffect,
  type ProxyEvent,
  ShieldRequestHandler,
  shutdownPhase,
  isReady,
  newProxyState,
  proxyTransition,
} from '@switchwheel/proxy-core';
import { SimulatedProcess, type SimulationContext } from '../world/process.js';
import {
  type CallerResult,
  type SimulatedRequest,
  failedResult,
  streamToCaller,
  toCallerResult,
} from './caller-result.js';
import { OriginAttempts } from './origin-attempts.js';
import type { SimulatedOrigin } from './origin.js';
import { SimulatedChannel } from './channel.js';

/** Small measures, so that simulated results come in several parts and the larger ones stream. */
const streamLimits: TransferLimits = {
  maxBufferedBytes: 4000,
  chunkBytes: 900,
  windowBytes: 2500,
  maxCoalescedWaiters: 64,
};

/** A proxy in the simulation: all that ships but for sockets, which are virtual. */
export class SimulatedProxy extends SimulatedProcess {
  readonly role: 'edge' | 'shield';
  readonly #seeds: () => readonly Address[];
  #store: StateMachine<ProxyState, ProxyEvent> | undefined;
  #cache = new Cache(4 * 1024 * 1024);
  #edge: EdgeRequestHandler | undefined;
  #shield: ShieldRequestHandler | undefined;
  readonly #channels = new Map<Address, Set<SimulatedChannel>>();
  readonly #originAttempts: OriginAttempts;
  /** Whether it takes no new callers as it is about to end. */
  #isClosedToCallers = false;
  /** Whether this machine can't apply descriptions: a fault of its own. */
  failsToCompile = false;
  /** The generations that came into force, when, and in which incarnation. */
  readonly activations: {
    readonly generation: number;
    readonly at: number;
    readonly incarnationNumber: number;
  }[] = [];

  constructor(
    context: SimulationContext,
    role: 'edge' | 'shield',
    node: NodeId,
    address: Address,
    zone: string,
    seeds: () => readonly Address[],
    origins: () => readonly SimulatedOrigin[],
  ) {
    super(context, node, address, zone);
    this.role = role;
    this.#seeds = seeds;
    this.#originAttempts = new OriginAttempts(this, origins);
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

  override resume(): void {
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
    super.resume();
  }

  /** Counts of what happened in this incarnation: those of the edge, then of the shield. */
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
    this.#originAttempts.clear();
    this.#cache = new Cache(4 * 1024 * 1024);
    const first = newProxyState(member, this.#seeds(), {
      seed: Math.floor(this.context.random.next() * 4294967296),
    });
    const store = this.createStateMachine<ProxyState, ProxyEvent, ProxyEffect>(
      proxyTransition,
      first,
      (effect) => this.#runEffect(effect),
    );
    this.#store = store;
    const cacheLookup = new CacheLookup(this.#cache);
    const handlerContext = {
      now: (): Timestamp => this.clock,
      state: store.state,
      dispatch: (make: (now: Timestamp) => ProxyEvent): void => this.#dispatchNow(make),
    };
    this.#edge = new EdgeRequestHandler(
      `${this.node}.${this.incarnationNumber}`,
      cacheLookup,
      (to, handlers) => this.#openChannel(to, handlers),
      handlerContext,
      streamLimits,
    );
    this.#shield = new ShieldRequestHandler(
      {
        send: (name, request, handlers) => this.#originAttempts.start(name, request, handlers),
        cancel: (name) => this.#originAttempts.cancel(name),
      },
      cacheLookup,
      handlerContext,
      () => undefined,
      streamLimits,
    );
  }

  /** Opens a data channel to a shield. */
  #openChannel(to: Address, handlers: DataChannelHandlers): DataChannel {
    const other = this.context.processes.get(to);
    const channel = new SimulatedChannel(
      this.context,
      this,
      other,
      {
        ...handlers,
        onClosed: () => {
          this.#channels.get(to)?.delete(channel);
          handlers.onClosed();
        },
      },
      (accepted) =>
        other instanceof SimulatedProxy
          ? other.#accept(accepted)
          : { onFrame: () => undefined, onClosed: () => undefined },
    );
    const open = this.#channels.get(to) ?? new Set<SimulatedChannel>();
    this.#channels.set(to, open.add(channel));
    return channel.channel();
  }

  protected onEnd(): void {
    this.#channels.clear();
    this.#edge = undefined;
    this.#shield = undefined;
  }

  dispatch(make: (now: Timestamp) => ProcessEvent): void {
    this.#dispatchNow(make);
  }

  override peerDisconnected(address: Address): void {
    super.peerDisconnected(address);
    for (const channel of this.#channels.get(address) ?? []) channel.remoteProcessEnded();
  }

  #accept(
    channel: Parameters<ShieldRequestHandler['inbound']['accept']>[0],
  ): ReturnType<ShieldRequestHandler['inbound']['accept']> {
    return (
      this.#shield?.inbound.accept(channel, () => this.clock) ?? {
        onFrame: () => undefined,
        onClosed: () => undefined,
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
    const attempts = [...(this.#store?.state().leaders.values() ?? [])].reduce(
      (sum, one) => sum + one.attempts.size,
      0,
    );
    return (this.#edge?.openRequests ?? 0) + (this.#shield?.inbound.size ?? 0) + attempts;
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
      if ('failure' in found) {
        onResult(toCallerResult(found.failure));
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
        startStream: (status, _, length) => streamToCaller(this, status, length, onResult),
      };
      leave = edge.serve(found.route, call, caller);
    });
    return () => this.execute(() => leave(), incarnationNumber);
  }

  #runEffect(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'send':
      case 'log':
        this.runWireEffect(effect);
        break;
      case 'compileConfiguration':
        this.#compile(effect);
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
        this.#originAttempts.checkHealth(effect, (event) => this.#dispatchNow(event));
        break;
      case 'sendRequest':
      case 'cancelRequest':
      case 'startResponse':
      case 'failRequest':
        this.#edge?.run(effect);
        break;
      case 'startAttempt':
        this.#checkLeaseOf(effect);
        this.#shield?.run(effect);
        break;
      case 'cancelAttempt':
      case 'useResponse':
      case 'rejectRequest':
        this.#shield?.run(effect);
        break;
    }
  }

  #compile(effect: Extract<ProxyEffect, { kind: 'compileConfiguration' }>): void {
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
              issues: built.isOk ? [{ path: '(node)', text: 'lame' }] : built.error,
            },
      );
    });
  }

  /** An attempt that is started by a leader past its lease is a violation. */
  #checkLeaseOf(effect: Extract<ProxyEffect, { kind: 'startAttempt' }>): void {
    const state = this.#store?.state();
    const leader = state?.leaders.get(effect.leader);
    const candidate =
      leader === undefined ? undefined : state?.nodeAgent.candidates.get(leader.service);
    if (
      candidate === undefined ||
      !holdsLease(candidate, this.clock) ||
      heldEpoch(candidate) !== leader?.epoch
    )
      this.context.selfReportedViolations.push(
        `${this.node} sent a leg as ${effect.leader} past its lease at ${Math.round(this.context.eventQueue.now)}`,
      );
  }
}
