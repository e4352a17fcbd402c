/** The virtual network between processes: partitions, latency, loss, duplication and reordering. */

import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './seeded-random.js';

/** Latency of all links, and the probabilities of their faults. */
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
/** Links with high latency, as over congested long-distance lines. */
export const slowConditions: LinkConditions = {
  minLatencyMs: 25,
  maxLatencyMs: 90,
  lossProbability: 0,
  duplicationProbability: 0,
  delayProbability: 0.03,
};
/** Links that lose, duplicate and delay messages. */
export const lossyConditions: LinkConditions = {
  minLatencyMs: 0.2,
  maxLatencyMs: 8,
  lossProbability: 0.02,
  duplicationProbability: 0.02,
  delayProbability: 0.02,
};

/** Receives each message sent and delivered. Must not draw random numbers or schedule events. */
export interface NetworkObserver {
  readonly sent: (from: string, to: string) => void;
  readonly delivered: (from: string, to: string) => void;
}

/** The links between all processes; each direction of a link can be cut on its own. */
export class Network {
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #cutLinks = new Set<string>();
  /** Messages held back on stalled links, delivered when the network heals. */
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

  /** Holds back all messages until the network heals; the sender sees no error. */
  stall(from: string, to: string): void {
    this.#stalledMessages.set(`${from}>${to}`, []);
    this.cut(from, to);
  }

  /** Cuts a link so that the sender gets a connection error immediately. */
  refuse(from: string, to: string): void {
    this.#refusedLinks.add(`${from}>${to}`);
    this.cut(from, to);
  }

  isRefused(from: string, to: string): boolean {
    return this.#refusedLinks.has(`${from}>${to}`);
  }

  /** Number of link directions that are cut. */
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

  /** Reports a message to the observer, and again when it is delivered. */
  #observed(from: string, to: string, deliver: () => void): () => void {
    const { observer } = this;
    if (observer === undefined) return deliver;
    observer.sent(from, to);
    return () => {
      observer.delivered(from, to);
      deliver();
    };
  }

  /** Sends a message that may be lost, duplicated or reordered. */
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

  /** Sends a message over a reliable ordered channel. A cut link delays it until the link is open again. */
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
