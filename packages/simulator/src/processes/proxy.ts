/** An edge or a shield: the production state machine and request handlers on virtual channels. */

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

/** Small limits, so that responses have several chunks and the larger objects are streamed. */
const transferLimits: TransferLimits = {
  maxBufferedBytes: 4000,
  chunkBytes: 900,
  windowBytes: 2500,
  maxCoalescedWaiters: 64,
};

/** A simulated proxy: production code, with virtual sockets. */
export class SimulatedProxy extends SimulatedProcess {
  readonly role: 'edge' | 'shield';
  readonly #seeds: () => readonly Address[];
  #stateMachine: StateMachine<ProxyState, ProxyEvent> | undefined;
  #cache = new Cache(4 * 1024 * 1024);
  #edge: EdgeRequestHandler | undefined;
  #shield: ShieldRequestHandler | undefined;
  readonly #channels = new Map<Address, Set<SimulatedChannel>>();
  readonly #originAttempts: OriginAttempts;
  /** Whether new requests are refused because the process is stopping. */
  #isClosedToCallers = false;
  /** Injected fault: this node fails to compile every configuration. */
  failsToCompile = false;
  /** Activated generations, with the time and the incarnation. */
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
    return this.isAlive ? this.#stateMachine?.state() : undefined;
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
    const hasAttemptsPastLease = [...(state?.activeLeaders ?? [])].some(([service, leaderName]) => {
      const candidate = state?.nodeAgent.candidates.get(service);
      return (
        candidate !== undefined &&
        !holdsLease(candidate, clock) &&
        (state?.leaders.get(leaderName)?.attempts.size ?? 0) > 0
      );
    });
    if (this.isFrozen && hasAttemptsPastLease)
      this.context.coverage.record(
        'a service leader resumed past its lease with attempts in progress',
      );
    super.resume();
  }

  /** Counters of this incarnation: those of the edge request handler, then of the shield's. */
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
    const lastActivation = this.activations.at(-1);
    if (
      lastActivation !== undefined &&
      this.context.highestAcknowledgedGeneration() > lastActivation.generation
    )
      this.context.coverage.record('R5: a node restarted after a newer generation was accepted');
    this.#isClosedToCallers = false;
    this.#originAttempts.clear();
    this.#cache = new Cache(4 * 1024 * 1024);
    const initialState = newProxyState(member, this.#seeds(), {
      seed: Math.floor(this.context.random.next() * 4294967296),
    });
    const stateMachine = this.createStateMachine<ProxyState, ProxyEvent, ProxyEffect>(
      proxyTransition,
      initialState,
      (effect) => this.#runEffect(effect),
    );
    this.#stateMachine = stateMachine;
    const cacheLookup = new CacheLookup(this.#cache);
    const handlerContext = {
      now: (): Timestamp => this.clock,
      state: stateMachine.state,
      dispatch: (makeEvent: (now: Timestamp) => ProxyEvent): void => this.#dispatchNow(makeEvent),
    };
    this.#edge = new EdgeRequestHandler(
      `${this.node}.${this.incarnationNumber}`,
      cacheLookup,
      (to, handlers) => this.#openChannel(to, handlers),
      handlerContext,
      transferLimits,
    );
    this.#shield = new ShieldRequestHandler(
      {
        send: (attemptName, request, handlers) =>
          this.#originAttempts.start(attemptName, request, handlers),
        cancel: (attemptName) => this.#originAttempts.cancel(attemptName),
      },
      cacheLookup,
      handlerContext,
      () => undefined,
      transferLimits,
    );
  }

  #openChannel(to: Address, handlers: DataChannelHandlers): DataChannel {
    const shield = this.context.processes.get(to);
    const channel = new SimulatedChannel(
      this.context,
      this,
      shield,
      {
        ...handlers,
        onClosed: () => {
          this.#channels.get(to)?.delete(channel);
          handlers.onClosed();
        },
      },
      (accepted) =>
        shield instanceof SimulatedProxy
          ? shield.#accept(accepted)
          : { onFrame: () => undefined, onClosed: () => undefined },
    );
    const channels = this.#channels.get(to) ?? new Set<SimulatedChannel>();
    this.#channels.set(to, channels.add(channel));
    return channel.channel();
  }

  protected onTerminated(): void {
    this.#channels.clear();
    this.#edge = undefined;
    this.#shield = undefined;
  }

  dispatch(makeEvent: (now: Timestamp) => ProcessEvent): void {
    this.#dispatchNow(makeEvent);
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

  /** Stops the process gracefully, in the phases of the production program; calls back when it has ended. */
  stop(onStopped: (phase: ShutdownPhase) => void): void {
    this.execute(() => {
      const stopRequestedAt = this.clock;
      if (this.#openWorkCount() > 0)
        this.context.coverage.record('R11: a node was stopped with requests in progress');
      if ((this.state?.activeLeaders.size ?? 0) > 0)
        this.context.coverage.record('R11: a service leader was stopped');
      this.#dispatchNow((now) => ({ kind: 'stopRequested', now }));
      const checkPhase = (): void => {
        const phase = shutdownPhase(this.role, stopRequestedAt, this.#openWorkCount(), this.clock);
        this.#isClosedToCallers = phase !== 'serving';
        if (phase === 'serving' || phase === 'draining') {
          this.schedule(20, checkPhase);
          return;
        }
        if (phase === 'aborting') this.#edge?.abortAll('this node stops');
        this.schedule(phase === 'aborting' ? 100 : 0, () => {
          this.kill('planned');
          onStopped(phase);
        });
      };
      checkPhase();
    });
  }

  #openWorkCount(): number {
    const attempts = [...(this.#stateMachine?.state().leaders.values() ?? [])].reduce(
      (sum, leader) => sum + leader.attempts.size,
      0,
    );
    return (this.#edge?.openRequests ?? 0) + (this.#shield?.inbound.size ?? 0) + attempts;
  }

  #dispatchNow(makeEvent: (now: Timestamp) => ProxyEvent): void {
    this.#stateMachine?.dispatch(makeEvent(this.clock));
  }

  /** Serves a caller's request; there is no result if the process dies first. Returns the function that disconnects the caller. */
  serve(request: SimulatedRequest, onResult: (result: CallerResult) => void): () => void {
    let disconnect = (): void => undefined;
    const { incarnationNumber } = this;
    if (!this.isAlive) {
      onResult(failedResult('unready', 'connection refused', 1000));
      return disconnect;
    }
    this.execute(() => {
      if (this.#isClosedToCallers) {
        onResult(failedResult('unready', 'connection refused', 1000));
        return;
      }
      const edge = this.#edge;
      const lookup = edge?.findRoute(request.method, 'sim', request.path);
      if (edge === undefined || lookup === undefined) return;
      if ('failure' in lookup) {
        onResult(toCallerResult(lookup.failure));
        return;
      }
      const clientRequest: ClientRequest = {
        method: request.method,
        host: 'sim',
        target: request.path,
        fields: request.fields,
        body: Buffer.from(request.method === 'POST' ? request.id : ''),
        remoteAddress: '10.9.9.9',
      };
      const connection: ClientConnection = {
        reply: (reply) => onResult(toCallerResult(reply)),
        startStream: (status, _, length) => streamToCaller(this, status, length, onResult),
      };
      disconnect = edge.serve(lookup.route, clientRequest, connection);
    });
    return () => this.execute(() => disconnect(), incarnationNumber);
  }

  #runEffect(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'send':
      case 'log':
        this.runProcessEffect(effect);
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
        this.#checkLeaderLease(effect);
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
      const compiled = runToCompletion(
        buildConfiguration(
          effect.chunkTexts,
          effect.offer.generation,
          effect.offer.hash,
          effect.previous,
        ),
      );
      this.#dispatchNow((now) =>
        compiled.isOk && !this.failsToCompile
          ? {
              kind: 'configurationCompiled',
              now,
              offer: effect.offer,
              compiledConfiguration: compiled.value,
            }
          : {
              kind: 'compileFailed',
              now,
              offer: effect.offer,
              issues: compiled.isOk
                ? [{ path: '(node)', text: 'injected compile failure' }]
                : compiled.error,
            },
      );
    });
  }

  /** Reports a violation if a leader starts an attempt past its lease. */
  #checkLeaderLease(effect: Extract<ProxyEffect, { kind: 'startAttempt' }>): void {
    const state = this.#stateMachine?.state();
    const leader = state?.leaders.get(effect.leader);
    const candidate =
      leader === undefined ? undefined : state?.nodeAgent.candidates.get(leader.service);
    if (
      candidate === undefined ||
      !holdsLease(candidate, this.clock) ||
      heldEpoch(candidate) !== leader?.epoch
    )
      this.context.selfReportedViolations.push(
        `${this.node} started an attempt as ${effect.leader} past its lease at ${Math.round(this.context.eventQueue.now)}`,
      );
  }
}
