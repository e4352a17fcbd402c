/**
 * Operators with concurrent commands: they submit one of a few configurations to a random registry, abandon some replies
 * on purpose and then retry the same command at a random registry.
 */

import got from 'got';
import * as v from 'valibot';
import type { DeploymentPlan } from '../deployment/schema.js';
import { delay } from '../fleet/wait.js';
import type { SeededRandom } from './seeded-random.js';

/** Submitted configuration change and its confirmations. */
export interface OperatorCommand {
  readonly id: string;
  readonly content: number;
  /** Generation in the last confirmation. */
  generation: number | undefined;
  /** Number of replies that confirmed it. */
  confirmations: number;
}

/** Two confirmations of the same command with different generations. */
export interface ConflictingReplies {
  readonly id: string;
  readonly firstGeneration: number;
  readonly laterGeneration: number;
}

const contentCount = 4;
const minQueueLimit = 300;
const replyTimeoutMs = 9000;
/** Range of the timeout for replies that are abandoned on purpose. */
const abandonTimeoutRangeMs = [5, 60] as const;
const abandonProbability = 0.25;
/** Probability that two commands are submitted concurrently. */
const pairProbability = 0.6;
const maxAttempts = 4;
const pauseRangeMs = [40, 900] as const;

const acceptanceSchema = v.object({ generation: v.number() });
const configurationSchema = v.looseObject({ services: v.array(v.looseObject({})) });

/** Submits racing configuration changes to the registries of a fleet. */
export class RacingOperators {
  readonly commands: OperatorCommand[] = [];
  readonly conflicts: ConflictingReplies[] = [];
  readonly #plan: DeploymentPlan;
  readonly #registries: readonly string[];
  readonly #random: SeededRandom;
  #isRunning = true;

  constructor(plan: DeploymentPlan, registries: readonly string[], random: SeededRandom) {
    this.#plan = plan;
    this.#registries = registries;
    this.#random = random;
  }

  /** Submits commands, often two concurrently, until stopped. */
  async run(): Promise<void> {
    while (this.#isRunning) {
      await delay(this.#random.between(...pauseRangeMs));
      const submissions = this.#random.happens(pairProbability)
        ? [this.#submitCommand(), this.#submitCommand()]
        : [this.#submitCommand()];
      await Promise.all(submissions);
    }
  }

  /** Stops submitting; commands in progress are still completed, with their retries. */
  stop(): void {
    this.#isRunning = false;
  }

  /** Returns the configuration with a content number. */
  configurationWith(content: number): object {
    const base = v.parse(configurationSchema, this.#plan.configuration);
    const queueLimit = minQueueLimit + content;
    return {
      ...base,
      services: base.services.map((service) => ({ ...service, waitlist: queueLimit })),
    };
  }

  /** Confirmed command with the highest generation. */
  get newestConfirmed(): OperatorCommand | undefined {
    return this.commands.reduce<OperatorCommand | undefined>(
      (best, command) => ((command.generation ?? 0) > (best?.generation ?? 0) ? command : best),
      undefined,
    );
  }

  async #submitCommand(): Promise<void> {
    const content = Math.floor(this.#random.next() * contentCount);
    const command: OperatorCommand = {
      id: `soak-${this.commands.length}`,
      content,
      generation: undefined,
      confirmations: 0,
    };
    this.commands.push(command);
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const isAbandoned = attempt === 0 && this.#random.happens(abandonProbability);
      const timeoutMs = isAbandoned
        ? this.#random.between(...abandonTimeoutRangeMs)
        : replyTimeoutMs;
      const isFinal = await this.#send(command, timeoutMs);
      if (isFinal) return;
      await delay(this.#random.between(...pauseRangeMs));
    }
  }

  /** Makes one attempt at a command; true if the reply is final. */
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
