import {
  type Address,
  type Timestamp,
  type NodeId,
  type Store,
  toZoneName,
} from '@switchwheel/types';
import type { Member, WireEvent } from '@switchwheel/transport';
import { type Table, build, finish } from '@switchwheel/configuration';
import {
  type Cabin,
  type CabinEffect,
  type CabinEvent,
  cabinStep,
  newCabin,
} from '@switchwheel/proxy-core';
import { Actor, type Stage } from '../world/actor.js';

/** Descriptions that hollow nodes share once one of them compiled them. */
export type Tables = Map<string, Table>;

/** An edge's control side alone: it takes part in everything and carries no traffic. */
export class HollowNode extends Actor {
  readonly #seeds: () => readonly Address[];
  readonly #tables: Tables;
  #store: Store<Cabin, CabinEvent> | undefined;
  /** The last purge and the last generation that it acted on. */
  purged = 0;
  generation = 0;

  constructor(
    stage: Stage,
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

  get state(): Cabin | undefined {
    return this.alive ? this.#store?.state() : undefined;
  }

  /** As the shipped edge's loop. */
  protected override get pace(): readonly [number, number] {
    return [48, 52];
  }

  protected boot(): void {
    const member: Member = {
      node: this.node,
      role: 'edge',
      area: toZoneName(this.area),
      address: this.address,
      door: this.address,
      incarnation: this.incarnation,
    };
    const first = newCabin(member, this.#seeds(), {
      seed: Math.floor(this.stage.chance.next() * 4294967296),
    });
    this.#store = this.makeStore<Cabin, CabinEvent, CabinEffect>(cabinStep, first, (effect) =>
      this.#run(effect),
    );
  }

  protected ended(): void {
    this.#store = undefined;
  }

  event(make: (now: Timestamp) => WireEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  #run(effect: CabinEffect): void {
    switch (effect.kind) {
      case 'build':
        this.later(1, () => this.#build(effect));
        break;
      case 'adopt':
        this.generation = effect.table.generation;
        break;
      case 'purge':
        this.purged = effect.top;
        break;
      case 'kept':
      case 'unkept':
        break;
      case 'send':
      case 'log':
        this.wire(effect);
    }
  }

  #build({ offer, texts, before }: Extract<CabinEffect, { kind: 'build' }>): void {
    const key = `${offer.generation} ${offer.hash}`;
    const built =
      this.#tables.get(key) ??
      finish(build(texts, offer.generation, offer.hash, before)).unwrapOrElse((faults) => {
        throw new Error(JSON.stringify(faults));
      });
    this.#tables.set(key, built);
    this.#store?.dispatch({ kind: 'built', now: this.clock, offer, table: built });
  }
}
