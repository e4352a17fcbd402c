/**
 * Operators whose orders race: they hand in descriptions from a few contents, so that contents return, through any
 * registry, and lose some answers on purpose, after which the same order is sent again to another one.
 */
import got from 'got';
import * as v from 'valibot';
import type { Plan } from '../deployment/schema.js';
import { pause } from '../fleet/fleet.js';
import type { Chance } from './chance.js';

/** An order, and what its operator was told. */
export interface Order {
  readonly id: string;
  readonly content: number;
  generation: number | undefined;
  /** How often it was told as taken. */
  confirmations: number;
}

/** Two answers to one order that do not agree. */
export interface Disagreement {
  readonly id: string;
  readonly first: number;
  readonly then: number;
}

const contents = 4;
const leastWaitlist = 300;
const answerMs = 9000;
/** How soon an operator gives up on an answer that it is to lose. */
const lostAnswerMs = [5, 60] as const;
const lostShare = 0.25;
const tries = 4;
const gapMs = [40, 900] as const;

const acceptance = v.object({ generation: v.number() });
const looseDescription = v.looseObject({ services: v.array(v.looseObject({})) });

export class Operators {
  readonly orders: Order[] = [];
  readonly disagreements: Disagreement[] = [];
  readonly #plan: Plan;
  readonly #registries: readonly string[];
  readonly #chance: Chance;
  #working = true;

  constructor(plan: Plan, registries: readonly string[], chance: Chance) {
    this.#plan = plan;
    this.#registries = registries;
    this.#chance = chance;
  }

  /** Hands in order after order until it is stopped. */
  async work(): Promise<void> {
    while (this.#working) {
      await pause(this.#chance.between(...gapMs));
      const pair = this.#chance.hit(0.6) ? [this.#order(), this.#order()] : [this.#order()];
      await Promise.all(pair);
    }
  }

  stop(): void {
    this.#working = false;
  }

  /** The description of one content. */
  describe(content: number): object {
    const base = v.parse(looseDescription, this.#plan.description);
    const waitlist = leastWaitlist + content;
    return { ...base, services: base.services.map((one) => ({ ...one, waitlist })) };
  }

  /** The highest generation that any operator was told. */
  get newest(): Order | undefined {
    return this.orders.reduce<Order | undefined>(
      (best, one) => ((one.generation ?? 0) > (best?.generation ?? 0) ? one : best),
      undefined,
    );
  }

  async #order(): Promise<void> {
    const content = Math.floor(this.#chance.next() * contents);
    const order: Order = {
      id: `soak-${this.orders.length}`,
      content,
      generation: undefined,
      confirmations: 0,
    };
    this.orders.push(order);
    for (let turn = 0; turn < tries; turn += 1) {
      const isLost = turn === 0 && this.#chance.hit(lostShare);
      const limit = isLost ? this.#chance.between(...lostAnswerMs) : answerMs;
      const done = await this.#send(order, limit);
      if (done) return;
      await pause(this.#chance.between(...gapMs));
    }
  }

  /** Sends an order once; says whether it has a clear answer. */
  async #send(order: Order, limit: number): Promise<boolean> {
    const registry = this.#chance.one(this.#registries);
    const reply = await got
      .put(`http://${registry}/v1/description?id=${order.id}`, {
        json: this.describe(order.content),
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: limit },
      })
      .catch(() => undefined);
    if (reply?.statusCode !== 200) return reply !== undefined && reply.statusCode < 500;
    this.#confirm(order, v.parse(acceptance, JSON.parse(reply.body)).generation);
    return true;
  }

  #confirm(order: Order, generation: number): void {
    order.confirmations += 1;
    if (order.generation !== undefined && order.generation !== generation)
      this.disagreements.push({ id: order.id, first: order.generation, then: generation });
    order.generation = generation;
  }
}
