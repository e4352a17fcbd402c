/**
 * Operators whose commands race: they submit configurations from a few contents, so that contents recur, through any
 * registry, and give up on some replies on purpose, after which they retry the same command at another registry.
 */

import got from 'got';
import * as v from 'valibot';
import type { DeploymentPlan } from '../deployment/schema.js';
import { delay } from '../fleet/wait.js';
import type { SeededRandom } from './seeded-random.js';

/** One configuration change with the replies to it. */
export interface OperatorCommand {
  readonly id: string;
  readonly content: number;
  /** The generation of the last confirmation. */
  generation: number | undefined;
  /** How many replies confirmed it. */
  confirmations: number;
}

/** Two replies to one command that name different generations. */
export interface ConflictingReplies {
  readonly id: string;
  readonly firstGeneration: number;
  readonly laterGeneration: number;
}

const contentCount = 4;
const minQueueLimit = 300;
const replyTimeoutMs = 9000;
/** How soon an operator gives up on a reply that it is to lose. */
const lostReplyTimeoutRangeMs = [5, 60] as const;
const lostReplyProbability = 0.25;
/** How often two commands are submitted at once. */
const pairProbability = 0.6;
const maxAttempts = 4;
const gapRangeMs = [40, 900] as const;

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

  /** Submits commands, often two at once, until it is stopped. */
  async run(): Promise<void> {
    while (this.#isRunning) {
      await delay(this.#random.between(...gapRangeMs));
      const submissions = this.#random.happens(pairProbability)
        ? [this.#submitCommand(), this.#submitCommand()]
        : [this.#submitCommand()];
      await Promise.all(submissions);
    }
  }

  /** Submits no more; a command that is being sent is still finished. */
  stop(): void {
    this.#isRunning = false;
  }

  /** The configuration of one content. */
  configurationWith(content: number): object {
    const base = v.parse(configurationSchema, this.#plan.configuration);
    const waitlist = minQueueLimit + content;
    return { ...base, services: base.services.map((service) => ({ ...service, waitlist })) };
  }

  /** The command that was confirmed with the highest generation. */
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
      const isLost = attempt === 0 && this.#random.happens(lostReplyProbability);
      const timeoutMs = isLost ? this.#random.between(...lostReplyTimeoutRangeMs) : replyTimeoutMs;
      const isFinal = await this.#send(command, timeoutMs);
      if (isFinal) return;
      await delay(this.#random.between(...gapRangeMs));
    }
  }

  /** Sends a command once; true if the reply is final. */
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
