/** An origin with its faults, and its own record of what it ran. */

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
  type AttemptHandlers,
  type AttemptRequest,
  fieldValue,
} from '@switchwheel/proxy-core';
import type { SimulationContext } from '../world/process.js';
import { objectContent, isLargeObject } from './object-content.js';
import type { RegistryReply, SimulatedRegistry } from './registry.js';

/** One run of a request at an origin, as the origin itself knows it. */
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

/** A stand-in for an origin. */
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
  /** Everything it was sent: requests and health checks. */
  readonly receiveTimes: number[] = [];
  usedSlots = 0;
  overflowCount = 0;
  isAlive = true;
  crashedAt = -Infinity;
  state: 'up' | 'leaving' | 'gone' = 'up';
  /** When a registry first confirmed to know that it is leaving or gone. */
  departureKnownAt: number | undefined;
  extraLatencyMs = 0;
  failureProbability = 0;
  lossProbability = 0;
  corruptionProbability = 0;
  truncationProbability = 0;
  wrongInstanceProbability = 0;
  workMs = 10;
  /** How much longer each part of an answer takes. */
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

  /** Says plainly that it is leaving, to registry after registry until one takes note. */
  leave(state: 'leaving' | 'gone'): void {
    this.state = state;
    this.#sendAnnouncement();
  }

  crash(): void {
    this.isAlive = false;
    this.crashedAt = this.context.eventQueue.now;
  }

  /** Whether nothing ails it. */
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

  /** Answers whole and in its own name again. */
  repair(): void {
    this.lossProbability = 0;
    this.corruptionProbability = 0;
    this.truncationProbability = 0;
    this.wrongInstanceProbability = 0;
  }

  /** Whether it works on a request for an object just now. */
  isWorkingOn(path: string): boolean {
    return (this.#inProgress.get(path) ?? 0) > 0;
  }

  #announce(): void {
    if (!this.isAlive) return;
    this.#sendAnnouncement();
    this.context.eventQueue.schedule(this.context.random.uniform(1800, 2200), () =>
      this.#announce(),
    );
  }

  #sendAnnouncement(): void {
    const near = this.#registries().filter(
      (one) => one.isAlive && !one.isFrozen && this.context.network.isOpen('origins', one.node),
    );
    const registry = this.context.random.pick(near);
    const state = this.state;
    const heard = (told: RegistryReply): void => {
      if (told.status === 200) {
        if (state === 'up') return;
        if (this.departureKnownAt === undefined)
          this.context.coverage.record('R6: an origin that leaves was known');
        if (this.departureKnownAt === undefined && this.context.network.cutCount > 0)
          this.context.coverage.record('R6: an origin left while the core was cut');
        this.departureKnownAt ??= this.context.eventQueue.now;
      } else if (told.status === 503 && this.isAlive)
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
    registry.handleRequest({ verb: 'announce', origin }, heard);
  }

  /** A health check came. */
  answerProbe(instance: InstanceId): boolean {
    this.receiveTimes.push(this.context.eventQueue.now);
    return instance === this.instance && this.state === 'up';
  }

  /** Takes a request and answers it, once and in parts, on the channel that it came on. */
  handleRequest(request: AttemptRequest, response: AttemptHandlers): void {
    const { eventQueue, random } = this.context;
    if (!this.isAlive) {
      eventQueue.schedule(random.uniform(0.5, 3), () =>
        response.onFailed({ mayHaveBeenSent: false, isTimeout: false, text: 'refused' }),
      );
      return;
    }
    const unrun = (): void => {
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
      unrun();
      return;
    }
    const id = fieldValue(request.fields, 'x-request-id') ?? '';
    const unsafe = request.method !== 'GET';
    this.arrivalTimes.push(eventQueue.now);
    this.attempts.push({ request: id, at: eventQueue.now });
    if (this.usedSlots >= this.slots) {
      this.overflowCount += 1;
      unrun();
      return;
    }
    this.usedSlots += 1;
    increment(this.#inProgress, request.target);
    const span = this.workMs * (0.5 + -Math.log(1 - random.next()) * 0.7) + this.extraLatencyMs;
    const revision = this.revisionOf(request.target);
    eventQueue.schedule(span, () => {
      this.usedSlots -= 1;
      increment(this.#inProgress, request.target, -1);
      if (!this.isAlive) {
        if (unsafe)
          this.context.coverage.record('R1: an origin died with an unsafe request in hand');
        // It may have died just before or just after the work.
        if (random.happens(0.5))
          this.executions.push({ requestId: id, at: eventQueue.now, isUnsafe: unsafe });
        response.onFailed(connectionLost('crashed'));
        return;
      }
      this.executions.push({ requestId: id, at: eventQueue.now, isUnsafe: unsafe });
      const bad = random.happens(this.failureProbability);
      if (bad) this.failureTimes.push(eventQueue.now);
      this.#respond(request.target, id, revision, unsafe, bad, response);
    });
  }

  #respond(
    target: string,
    id: string,
    revision: number,
    unsafe: boolean,
    bad: boolean,
    back: AttemptHandlers,
  ): void {
    const { random, coverage } = this.context;
    if (random.happens(this.lossProbability)) {
      if (unsafe) coverage.record('R1: an unsafe result was lost after the work');
      back.onFailed(connectionLost('lost after the work'));
      return;
    }
    const misnamed = random.happens(this.wrongInstanceProbability);
    // Whoever answers in another's name answers what that one was asked.
    const body = bad
      ? Buffer.from('fault')
      : objectContent(
          misnamed ? '/somebody/else/1' : target,
          revision,
          id,
          this.context.eventQueue.now,
        );
    if (misnamed) coverage.record('R3: a result bore a wrong name');
    const fields: HeaderFields = [
      ['switchwheel-instance', misnamed ? 'somebody-else' : this.instance],
      ['content-length', String(body.length)],
      ['cache-tag', `t${target.length % 3}`],
      ['content-digest', `sha-256=:${createHash('sha256').update(body).digest('base64')}:`],
    ];
    if (random.happens(this.corruptionProbability)) {
      const spot = random.integer(0, body.length - 1);
      body[spot] = (body[spot] ?? 0) ^ 0x55;
      coverage.record(
        isLargeObject(target) && !bad
          ? 'R3: a streamed result was corrupt'
          : 'R3: a whole result was corrupt',
      );
    }
    const cut = random.happens(this.truncationProbability);
    // Some end a shortened answer as if it were whole, and tell no digest.
    const sly = cut && random.happens(0.5);
    if (sly) fields.pop();
    if (cut) coverage.record('R3: a result was cut amid its body');
    back.onHead(bad ? 500 : 200, fields);
    this.#sendChunks(body, 0, cut ? random.integer(0, body.length - 1) : body.length, sly, back);
  }

  #sendChunks(body: Buffer, at: number, breaks: number, sly: boolean, back: AttemptHandlers): void {
    const { eventQueue, random } = this.context;
    if (sly && at >= breaks) back.onEnd();
    else if (!this.isAlive || (at >= breaks && breaks < body.length))
      back.onFailed(connectionLost('broke off amid the body'));
    else if (at >= body.length) back.onEnd();
    else
      back.onChunk(body.subarray(at, Math.min(breaks, at + chunkBytes)), () =>
        eventQueue.schedule(random.uniform(0.1, 1) + this.extraChunkMs, () =>
          this.#sendChunks(body, Math.min(breaks, at + chunkBytes), breaks, sly, back),
        ),
      );
  }
}
