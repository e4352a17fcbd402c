/** A virtual disk with fault injection; the content of writes is opaque to it. */

import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './seeded-random.js';

/** Current condition of a virtual disk. */
export type DiskCondition = 'healthy' | 'full' | 'stalled';

interface QueuedWrite<Write> {
  readonly write: Write;
  readonly onDone: (isSynced: boolean, isDiskFull: boolean) => void;
  readonly powerCycle: object;
}

/** A virtual disk: keeps synced writes, and can be full, stalled, torn or wiped. */
export class VirtualDisk<Write> {
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #queue: QueuedWrite<Write>[] = [];
  #isWriting = false;
  #powerCycle = {};
  condition: DiskCondition = 'healthy';
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

  /** Drops all writes that are not synced; the one in progress may have been synced just in time. */
  losePower(): void {
    this.#powerCycle = {};
    const pendingWrite = this.#queue[0];
    if (pendingWrite !== undefined && this.condition === 'healthy' && this.#random.happens(0.5))
      this.synced.push(pendingWrite.write);
    this.#queue.splice(0);
    this.#isWriting = false;
  }

  /** Deletes all content, as a replaced disk. */
  wipe(): void {
    this.synced.splice(0);
    this.isTorn = false;
  }

  recover(): void {
    this.condition = 'healthy';
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
