/** A simulated origin with fault injection, and its own record of executed requests. */

import { createHash } from 'node:crypto';
import {
  type Address,
  type InstanceId,
  type Release,
  type ServiceName,
  increment,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import {
  type AttemptFailure,
  type OriginAttemptHandlers,
  type OriginAttemptRequest,
  fieldValue,
} from '@switchwheel/proxy-core';
import type { SimulationContext } from '../world/process.js';
import { objectContent, isLargeObject } from './object-content.js';
import type { RegistryReply, SimulatedRegistry } from './registry.js';

/** One execution of a request, as recorded by the origin. */
export interface Execution {
  readonly requestId: string;
  readonly at: number;
  readonly isUnsafe: boolean;
}

const chunkBytes = 700;
const connectionLost = (text: string): AttemptFailure => ({
  mayHaveBeenSent: true,
  isTimeout: false,
  text,
});

/** A simulated origin instance. */
export class SimulatedOrigin {
  readonly context: SimulationContext;
  readonly service: ServiceName;
  readonly instance: InstanceId;
  readonly address: Address;
  readonly release: Release;
  readonly slots: number;
  readonly executions: Execution[] = [];
  readonly arrivalTimes: number[] = [];
  readonly attempts: { readonly request: string; readonly at: number }[] = [];
  /** Times of all requests and health checks received. */
  readonly receiveTimes: number[] = [];
  usedSlots = 0;
  overloadCount = 0;
  isAlive = true;
  /** Whether the origin announces itself periodically. */
  isReporting = true;
  crashedAt = -Infinity;
  state: 'up' | 'leaving' | 'gone' = 'up';
  /** Time at which a registry first confirmed that this origin is leaving or gone. */
  departureKnownAt: number | undefined;
  extraLatencyMs = 0;
  failureProbability = 0;
  lossProbability = 0;
  corruptionProbability = 0;
  truncationProbability = 0;
  wrongInstanceProbability = 0;
  workMs = 10;
  /** Additional delay before each chunk of a response. */
  extraChunkMs = 0;
  readonly failureTimes: number[] = [];
  readonly #registries: () => readonly SimulatedRegistry[];
  readonly #inProgress = new Map<string, number>();
  readonly revisionOf: (path: string) => number;

  constructor(
    context: SimulationContext,
    service: ServiceName,
    instance: InstanceId,
    address: Address,
    release: Release,
    slots: number,
    registries: () => readonly SimulatedRegistry[],
    revisionOf: (path: string) => number,
  ) {
    this.context = context;
    this.service = service;
    this.instance = instance;
    this.address = address;
    this.release = release;
    this.slots = slots;
    this.#registries = registries;
    this.revisionOf = revisionOf;
    this.#announce();
  }

  /** Announces the departure to one registry after another until one accepts it. */
  leave(state: 'leaving' | 'gone'): void {
    this.state = state;
    this.#sendAnnouncement();
  }

  crash(): void {
    this.isAlive = false;
    this.crashedAt = this.context.eventQueue.now;
  }

  /** Whether the origin runs without injected faults. */
  get isHealthy(): boolean {
    return (
      this.isAlive &&
      this.extraLatencyMs === 0 &&
      this.extraChunkMs === 0 &&
      this.failureProbability === 0 &&
      this.lossProbability === 0 &&
      this.corruptionProbability === 0 &&
      this.truncationProbability === 0 &&
      this.wrongInstanceProbability === 0
    );
  }

  /** Ends the faults that affect responses. */
  clearResponseFaults(): void {
    this.lossProbability = 0;
    this.corruptionProbability = 0;
    this.truncationProbability = 0;
    this.wrongInstanceProbability = 0;
  }

  /** Whether a request for the object is being executed. */
  isExecuting(path: string): boolean {
    return (this.#inProgress.get(path) ?? 0) > 0;
  }

  #announce(): void {
    if (!this.isAlive || !this.isReporting) return;
    this.#sendAnnouncement();
    this.context.eventQueue.schedule(this.context.random.uniform(1800, 2200), () =>
      this.#announce(),
    );
  }

  #sendAnnouncement(): void {
    const reachableRegistries = this.#registries().filter(
      (candidate) =>
        candidate.isAlive &&
        !candidate.isFrozen &&
        this.context.network.isOpen('origins', candidate.node),
    );
    const registry = this.context.random.pick(reachableRegistries);
    const state = this.state;
    const onReply = (reply: RegistryReply): void => {
      if (reply.status === 200) {
        if (state === 'up') return;
        if (this.departureKnownAt === undefined)
          this.context.coverage.record('R6: the departure of an origin was confirmed');
        if (this.departureKnownAt === undefined && this.context.network.cutCount > 0)
          this.context.coverage.record('R6: an origin left during a network partition');
        this.departureKnownAt ??= this.context.eventQueue.now;
      } else if (reply.status === 503 && this.isAlive)
        this.context.eventQueue.schedule(300, () => this.#sendAnnouncement());
    };
    if (registry === undefined) {
      if (this.isAlive) this.context.eventQueue.schedule(300, () => this.#sendAnnouncement());
      return;
    }
    const origin = {
      service: this.service,
      instance: this.instance,
      address: this.address,
      release: this.release,
      slots: this.slots,
      state,
    };
    registry.handleRequest({ verb: 'announce', origin }, onReply);
  }

  /** Records a health check and returns whether it passes. */
  answerHealthCheck(instance: InstanceId): boolean {
    this.receiveTimes.push(this.context.eventQueue.now);
    return instance === this.instance && this.state === 'up';
  }

  /** Executes a request and sends the response in chunks to `response`. */
  handleRequest(request: OriginAttemptRequest, response: OriginAttemptHandlers): void {
    const { eventQueue, random } = this.context;
    if (!this.isAlive) {
      eventQueue.schedule(random.uniform(0.5, 3), () =>
        response.onFailed({ mayHaveBeenSent: false, isTimeout: false, text: 'connection refused' }),
      );
      return;
    }
    const rejectUnprocessed = (): void => {
      eventQueue.schedule(random.uniform(0.5, 3), () => {
        response.onHead(503, [
          ['switchwheel-instance', this.instance],
          ['switchwheel-unrun', 'true'],
          ['content-length', '0'],
        ]);
        response.onEnd();
      });
    };
    this.receiveTimes.push(eventQueue.now);
    if (request.instance !== this.instance) {
      rejectUnprocessed();
      return;
    }
    const id = fieldValue(request.fields, 'x-request-id') ?? '';
    const isUnsafe = request.method !== 'GET';
    this.arrivalTimes.push(eventQueue.now);
    this.attempts.push({ request: id, at: eventQueue.now });
    if (this.usedSlots >= this.slots) {
      this.overloadCount += 1;
      rejectUnprocessed();
      return;
    }
    this.usedSlots += 1;
    increment(this.#inProgress, request.target);
    const workDurationMs =
      this.workMs * (0.5 + -Math.log(1 - random.next()) * 0.7) + this.extraLatencyMs;
    const revision = this.revisionOf(request.target);
    eventQueue.schedule(workDurationMs, () => {
      this.usedSlots -= 1;
      increment(this.#inProgress, request.target, -1);
      if (!this.isAlive) {
        if (isUnsafe)
          this.context.coverage.record('R1: an origin crashed while executing an unsafe request');
        // The crash may have come just before or just after the execution.
        if (random.happens(0.5))
          this.executions.push({ requestId: id, at: eventQueue.now, isUnsafe });
        response.onFailed(connectionLost('origin crashed'));
        return;
      }
      this.executions.push({ requestId: id, at: eventQueue.now, isUnsafe });
      const isFailure = random.happens(this.failureProbability);
      if (isFailure) this.failureTimes.push(eventQueue.now);
      this.#respond(request.target, id, revision, isUnsafe, isFailure, response);
    });
  }

  #respond(
    target: string,
    id: string,
    revision: number,
    isUnsafe: boolean,
    isFailure: boolean,
    response: OriginAttemptHandlers,
  ): void {
    const { random, coverage } = this.context;
    if (random.happens(this.lossProbability)) {
      if (isUnsafe)
        coverage.record('R1: the response to an unsafe request was lost after execution');
      response.onFailed(connectionLost('response lost after execution'));
      return;
    }
    const hasWrongInstance = random.happens(this.wrongInstanceProbability);
    // The wrong instance responds with an object of its own.
    const body = isFailure
      ? Buffer.from('fault')
      : objectContent(
          hasWrongInstance ? '/somebody/else/1' : target,
          revision,
          id,
          this.context.eventQueue.now,
        );
    if (hasWrongInstance) coverage.record('R3: a response named the wrong instance');
    const fields: HeaderFields = [
      ['switchwheel-instance', hasWrongInstance ? 'somebody-else' : this.instance],
      ['content-length', String(body.length)],
      ['cache-tag', `t${target.length % 3}`],
      ['content-digest', `sha-256=:${createHash('sha256').update(body).digest('base64')}:`],
    ];
    if (random.happens(this.corruptionProbability)) {
      const byteIndex = random.integer(0, body.length - 1);
      body[byteIndex] = (body[byteIndex] ?? 0) ^ 0x55;
      coverage.record(
        isLargeObject(target) && !isFailure
          ? 'R3: a streamed response was corrupt'
          : 'R3: a buffered response was corrupt',
      );
    }
    const isTruncated = random.happens(this.truncationProbability);
    // Some origins end a truncated response normally and without a digest.
    const endsNormally = isTruncated && random.happens(0.5);
    if (endsNormally) fields.pop();
    if (isTruncated) coverage.record('R3: a response body was truncated');
    response.onHead(isFailure ? 500 : 200, fields);
    this.#sendChunks(
      body,
      0,
      isTruncated ? random.integer(0, body.length - 1) : body.length,
      endsNormally,
      response,
    );
  }

  #sendChunks(
    body: Buffer,
    offset: number,
    endOffset: number,
    endsNormally: boolean,
    response: OriginAttemptHandlers,
  ): void {
    const { eventQueue, random } = this.context;
    if (endsNormally && offset >= endOffset) response.onEnd();
    else if (!this.isAlive || (offset >= endOffset && endOffset < body.length))
      response.onFailed(connectionLost('connection lost within the response body'));
    else if (offset >= body.length) response.onEnd();
    else
      response.onChunk(body.subarray(offset, Math.min(endOffset, offset + chunkBytes)), () =>
        eventQueue.schedule(random.uniform(0.1, 1) + this.extraChunkMs, () =>
          this.#sendChunks(
            body,
            Math.min(endOffset, offset + chunkBytes),
            endOffset,
            endsNormally,
            response,
          ),
        ),
      );
  }
}
