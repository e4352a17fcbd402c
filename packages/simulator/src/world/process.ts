/**
 * What every simulated process has in common: starts, ends, freezes, its own clock, ticks and
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

/** Sees each control frame that a process sends to another; it draws nothing and schedules nothing. */
export interface FrameObserver {
  readonly frameSent: (from: SimulatedProcess, to: SimulatedProcess, frame: Frame) => void;
}

/** What all actors of one run share. */
export interface SimulationContext {
  readonly eventQueue: EventQueue;
  readonly random: SeededRandom;
  readonly network: Network;
  readonly processes: Map<Address, SimulatedProcess>;
  /** Called after each event that any machine acted on. */
  afterEvent: (process: SimulatedProcess) => void;
  readonly logs: string[];
  readonly coverage: Coverage;
  /** What an actor saw itself do that it may not. */
  readonly selfReportedViolations: string[];
  /** The highest generation that was acknowledged to any operator. */
  readonly highestAcknowledgedGeneration: () => number;
  readonly frameObserver?: FrameObserver | undefined;
}

/** A process in the simulation: started, killed, frozen and woken; it runs the machine that ships. */
export abstract class SimulatedProcess {
  readonly context: SimulationContext;
  readonly node: NodeId;
  readonly address: Address;
  readonly zone: string;
  /** A machine's clock starts anywhere and runs a little fast or slow. */
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

  /** The time by this machine's own clock. */
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

  /** How one of its incarnations came to its end. */
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
    // Connections end: the peers that can be reached see it.
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

  /** Wakes: all that came meanwhile is acted on at once, in its order. */
  resume(): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    for (const work of this.#heldWork.splice(0)) if (this.#isAlive) work();
  }

  /** Runs something as part of this process: later if it is frozen, not at all if it is another incarnation. */
  execute(work: () => void, incarnationNumber = this.#incarnationNumber): void {
    const runIfAlive = (): void => {
      if (!this.#isAlive || incarnationNumber !== this.#incarnationNumber) return;
      work();
      this.context.afterEvent(this);
    };
    if (this.#isFrozen) this.#heldWork.push(runIfAlive);
    else runIfAlive();
  }

  /** Schedules something for this incarnation of the process only. */
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
    // Now and then what is sent goes through the real coding, so that frames and their checks stay in step.
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

  /** The least and the most milliseconds between two ticks. */
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
