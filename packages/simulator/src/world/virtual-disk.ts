/** A virtual disk with its faults; what is written on it is its store's matter. */

import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './seeded-random.js';

/** What a virtual disk does just now. */
export type DiskCondition = 'well' | 'full' | 'stalled';

interface QueuedWrite<Write> {
  readonly write: Write;
  readonly onDone: (isSynced: boolean, isDiskFull: boolean) => void;
  readonly powerCycle: object;
}

/** A virtual disk: it keeps what is synced, and may fill, stall, tear, or forget all. */
export class VirtualDisk<Write> {
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #queue: QueuedWrite<Write>[] = [];
  #isWriting = false;
  #powerCycle = {};
  condition: DiskCondition = 'well';
  /** Writes in the order in which they were synced. */
  readonly synced: Write[] = [];
  isTorn = false;

  constructor(eventQueue: EventQueue, random: SeededRandom) {
    this.#eventQueue = eventQueue;
    this.#random = random;
  }

  write(write: Write, onDone: (isSynced: boolean, isDiskFull: boolean) => void): void {
    this.#queue.push({ write, onDone, powerCycle: this.#powerCycle });
    this.#writeNext();
  }

  /** Power goes: what was not synced is gone, but for a write that may just have made it. */
  losePower(): void {
    this.#powerCycle = {};
    const pendingWrite = this.#queue[0];
    if (pendingWrite !== undefined && this.condition === 'well' && this.#random.happens(0.5))
      this.synced.push(pendingWrite.write);
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
    const queued = this.#queue[0];
    if (this.#isWriting || queued === undefined || this.condition === 'stalled') return;
    this.#isWriting = true;
    const powerCycle = this.#powerCycle;
    this.#eventQueue.schedule(this.#random.uniform(1, 8), () => {
      if (powerCycle !== this.#powerCycle) return;
      this.#isWriting = false;
      if (this.condition === 'stalled') return;
      this.#queue.shift();
      const isDiskFull = this.condition === 'full';
      if (!isDiskFull) this.synced.push(queued.write);
      queued.onDone(!isDiskFull, isDiskFull);
      this.#writeNext();
    });
  }
}
