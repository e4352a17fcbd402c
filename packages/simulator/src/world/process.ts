/**
 * Base of all simulated processes: start, kill, freeze and resume, a clock of its own, ticks and
 * frames.
 */

import {
  type Address,
  type Incarnation,
  type Timestamp,
  type NodeId,
  type StateMachine,
  createStateMachine,
  toIncarnation,
  toTimestamp,
} from '@switchwheel/types';
import {
  type Peer,
  type Frame,
  type ProcessEffect,
  type ProcessEvent,
  deserializeFrame,
  serializeFrame,
} from '@switchwheel/transport';
import type { Transition } from '@switchwheel/types';
import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './seeded-random.js';
import type { Coverage } from '../rules/coverage.js';
import type { Network } from './network.js';

/** Receives each control frame that a process sends. Must not draw random numbers or schedule events. */
export interface FrameObserver {
  readonly frameSent: (from: SimulatedProcess, to: SimulatedProcess, frame: Frame) => void;
}

/** State shared by all processes of one run. */
export interface SimulationContext {
  readonly eventQueue: EventQueue;
  readonly random: SeededRandom;
  readonly network: Network;
  readonly processes: Map<Address, SimulatedProcess>;
  /** Called after each event that a process handled. */
  afterEvent: (process: SimulatedProcess) => void;
  readonly logs: string[];
  readonly coverage: Coverage;
  /** Violations that processes detected in their own actions. */
  readonly selfReportedViolations: string[];
  /** Highest configuration generation that was acknowledged to any operator. */
  readonly highestAcknowledgedGeneration: () => number;
  readonly frameObserver?: FrameObserver | undefined;
}

/** A simulated process that runs a production state machine. */
export abstract class SimulatedProcess {
  readonly context: SimulationContext;
  readonly node: NodeId;
  readonly address: Address;
  readonly zone: string;
  /** Offset and drift of the local clock against virtual time. */
  readonly #clockOffset: number;
  readonly #clockRate: number;
  #isAlive = false;
  #isFrozen = false;
  #incarnationNumber = 0;
  readonly #heldWork: (() => void)[] = [];
  readonly #terminations = new Map<number, 'killed' | 'planned'>();

