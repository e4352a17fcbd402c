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
import type { Agenda } from './agenda.js';
import type { Chance } from './chance.js';
import type { Tried } from '../rules/tried.js';
import type { Net } from './net.js';

/** Measures what actors send and what their machines' steps take. */
export interface Meter {
  readonly sent: (from: Actor, to: Actor, frame: Frame) => void;
  readonly step: <T>(actor: Actor, work: () => T) => T;
}

/** What all actors of one run share. */
export interface Stage {
  readonly agenda: Agenda;
  readonly chance: Chance;
  readonly net: Net;
  readonly actors: Map<Address, Actor>;
  /** Called after each event that any machine acted on. */
  after: (actor: Actor) => void;
  readonly logs: string[];
  readonly tried: Tried;
  /** What an actor saw itself do that it may not. */
  readonly breaches: string[];
  /** The highest generation that any operator was told. */
  readonly generation: () => number;
  readonly meter?: Meter;
}

/** A process in the simulation: started, killed, frozen and woken; it runs the machine that ships. */
export abstract class Actor {
  readonly stage: Stage;
  readonly node: NodeId;
  readonly address: Address;
  readonly area: string;
  /** A machine's clock starts anywhere and runs a little fast or slow. */
  readonly #skew: number;
  readonly #rate: number;
  #alive = false;
  #frozen = false;
  #life = 0;
  readonly #held: (() => void)[] = [];
  readonly #ends = new Map<number, 'killed' | 'planned'>();

  constructor(stage: Stage, node: NodeId, address: Address, area: string) {
    this.stage = stage;
    this.node = node;
    this.address = address;
    this.area = area;
    this.#skew = stage.chance.between(1000, 1_000_000);
    this.#rate = 1 + stage.chance.between(-0.005, 0.005);
    stage.actors.set(address, this);
  }

  get alive(): boolean {
    return this.#alive;
  }

  get frozen(): boolean {
    return this.#frozen;
  }

  get life(): number {
    return this.#life;
  }

  get incarnation(): Incarnation {
    return toIncarnation(this.#life);
  }

  /** The time by this machine's own clock. */
  get clock(): Timestamp {
    return toTimestamp(this.#skew + this.stage.agenda.now * this.#rate);
  }

  get peer(): Peer {
    return { node: this.node, address: this.address, incarnation: this.incarnation };
  }

  start(): void {
    if (this.#alive) return;
    this.#alive = true;
    this.#frozen = false;
    this.#held.splice(0);
    this.#life += 1;
    this.boot();
    this.#tick(this.#life);
  }

  /** How a life of it came to its end. */
  endOf(life: number): 'alive' | 'killed' | 'planned' {
    return this.#ends.get(life) ?? 'alive';
  }

  kill(how: 'killed' | 'planned' = 'killed'): void {
    if (!this.#alive) return;
    this.#ends.set(this.#life, how);
    this.#alive = false;
    this.#frozen = false;
    this.#held.splice(0);
    this.ended();
    // Channels end: whoever can be told hears of it.
    for (const other of this.stage.actors.values()) {
      if (other !== this && other.alive)
        this.stage.net.carry(this.node, other.node, () =>
          other.act(() => other.gone(this.address)),
        );
    }
  }

  freeze(): void {
    if (this.#alive) this.#frozen = true;
  }

  /** Wakes: all that came meanwhile is acted on at once, in its order. */
  wake(): void {
    if (!this.#frozen) return;
    this.#frozen = false;
    for (const act of this.#held.splice(0)) if (this.#alive) act();
  }

  /** Runs something as part of this process: later if it is frozen, not at all if it is another life. */
  act(work: () => void, life = this.#life): void {
    const guarded = (): void => {
      if (!this.#alive || life !== this.#life) return;
      work();
      this.stage.after(this);
    };
    if (this.#frozen) this.#held.push(guarded);
    else guarded();
  }

  /** Lets something come about later, for this life of the process only. */
  later(span: number, work: () => void): void {
    const life = this.#life;
    this.stage.agenda.after(span, () => this.act(work, life));
  }

  #tick(life: number): void {
    this.stage.agenda.after(this.stage.chance.between(...this.pace), () => {
      if (!this.#alive || life !== this.#life) return;
      if (!this.#frozen) this.act(() => this.event((now) => ({ kind: 'tick', now })));
      this.#tick(life);
    });
  }

  protected wire(effect: ProcessEffect): void {
    if (effect.kind === 'log') {
      if (effect.level !== 'info')
        this.stage.logs.push(
          `${Math.round(this.stage.agenda.now)} ${this.node} ${effect.message} ${[...(effect.fields ?? [])].map(([key, value]) => `${key}=${String(value)}`).join(' ')}`,
        );
      return;
    }
    this.send(effect.to, effect.frame);
  }

  protected send(to: Address, frame: Frame): void {
    const other = this.stage.actors.get(to);
    if (other === undefined) return;
    this.stage.meter?.sent(this, other, frame);
    if (this.stage.net.refuses(this.node, other.node)) {
      this.later(1, () => this.gone(to));
      return;
    }
    const from = this.peer;
    const life = other.life;
    // Now and then what is sent goes through the real coding, so that frames and their checks stay in step.
    const told = this.stage.chance.hit(0.02)
      ? deserializeFrame(serializeFrame(frame)).unwrapOrElse((fault) => {
          throw new Error(`${frame.kind}: ${fault.text}`);
        })
      : frame;
    this.stage.net.carry(this.node, other.node, () => {
      if (other.life === life)
        other.act(
          () => other.event((now) => ({ kind: 'frameReceived', now, from, frame: told })),
          life,
        );
    });
  }

  gone(address: Address): void {
    this.event((now) => ({ kind: 'peerDisconnected', now, address }));
  }

  /** The least and the most milliseconds between two ticks. */
  protected get pace(): readonly [number, number] {
    return [20, 30];
  }

  protected abstract boot(): void;
  protected abstract ended(): void;
  abstract event(make: (now: Timestamp) => ProcessEvent): void;

  protected makeStore<S, E, F>(
    reduce: (state: S, event: E) => Transition<S, F>,
    first: S,
    run: (effect: F) => void,
  ): StateMachine<S, E> {
    const { meter } = this.stage;
    return createStateMachine<S, E, F>(
      meter === undefined ? reduce : (state, event) => meter.step(this, () => reduce(state, event)),
      first,
      run,
    );
  }
}
