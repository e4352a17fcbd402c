/** Simulated operators that number their configurations, repeat commands and record the replies. */

import { type ServiceName, toCommandId, toGeneration, toRelease } from '@switchwheel/types';
import { splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import type { SeededRandom } from '../world/seeded-random.js';
import { createConfiguration } from '../world/configuration.js';
import type { World } from '../world/world.js';
import type { ConfigurationRead, ConfigurationWrite, History, RolloutRequest } from './history.js';
import { numberField, outcomeOfStatus, parseVersion } from './replies.js';

/** Time after which an operator repeats a command without a clear reply. */
const replyTimeoutMs = 1500;
const readIntervalMs = 700;
const rolloutDurationMs = 6000;
/** Maximum distance of a new number from the highest known one. */
const maxNumberStep = 5;

/** A configuration with its number, which may be sent several times. */
interface SentConfiguration {
  readonly number: number;
  readonly marker: number;
}

/** Operators of one fleet; each command goes to a random running registry. */
export class SimulatedOperators {
  readonly #world: World;
  readonly #history: History;
  readonly #random: SeededRandom;
  #requestCount = 0;
  #lastNumber = 0;
  #lastRelease = 0;
  readonly #sentConfigurations: SentConfiguration[] = [];
  readonly #sentRollouts: { readonly service: ServiceName; readonly target: string }[] = [];
  #isReading = false;

  constructor(world: World, history: History) {
    this.#world = world;
    this.#history = history;
    this.#random = world.random.fork();
  }

  /** Reads the configuration periodically, through random registries. */
  startReading(): void {
    this.#isReading = true;
    const readNext = (): void => {
      if (!this.#isReading) return;
      this.read();
      this.#world.eventQueue.schedule(readIntervalMs, readNext);
    };
    readNext();
  }

  stopReading(): void {
    this.#isReading = false;
  }

  /** Sends two different configurations concurrently under one new number. */
  applyConcurrently(): void {
    const number = this.#nextNumber();
    for (let operator = 0; operator < 2; operator += 1) {
      const configuration = { number, marker: this.#random.integer(1, 1_000_000) };
      this.#sentConfigurations.push(configuration);
      this.#submitConfiguration(configuration, 4);
    }
  }

  /** Sends a configuration under a new number. */
  apply(): void {
    const configuration = {
      number: this.#nextNumber(),
      marker: this.#random.integer(1, 1_000_000),
    };
    this.#sentConfigurations.push(configuration);
    this.#submitConfiguration(configuration, 4);
  }

  /** Repeats an earlier write of a configuration. */
  repeatConfiguration(): void {
    const configuration = this.#random.pick(this.#sentConfigurations);
    if (configuration !== undefined) this.#submitConfiguration(configuration, 2);
  }

  /** Requests the rollout of a new release, which needs no origins to exist. */
  requestRollout(): void {
    const service = this.#random.pick(this.#world.layout.services)?.name;
    if (service === undefined) return;
    this.#lastRelease += 1;
    const rollout = { service, target: `ordered-${this.#lastRelease}` };
    this.#sentRollouts.push(rollout);
    this.#submitRollout(rollout, 3);
  }

  /** Repeats one of the last three rollout requests. */
  repeatRollout(): void {
    const rollout = this.#random.pick(this.#sentRollouts.slice(-3));
    if (rollout !== undefined) this.#submitRollout(rollout, 2);
  }

  read(): void {
    const registry = this.#pickRegistry();
    if (registry === undefined) return;
    const operation = this.#history.begin<ConfigurationRead>({
      kind: 'read',
      version: undefined,
      outcome: 'unknown',
      startedAt: this.#world.eventQueue.now,
      endedAt: undefined,
    });
    registry.handleRequest(
      { verb: 'view', id: this.#nextRequestId(), viewName: 'description' },
      (reply) => {
        if (reply.status === 200)
          operation.end({ outcome: 'acknowledged', version: parseVersion(reply.body) });
        else operation.end({ outcome: 'unknown' });
      },
    );
  }

  #nextNumber(): number {
    const known = this.#world.primary()?.state?.control.configuration?.offer.generation ?? 0;
    this.#lastNumber = Math.max(known, this.#lastNumber) + this.#random.integer(1, maxNumberStep);
    return this.#lastNumber;
  }

  #nextRequestId(): ReturnType<typeof toCommandId> {
    this.#requestCount += 1;
    return toCommandId(`history-${this.#requestCount}`);
  }

  #pickRegistry(): SimulatedRegistry | undefined {
    return this.#random.pick(
      this.#world.registries.filter((registry) => registry.isAlive && !registry.isFrozen),
    );
  }

  /** Sends a command, and repeats it with a new id, through a random registry, while its outcome is unknown. */
  #sendUntilReplied(
    send: (onReply: (reply: RegistryReply) => void) => void,
    maxAttempts: number,
  ): void {
    let isReplied = false;
    send((reply) => {
      isReplied ||= outcomeOfStatus(reply.status) !== 'unknown';
    });
    this.#world.eventQueue.schedule(replyTimeoutMs, () => {
      if (!isReplied && maxAttempts > 1) this.#sendUntilReplied(send, maxAttempts - 1);
    });
  }

  #submitConfiguration(configuration: SentConfiguration, maxAttempts: number): void {
    const split = runToCompletion(
      splitIntoChunks(createConfiguration(this.#world.layout, configuration.marker)),
    );
    if (split.isErr) throw new Error(JSON.stringify(split.error));
    const { hash, chunkHashes, chunks } = split.value;
    const { number } = configuration;
    this.#sendUntilReplied((onReply) => {
      const registry = this.#pickRegistry();
      if (registry === undefined) return;
      const operation = this.#history.begin<ConfigurationWrite>({
        kind: 'write',
        isNumbered: true,
        version: { number, hash },
        outcome: 'unknown',
        startedAt: this.#world.eventQueue.now,
        endedAt: undefined,
      });
      const id = this.#nextRequestId();
      const requestedGeneration = toGeneration(number);
      registry.handleRequest(
        {
          verb: 'apply',
          id,
          baseGeneration: undefined,
          requestedGeneration,
          hash,
          chunkHashes,
          chunks,
        },
        (reply) => {
          operation.end({ outcome: outcomeOfStatus(reply.status) });
          onReply(reply);
        },
      );
    }, maxAttempts);
  }

  #submitRollout(
    rollout: { readonly service: ServiceName; readonly target: string },
    maxAttempts: number,
  ): void {
    const { service, target } = rollout;
    this.#sendUntilReplied((onReply) => {
      const registry = this.#pickRegistry();
      if (registry === undefined) return;
      const operation = this.#history.begin<RolloutRequest>({
        kind: 'rollout',
        key: `${service} ${target}`,
        rolloutNumber: undefined,
        outcome: 'unknown',
        startedAt: this.#world.eventQueue.now,
        endedAt: undefined,
      });
      registry.handleRequest(
        {
          verb: 'release',
          id: this.#nextRequestId(),
          service,
          target: toRelease(target),
          spanMs: rolloutDurationMs,
        },
        (reply) => {
          operation.end({
            outcome: outcomeOfStatus(reply.status),
            rolloutNumber: numberField(reply.body, 'order'),
          });
          onReply(reply);
        },
      );
    }, maxAttempts);
  }
}
