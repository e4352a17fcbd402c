/** A registry: the shipped state machine, and the requests of operators and origins to it. */

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
import { SimulatedProcess, type SimulationContext } from '../world/process.js';

/** A registry's reply to a request: an HTTP status and a body. */
export interface RegistryReply {
  readonly status: number;
  readonly body: string;
}

/** A registry in the simulation. */
export class SimulatedRegistry extends SimulatedProcess {
  readonly #seeds: () => readonly Address[];
  /** Whether nodes that run nothing may start on what disks hold. */
  readonly #startsFromDisks: boolean;
  #store: StateMachine<RegistryState, RegistryEvent> | undefined;
  #lastRequest = 0;
  readonly #pendingReplies = new Map<number, (told: RegistryReply) => void>();

  constructor(
    context: SimulationContext,
    node: NodeId,
    address: Address,
    area: string,
    seeds: () => readonly Address[],
    eager = false,
  ) {
    super(context, node, address, area);
    this.#seeds = seeds;
    this.#startsFromDisks = eager;
  }

  get state(): RegistryState | undefined {
    return this.isAlive ? this.#store?.state() : undefined;
  }

  protected onStart(): void {
    const member: Member = {
      node: this.node,
      role: 'registry',
      area: toZoneName(this.zone),
      address: this.address,
      door: this.address,
      incarnation: this.incarnation,
    };
    const dice = { seed: Math.floor(this.context.random.next() * 4294967296) };
    const first = newRegistryState(
      member,
      this.#seeds(),
      this.clock,
      dice,
      undefined,
      this.#startsFromDisks,
    );
    this.#store = this.createStateMachine<RegistryState, RegistryEvent, RegistryEffect>(
      registryTransition,
      first,
      (effect) => {
        if (effect.kind === 'reply') {
          const done = this.#pendingReplies.get(effect.correlationId);
          this.#pendingReplies.delete(effect.correlationId);
          done?.({ status: effect.status, body: effect.body });
        } else this.runWireEffect(effect);
      },
    );
  }

  protected onEnd(): void {
    this.#pendingReplies.clear();
  }

  dispatch(make: (now: Timestamp) => ProcessEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  /** Asks the process to stop: its vote is taken over by others meanwhile. */
  stop(): void {
    this.execute(() => this.#store?.dispatch({ kind: 'stopRequested', now: this.clock }));
  }

  /** A call from outside; no answer ever comes if the process dies first. */
  handleRequest(handleRequest: ExternalRequest, onReply: (told: RegistryReply) => void): void {
    this.execute(() => {
      this.#lastRequest += 1;
      this.#pendingReplies.set(this.#lastRequest, onReply);
      this.#store?.dispatch({
        kind: 'requestReceived',
        now: this.clock,
        correlationId: this.#lastRequest,
        request: handleRequest,
      });
    });
  }
}
