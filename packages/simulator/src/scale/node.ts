import {
  type Address,
  type Timestamp,
  type NodeId,
  type StateMachine,
  toZoneName,
} from '@switchwheel/types';
import type { Member, ProcessEvent } from '@switchwheel/transport';
import {
  type CompiledConfiguration,
  buildConfiguration,
  runToCompletion,
} from '@switchwheel/configuration';
import {
  type NodeAgent,
  type NodeAgentEffect,
  type NodeAgentEvent,
  nodeAgentTransition,
  newNodeAgent,
} from '@switchwheel/proxy-core';
import { SimulatedProcess, type SimulationContext } from '../world/process.js';

/** Descriptions that hollow nodes share once one of them compiled them. */
export type Tables = Map<string, CompiledConfiguration>;

/** An edge's control side alone: it takes part in everything and carries no traffic. */
export class HollowNode extends SimulatedProcess {
  readonly #seeds: () => readonly Address[];
  readonly #tables: Tables;
  #store: StateMachine<NodeAgent, NodeAgentEvent> | undefined;
  /** The last purge and the last generation that it acted on. */
  purged = 0;
  generation = 0;

  constructor(
    stage: SimulationContext,
    node: NodeId,
    address: Address,
    area: string,
    seeds: () => readonly Address[],
    tables: Tables,
  ) {
    super(stage, node, address, area);
    this.#seeds = seeds;
    this.#tables = tables;
  }

  get state(): NodeAgent | undefined {
    return this.isAlive ? this.#store?.state() : undefined;
  }

  /** As the shipped edge's loop. */
  protected override get tickIntervalMs(): readonly [number, number] {
    return [48, 52];
  }

  protected onStart(): void {
    const member: Member = {
      node: this.node,
      role: 'edge',
      area: toZoneName(this.zone),
      address: this.address,
      door: this.address,
      incarnation: this.incarnation,
    };
    const first = newNodeAgent(member, this.#seeds(), {
      seed: Math.floor(this.context.random.next() * 4294967296),
    });
    this.#store = this.makeStore<NodeAgent, NodeAgentEvent, NodeAgentEffect>(
      nodeAgentTransition,
      first,
      (effect) => this.#run(effect),
    );
  }

  protected onEnd(): void {
    this.#store = undefined;
  }

  dispatch(make: (now: Timestamp) => ProcessEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  #run(effect: NodeAgentEffect): void {
    switch (effect.kind) {
      case 'compileConfiguration':
        this.schedule(1, () => this.#build(effect));
        break;
      case 'adoptConfiguration':
        this.generation = effect.compiledConfiguration.generation;
        break;
      case 'purgeCache':
        this.purged = effect.lastPurgeSeq;
        break;
      case 'startLeading':
      case 'stopLeading':
        break;
      case 'send':
      case 'log':
        this.runWireEffect(effect);
    }
  }

  #build({
    offer,
    chunkTexts,
    previous,
  }: Extract<NodeAgentEffect, { kind: 'compileConfiguration' }>): void {
    const key = `${offer.generation} ${offer.hash}`;
    const built =
      this.#tables.get(key) ??
      runToCompletion(
        buildConfiguration(chunkTexts, offer.generation, offer.hash, previous),
      ).unwrapOrElse((faults) => {
        throw new Error(JSON.stringify(faults));
      });
    this.#tables.set(key, built);
    this.#store?.dispatch({
      kind: 'configurationCompiled',
      now: this.clock,
      offer,
      compiledConfiguration: built,
    });
  }
}
