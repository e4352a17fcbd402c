/**
 * Virtual time: a binary heap of events. Events with the same time run in the order in which they
 * were scheduled.
 */

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Queue of scheduled events, and the current virtual time in milliseconds. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];
  #lastSequence = 0;
  now = 0;

  schedule(delayMs: number, run: () => void): void {
    this.#lastSequence += 1;
    this.#push({ at: this.now + Math.max(0, delayMs), sequence: this.#lastSequence, run });
  }

  /** Runs the next event. Returns false, with the time set to `end`, when none is due by then. */
  runNext(end: number): boolean {
    const next = this.#heap[0];
    if (next === undefined || next.at > end) {
      this.now = end;
      return false;
    }
    this.#pop();
    this.now = next.at;
    next.run();
    return true;
  }

  #isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
    return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
  }

  #push(event: ScheduledEvent): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (parent === undefined || !this.#isBefore(event, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = event;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const leftIndex = index * 2 + 1;
      const leftChild = heap[leftIndex];
      if (leftChild === undefined) break;
      const rightChild = heap[leftIndex + 1];
      const childIndex =
        rightChild !== undefined && this.#isBefore(rightChild, leftChild)
          ? leftIndex + 1
          : leftIndex;
      const child = heap[childIndex];
      if (child === undefined || !this.#isBefore(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }
}