  constructor(context: SimulationContext, node: NodeId, address: Address, zone: string) {
    this.context = context;
    this.node = node;
    this.address = address;
    this.zone = zone;
    this.#clockOffset = context.random.uniform(1000, 1_000_000);
    this.#clockRate = 1 + context.random.uniform(-0.005, 0.005);
    context.processes.set(address, this);
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  get isFrozen(): boolean {
    return this.#isFrozen;
  }

  get incarnationNumber(): number {
    return this.#incarnationNumber;
  }

  get incarnation(): Incarnation {
    return toIncarnation(this.#incarnationNumber);
  }

  /** Time of the local clock. */
  get clock(): Timestamp {
    return toTimestamp(this.#clockOffset + this.context.eventQueue.now * this.#clockRate);
  }

  get peer(): Peer {
    return { node: this.node, address: this.address, incarnation: this.incarnation };
  }

  start(): void {
    if (this.#isAlive) return;
    this.#isAlive = true;
    this.#isFrozen = false;
    this.#heldWork.splice(0);
    this.#incarnationNumber += 1;
    this.onStart();
    this.#tick(this.#incarnationNumber);
  }

  /** How an incarnation ended: killed, or by a planned stop. */
  terminationOf(incarnationNumber: number): 'alive' | 'killed' | 'planned' {
    return this.#terminations.get(incarnationNumber) ?? 'alive';
  }

  kill(termination: 'killed' | 'planned' = 'killed'): void {
    if (!this.#isAlive) return;
    this.#terminations.set(this.#incarnationNumber, termination);
    this.#isAlive = false;
    this.#isFrozen = false;
    this.#heldWork.splice(0);
    this.onTerminated();
    // Reachable peers see their connections to this process close.
    for (const other of this.context.processes.values()) {
      if (other !== this && other.isAlive)
        this.context.network.sendDatagram(this.node, other.node, () =>
          other.execute(() => other.peerDisconnected(this.address)),
        );
    }
  }

  freeze(): void {
    if (this.#isAlive) this.#isFrozen = true;
  }

  /** Resumes a frozen process: all work that arrived meanwhile runs at once, in order. */
  resume(): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    for (const work of this.#heldWork.splice(0)) if (this.#isAlive) work();
  }

  /** Runs work in this process: deferred while it is frozen, dropped if the incarnation has ended. */
  execute(work: () => void, incarnationNumber = this.#incarnationNumber): void {
    const runIfAlive = (): void => {
      if (!this.#isAlive || incarnationNumber !== this.#incarnationNumber) return;
      work();
      this.context.afterEvent(this);
    };
    if (this.#isFrozen) this.#heldWork.push(runIfAlive);
    else runIfAlive();
  }

  /** Schedules work that is dropped if the current incarnation has ended by then. */
  schedule(delayMs: number, work: () => void): void {
    const incarnationNumber = this.#incarnationNumber;
    this.context.eventQueue.schedule(delayMs, () => this.execute(work, incarnationNumber));
  }

  #tick(incarnationNumber: number): void {
    this.context.eventQueue.schedule(this.context.random.uniform(...this.tickIntervalMs), () => {
      if (!this.#isAlive || incarnationNumber !== this.#incarnationNumber) return;
      if (!this.#isFrozen) this.execute(() => this.dispatch((now) => ({ kind: 'tick', now })));
      this.#tick(incarnationNumber);
    });
  }

  protected runProcessEffect(effect: ProcessEffect): void {
    if (effect.kind === 'log') {
      if (effect.level !== 'info')
        this.context.logs.push(
          `${Math.round(this.context.eventQueue.now)} ${this.node} ${effect.message} ${[...(effect.fields ?? [])].map(([key, value]) => `${key}=${String(value)}`).join(' ')}`,
        );
      return;
    }
    this.send(effect.to, effect.frame);
  }

  protected send(to: Address, frame: Frame): void {
    const other = this.context.processes.get(to);
    if (other === undefined) return;
    this.context.frameObserver?.frameSent(this, other, frame);
    if (this.context.network.isRefused(this.node, other.node)) {
      this.schedule(1, () => this.peerDisconnected(to));
      return;
    }
    const from = this.peer;
    const incarnationNumber = other.incarnationNumber;
    // A sample of the frames goes through the real codec, so that its validation is tested too.
    const received = this.context.random.happens(0.02)
      ? deserializeFrame(serializeFrame(frame)).unwrapOrElse((parseError) => {
          throw new Error(`${frame.kind}: ${parseError.text}`);
        })
      : frame;
    this.context.network.sendDatagram(this.node, other.node, () => {
      if (other.incarnationNumber === incarnationNumber)
        other.execute(
          () => other.dispatch((now) => ({ kind: 'frameReceived', now, from, frame: received })),
          incarnationNumber,
        );
    });
  }

  peerDisconnected(address: Address): void {
    this.dispatch((now) => ({ kind: 'peerDisconnected', now, address }));
  }

  /** Minimum and maximum interval between two ticks, in milliseconds. */
  protected get tickIntervalMs(): readonly [number, number] {
    return [20, 30];
  }

  protected abstract onStart(): void;
  protected abstract onTerminated(): void;
  abstract dispatch(makeEvent: (now: Timestamp) => ProcessEvent): void;

  protected createStateMachine<State, Event, Effect>(
    reducer: (state: State, event: Event) => Transition<State, Effect>,
    initialState: State,
    runEffect: (effect: Effect) => void,
  ): StateMachine<State, Event> {
    return createStateMachine<State, Event, Effect>(reducer, initialState, runEffect);
  }
}
