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
export const goodConditions: LinkConditions = {
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
export const lossyConditions: LinkConditions = {
  minLatencyMs: 0.2,
  maxLatencyMs: 8,
  lossProbability: 0.02,
  duplicationProbability: 0.02,
  delayProbability: 0.02,
};

/** Is told what is sent over the network and what arrives; it draws nothing and schedules nothing. */
export interface NetworkObserver {
  readonly sent: (from: string, to: string) => void;
  readonly delivered: (from: string, to: string) => void;
}

/** A virtual network: cut one way or both, slow, losing, doubling and reordering. */
export class Network {
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #cuts = new Set<string>();
  /** What waits in channels whose way is stalled: it arrives, late, once the way is whole. */
  readonly #stalled = new Map<string, (() => void)[]>();
  readonly #refused = new Set<string>();
  conditions: LinkConditions = goodConditions;
  sentCount = 0;
  observer: NetworkObserver | undefined;

  constructor(agenda: EventQueue, chance: SeededRandom) {
    this.#eventQueue = agenda;
    this.#random = chance;
  }

  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Nothing gets through, nobody is told, and all that is sent meanwhile arrives after the healing. */
  stall(from: string, to: string): void {
    this.#stalled.set(`${from}>${to}`, []);
    this.cut(from, to);
  }

  /** Nothing gets through, and whoever sends is told at once that the channel is over. */
  refuse(from: string, to: string): void {
    this.#refused.add(`${from}>${to}`);
    this.cut(from, to);
  }

  isRefused(from: string, to: string): boolean {
    return this.#refused.has(`${from}>${to}`);
  }

  /** How many ways are cut. */
  get cutCount(): number {
    return this.#cuts.size;
  }

  heal(): void {
    const late = [...this.#stalled.values()].flat();
    this.#cuts.clear();
    this.#stalled.clear();
    this.#refused.clear();
    for (const arrive of late) this.#eventQueue.schedule(this.#delay(), arrive);
  }

  isOpen(from: string, to: string): boolean {
    return !this.#cuts.has(`${from}>${to}`);
  }

  #delay(): number {
    const { minLatencyMs, maxLatencyMs, delayProbability } = this.conditions;
    const plain = this.#random.uniform(minLatencyMs, maxLatencyMs);
    return this.#random.happens(delayProbability) ? plain + this.#random.uniform(20, 200) : plain;
  }

  /** Tells the observer that something is sent, and again when it arrives. */
  #observed(from: string, to: string, arrive: () => void): () => void {
    const { observer } = this;
    if (observer === undefined) return arrive;
    observer.sent(from, to);
    return () => {
      observer.delivered(from, to);
      arrive();
    };
  }

  /** Carries something over that may be lost, doubled or overtaken. */
  sendDatagram(from: string, to: string, onArrival: () => void): void {
    this.sentCount += 1;
    const arrive = this.#observed(from, to, onArrival);
    const waiting = this.#stalled.get(`${from}>${to}`);
    if (waiting !== undefined) {
      waiting.push(arrive);
      return;
    }
    if (!this.isOpen(from, to) || this.#random.happens(this.conditions.lossProbability)) return;
    const land = (): void => {
      if (this.isOpen(from, to)) arrive();
    };
    this.#eventQueue.schedule(this.#delay(), land);
    if (this.#random.happens(this.conditions.duplicationProbability))
      this.#eventQueue.schedule(this.#delay(), land);
  }

  /** Carries something over a channel that keeps order and loses nothing while it stands. */
  sendOrdered(from: string, to: string, lane: { nextFreeAt: number }, onArrival: () => void): void {
    this.sentCount += 1;
    const arrive = this.#observed(from, to, onArrival);
    const at = Math.max(this.#eventQueue.now + this.#delay(), lane.nextFreeAt);
    lane.nextFreeAt = at;
    const land = (): void => {
      if (this.isOpen(from, to)) arrive();
      else this.#eventQueue.schedule(50, land);
    };
    this.#eventQueue.schedule(at - this.#eventQueue.now, land);
  }
}
