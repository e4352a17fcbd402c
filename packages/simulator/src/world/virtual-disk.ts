import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './seeded-random.js';

/** What a virtual disk does just now. */
export type DiskCondition = 'well' | 'full' | 'stalled';

interface QueuedWrite<W> {
  readonly write: W;
  readonly done: (ok: boolean, full: boolean) => void;
  readonly powerCycle: object;
}

/** A virtual disk: it keeps what is synced, and may fill, stall, tear, or forget all. */
export class VirtualDisk<W> {
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #queue: QueuedWrite<W>[] = [];
  #isWriting = false;
  #powerCycle = {};
  condition: DiskCondition = 'well';
  /** Writes in the order in which they were synced. */
  readonly synced: W[] = [];
  isTorn = false;

  constructor(agenda: EventQueue, chance: SeededRandom) {
    this.#eventQueue = agenda;
    this.#random = chance;
  }

  write(write: W, done: (ok: boolean, full: boolean) => void): void {
    this.#queue.push({ write, done, powerCycle: this.#powerCycle });
    this.#writeNext();
  }

  /** Power goes: what was not synced is gone, but for a write that may just have made it. */
  losePower(): void {
    this.#powerCycle = {};
    const first = this.#queue[0];
    if (first !== undefined && this.condition === 'well' && this.#random.happens(0.5))
      this.synced.push(first.write);
    this.#queue.splice(0);
    this.#isWriting = false;
  }

  /** All of it is gone, as with a new disk. */
  wipe(): void {
    this.synced.splice(0);
    this.isTorn = false;
  }

  recover(): void {
    this.condition = 'well';
    this.#writeNext();
  }

  #writeNext(): void {
    const first = this.#queue[0];
    if (this.#isWriting || first === undefined || this.condition === 'stalled') return;
    this.#isWriting = true;
    const mark = this.#powerCycle;
    this.#eventQueue.schedule(this.#random.uniform(1, 8), () => {
      if (mark !== this.#powerCycle) return;
      this.#isWriting = false;
      if (this.condition === 'stalled') return;
      this.#queue.shift();
      const full = this.condition === 'full';
      if (!full) this.synced.push(first.write);
      first.done(!full, full);
      this.#writeNext();
    });
  }
}
