import {
  type Address,
  type Timestamp,
  type NodeId,
  type StateMachine,
  toZoneName,
} from '@switchwheel/types';
import type { Member, ProcessEvent } from '@switchwheel/transport';
import {
  type ExternalRequest,
  type RegistryState,
  type RegistryEffect,
  type RegistryEvent,
  newRegistryState,
  registryTransition,
} from '@switchwheel/membership';
import { Actor, type Stage } from '../world/actor.js';

export interface Told {
  readonly status: number;
  readonly body: string;
}

/** A registry in the simulation. */
export class SimRegistry extends Actor {
  readonly #seeds: () => readonly Address[];
  /** Whether nodes that run nothing may start on what disks hold. */
  readonly #eager: boolean;
  #store: StateMachine<RegistryState, RegistryEvent> | undefined;
  #ref = 0;
  readonly #waiting = new Map<number, (told: Told) => void>();

  constructor(
    stage: Stage,
    node: NodeId,
    address: Address,
    area: string,
    seeds: () => readonly Address[],
    eager = false,
  ) {
    super(stage, node, address, area);
    this.#seeds = seeds;
    this.#eager = eager;
  }

  get state(): RegistryState | undefined {
    return this.alive ? this.#store?.state() : undefined;
  }

  protected boot(): void {
    const member: Member = {
      node: this.node,
      role: 'registry',
      area: toZoneName(this.area),
      address: this.address,
      door: this.address,
      incarnation: this.incarnation,
    };
    const dice = { seed: Math.floor(this.stage.chance.next() * 4294967296) };
    const first = newRegistryState(member, this.#seeds(), this.clock, dice, undefined, this.#eager);
    this.#store = this.makeStore<RegistryState, RegistryEvent, RegistryEffect>(
      registryTransition,
      first,
      (effect) => {
        if (effect.kind === 'reply') {
          const done = this.#waiting.get(effect.correlationId);
          this.#waiting.delete(effect.correlationId);
          done?.({ status: effect.status, body: effect.body });
        } else this.wire(effect);
      },
    );
  }

  protected ended(): void {
    this.#waiting.clear();
  }

  event(make: (now: Timestamp) => ProcessEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  /** Asks the process to stop: its vote is taken over by others meanwhile. */
  stop(): void {
    this.act(() => this.#store?.dispatch({ kind: 'stopRequested', now: this.clock }));
  }

  /** A call from outside; no answer ever comes if the process dies first. */
  call(call: ExternalRequest, done: (told: Told) => void): void {
    this.act(() => {
      this.#ref += 1;
      this.#waiting.set(this.#ref, done);
      this.#store?.dispatch({
        kind: 'requestReceived',
        now: this.clock,
        correlationId: this.#ref,
        request: call,
      });
    });
  }
}
