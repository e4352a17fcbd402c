/**
 * Operators whose orders race: they hand in descriptions from a few contents, so that contents return, through any
 * registry, and lose some answers on purpose, after which the same order is sent again to another one.
 */
import got from 'got';
import * as v from 'valibot';
import type { DeploymentPlan } from '../deployment/schema.js';
import { delay } from '../fleet/fleet.js';
import type { SeededRandom } from './seeded-random.js';

/** An order, and what its operator was told. */
export interface OperatorCommand {
  readonly id: string;
  readonly content: number;
  generation: number | undefined;
  /** How often it was told as taken. */
  confirmations: number;
}

/** Two answers to one order that do not agree. */
export interface ConflictingReplies {
  readonly id: string;
  readonly firstGeneration: number;
  readonly laterGeneration: number;
}

const contentCount = 4;
const minQueueLimit = 300;
const replyTimeoutMs = 9000;
/** How soon an operator gives up on an answer that it is to lose. */
const lostReplyTimeoutRangeMs = [5, 60] as const;
const lostReplyProbability = 0.25;
const maxAttempts = 4;
const gapRangeMs = [40, 900] as const;

const acceptanceSchema = v.object({ generation: v.number() });
const configurationSchema = v.looseObject({ services: v.array(v.looseObject({})) });

export class RacingOperators {
  readonly commands: OperatorCommand[] = [];
  readonly conflicts: ConflictingReplies[] = [];
  readonly #plan: DeploymentPlan;
  readonly #registries: readonly string[];
  readonly #random: SeededRandom;
  #isRunning = true;

  constructor(plan: DeploymentPlan, registries: readonly string[], chance: SeededRandom) {
    this.#plan = plan;
    this.#registries = registries;
    this.#random = chance;
  }

  /** Hands in order after order until it is stopped. */
  async run(): Promise<void> {
    while (this.#isRunning) {
      await delay(this.#random.between(...gapRangeMs));
      const pair = this.#random.happens(0.6)
        ? [this.#submitCommand(), this.#submitCommand()]
        : [this.#submitCommand()];
      await Promise.all(pair);
    }
  }

  stop(): void {
    this.#isRunning = false;
  }

  /** The description of one content. */
  configurationWith(content: number): object {
    const base = v.parse(configurationSchema, this.#plan.configuration);
    const waitlist = minQueueLimit + content;
    return { ...base, services: base.services.map((one) => ({ ...one, waitlist })) };
  }

  /** The highest generation that any operator was told. */
  get newestConfirmed(): OperatorCommand | undefined {
    return this.commands.reduce<OperatorCommand | undefined>(
      (best, one) => ((one.generation ?? 0) > (best?.generation ?? 0) ? one : best),
      undefined,
    );
  }

  async #submitCommand(): Promise<void> {
    const content = Math.floor(this.#random.next() * contentCount);
    const order: OperatorCommand = {
      id: `soak-${this.commands.length}`,
      content,
      generation: undefined,
      confirmations: 0,
    };
    this.commands.push(order);
    for (let turn = 0; turn < maxAttempts; turn += 1) {
      const isLost = turn === 0 && this.#random.happens(lostReplyProbability);
      const limit = isLost ? this.#random.between(...lostReplyTimeoutRangeMs) : replyTimeoutMs;
      const done = await this.#send(order, limit);
      if (done) return;
      await delay(this.#random.between(...gapRangeMs));
    }
  }

  /** Sends an order once; says whether it has a clear answer. */
  async #send(command: OperatorCommand, timeoutMs: number): Promise<boolean> {
    const registry = this.#random.pick(this.#registries);
    const reply = await got
      .put(`http://${registry}/v1/description?id=${command.id}`, {
        json: this.configurationWith(command.content),
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: timeoutMs },
      })
      .catch(() => undefined);
    if (reply?.statusCode !== 200) return reply !== undefined && reply.statusCode < 500;
    this.#recordConfirmation(command, v.parse(acceptanceSchema, JSON.parse(reply.body)).generation);
    return true;
  }

  #recordConfirmation(command: OperatorCommand, generation: number): void {
    command.confirmations += 1;
    if (command.generation !== undefined && command.generation !== generation)
      this.conflicts.push({
        id: command.id,
        firstGeneration: command.generation,
        laterGeneration: generation,
      });
    command.generation = generation;
  }
}
