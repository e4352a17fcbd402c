/**
 * The virtual network between processes: partitions, latency, loss, duplication and reordering.
 */

import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './seeded-random.js';

/** How the virtual network treats what is sent over it. */
export interface LinkConditions {
  readonly minLatencyMs: number;
  readonly maxLatencyMs: number;
  readonly lossProbability: number;
  readonly duplicationProbability: number;
  readonly delayProbability: number;
}
/** Links without faults. */
export const normalConditions: LinkConditions = {
  minLatencyMs: 0.2,
  maxLatencyMs: 2,
  lossProbability: 0,
  duplicationProbability: 0,
  delayProbability: 0,
};
/** Every link is slow, as over long and crowded lines. */
export const slowConditions: LinkConditions = {
  minLatencyMs: 25,
  maxLatencyMs: 90,
  lossProbability: 0,
  duplicationProbability: 0,
  delayProbability: 0.03,
};
/** Links that lose, duplicate and delay. */
export const lossyConditions: LinkConditions = {
  minLatencyMs: 0.2,
  maxLatencyMs: 8,
  lossProbability: 0.02,
  duplicationProbability: 0.02,
  delayProbability: 0.02,
};

/** Sees what is sent over the network and what arrives; it draws nothing and schedules nothing. */
export interface NetworkObserver {
  readonly sent: (from: string, to: string) => void;
  readonly delivered: (from: string, to: string) => void;
}

/** A virtual network: cut one way or both, slow, losing, doubling and reordering. */
export class Network {
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #cutLinks = new Set<string>();
  /** What waits in channels whose way is stalled: it arrives, late, once the way is whole. */
  readonly #stalledMessages = new Map<string, (() => void)[]>();
  readonly #refusedLinks = new Set<string>();
  conditions: LinkConditions = normalConditions;
  sentCount = 0;
  observer: NetworkObserver | undefined;

  constructor(eventQueue: EventQueue, random: SeededRandom) {
    this.#eventQueue = eventQueue;
    this.#random = random;
  }

  cut(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`);
  }

  /** Nothing gets through, nobody notices, and all that is sent meanwhile arrives after the healing. */
  stall(from: string, to: string): void {
    this.#stalledMessages.set(`${from}>${to}`, []);
    this.cut(from, to);
  }

  /** Nothing gets through, and a sender sees at once that the connection was refused. */
  refuse(from: string, to: string): void {
    this.#refusedLinks.add(`${from}>${to}`);
    this.cut(from, to);
  }

  isRefused(from: string, to: string): boolean {
    return this.#refusedLinks.has(`${from}>${to}`);
  }

  /** How many ways are cut. */
  get cutCount(): number {
    return this.#cutLinks.size;
  }

  heal(): void {
    const heldMessages = [...this.#stalledMessages.values()].flat();
    this.#cutLinks.clear();
    this.#stalledMessages.clear();
    this.#refusedLinks.clear();
    for (const deliver of heldMessages) this.#eventQueue.schedule(this.#drawLatencyMs(), deliver);
  }

  isOpen(from: string, to: string): boolean {
    return !this.#cutLinks.has(`${from}>${to}`);
  }

  #drawLatencyMs(): number {
    const { minLatencyMs, maxLatencyMs, delayProbability } = this.conditions;
    const latencyMs = this.#random.uniform(minLatencyMs, maxLatencyMs);
    return this.#random.happens(delayProbability)
      ? latencyMs + this.#random.uniform(20, 200)
      : latencyMs;
  }

  /** Tells the observer that something is sent, and again when it arrives. */
  #observed(from: string, to: string, deliver: () => void): () => void {
    const { observer } = this;
    if (observer === undefined) return deliver;
    observer.sent(from, to);
    return () => {
      observer.delivered(from, to);
      deliver();
    };
  }

  /** Carries something over that may be lost, doubled or overtaken. */
  sendDatagram(from: string, to: string, onArrival: () => void): void {
    this.sentCount += 1;
    const deliver = this.#observed(from, to, onArrival);
    const stalledMessages = this.#stalledMessages.get(`${from}>${to}`);
    if (stalledMessages !== undefined) {
      stalledMessages.push(deliver);
      return;
    }
    if (!this.isOpen(from, to) || this.#random.happens(this.conditions.lossProbability)) return;
    const deliverIfOpen = (): void => {
      if (this.isOpen(from, to)) deliver();
    };
    this.#eventQueue.schedule(this.#drawLatencyMs(), deliverIfOpen);
    if (this.#random.happens(this.conditions.duplicationProbability))
      this.#eventQueue.schedule(this.#drawLatencyMs(), deliverIfOpen);
  }

  /** Carries something over a channel that keeps order and loses nothing while it stands. */
  sendOrdered(
    from: string,
    to: string,
    sendQueue: { nextFreeAt: number },
    onArrival: () => void,
  ): void {
    this.sentCount += 1;
    const deliver = this.#observed(from, to, onArrival);
    const arrivesAt = Math.max(this.#eventQueue.now + this.#drawLatencyMs(), sendQueue.nextFreeAt);
    sendQueue.nextFreeAt = arrivesAt;
    const deliverOrRetry = (): void => {
      if (this.isOpen(from, to)) deliver();
      else this.#eventQueue.schedule(50, deliverOrRetry);
    };
    this.#eventQueue.schedule(arrivesAt - this.#eventQueue.now, deliverOrRetry);
  }
}
