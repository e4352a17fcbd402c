interface Row {
  readonly at: number;
  readonly order: number;
  readonly act: () => void;
}

/** What happens when, in one order for one seed. */
export class Agenda {
  readonly #heap: Row[] = [];
  #order = 0;
  now = 0;

  after(span: number, act: () => void): void {
    this.#order += 1;
    this.#push({ at: this.now + Math.max(0, span), order: this.#order, act });
  }

  /** Does the next thing; false when there is none before the end. */
  step(end: number): boolean {
    const top = this.#heap[0];
    if (top === undefined || top.at > end) {
      this.now = end;
      return false;
    }
    this.#pop();
    this.now = top.at;
    top.act();
    return true;
  }

  #before(one: Row, two: Row): boolean {
    return one.at < two.at || (one.at === two.at && one.order < two.order);
  }

  #push(row: Row): void {
    const heap = this.#heap;
    let at = heap.length;
    heap.push(row);
    while (at > 0) {
      const up = (at - 1) >> 1;
      const parent = heap[up];
      if (parent === undefined || !this.#before(row, parent)) break;
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
      const down = second !== undefined && this.#before(second, first) ? left + 1 : left;
      const child = heap[down];
      if (child === undefined || !this.#before(child, last)) break;
      heap[at] = child;
      at = down;
    }
    heap[at] = last;
  }
}
