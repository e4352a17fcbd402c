interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** What happens when, in one order for one seed. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];
  #lastOrder = 0;
  now = 0;

  schedule(delayMs: number, run: () => void): void {
    this.#lastOrder += 1;
    this.#push({ at: this.now + Math.max(0, delayMs), order: this.#lastOrder, run });
  }

  /** Does the next thing; false when there is none before the end. */
  runNext(end: number): boolean {
    const top = this.#heap[0];
    if (top === undefined || top.at > end) {
      this.now = end;
      return false;
    }
    this.#pop();
    this.now = top.at;
    top.run();
    return true;
  }

  #isBefore(one: ScheduledEvent, two: ScheduledEvent): boolean {
    return one.at < two.at || (one.at === two.at && one.order < two.order);
  }

  #push(row: ScheduledEvent): void {
    const heap = this.#heap;
    let at = heap.length;
    heap.push(row);
    while (at > 0) {
      const up = (at - 1) >> 1;
      const parent = heap[up];
      if (parent === undefined || !this.#isBefore(row, parent)) break;
      heap[at] = parent;
      at = up;
    }
    heap[at] = row;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let at = 0;
    for (;;) {
      const left = at * 2 + 1;
      const first = heap[left];
      if (first === undefined) break;
      const second = heap[left + 1];
      const down = second !== undefined && this.#isBefore(second, first) ? left + 1 : left;
      const child = heap[down];
      if (child === undefined || !this.#isBefore(child, last)) break;
      heap[at] = child;
      at = down;
    }
    heap[at] = last;
  }
}
