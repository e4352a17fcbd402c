/** A registry: the production state machine, and the requests of operators and origins to it. */

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

/** Reply to an external request: HTTP status and body. */
export interface RegistryReply {
  readonly status: number;
  readonly body: string;
}

/** A simulated registry process. */
export class SimulatedRegistry extends SimulatedProcess {
  readonly #seeds: () => readonly Address[];
  /** Whether nodes without a configuration are offered one from disk hints while there is no primary. */
  readonly #offersDiskHints: boolean;
  #stateMachine: StateMachine<RegistryState, RegistryEvent> | undefined;
  #lastCorrelationId = 0;
  readonly #pendingReplies = new Map<number, (reply: RegistryReply) => void>();

  constructor(
    context: SimulationContext,
    node: NodeId,
    address: Address,
    zone: string,
    seeds: () => readonly Address[],
    offersDiskHints = false,
  ) {
    super(context, node, address, zone);
    this.#seeds = seeds;
    this.#offersDiskHints = offersDiskHints;
  }

  get state(): RegistryState | undefined {
    return this.isAlive ? this.#stateMachine?.state() : undefined;
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
    const randomState = { seed: Math.floor(this.context.random.next() * 4294967296) };
    const initialState = newRegistryState(
      member,
      this.#seeds(),
      this.clock,
      randomState,
      undefined,
      this.#offersDiskHints,
    );
    this.#stateMachine = this.createStateMachine<RegistryState, RegistryEvent, RegistryEffect>(
      registryTransition,
      initialState,
      (effect) => {
        if (effect.kind === 'reply') {
          const onReply = this.#pendingReplies.get(effect.correlationId);
          this.#pendingReplies.delete(effect.correlationId);
          onReply?.({ status: effect.status, body: effect.body });
        } else this.runProcessEffect(effect);
      },
    );
  }

  protected onTerminated(): void {
    this.#pendingReplies.clear();
  }

  dispatch(makeEvent: (now: Timestamp) => ProcessEvent): void {
    this.#stateMachine?.dispatch(makeEvent(this.clock));
  }

  /** Requests a graceful stop. */
  stop(): void {
    this.execute(() => this.#stateMachine?.dispatch({ kind: 'stopRequested', now: this.clock }));
  }

  /** Handles a request of an operator or origin; there is no reply if the process dies first. */
  handleRequest(request: ExternalRequest, onReply: (reply: RegistryReply) => void): void {
    this.execute(() => {
      this.#lastCorrelationId += 1;
      this.#pendingReplies.set(this.#lastCorrelationId, onReply);
      this.#stateMachine?.dispatch({
        kind: 'requestReceived',
        now: this.clock,
        correlationId: this.#lastCorrelationId,
        request,
      });
    });
  }
}
