/** Event queue that can be cloned, unlike the simulator's heap. */

/** Queue ordered by time; entries with the same time keep the order in which they were added. */
export class EventQueue<T> {
  #entries: { readonly at: number; readonly order: number; readonly item: T }[] = [];
  #order = 0;

  /** Returns an independent copy. */
  clone(): EventQueue<T> {
    const copy = new EventQueue<T>();
    copy.#entries = [...this.#entries];
    copy.#order = this.#order;
    return copy;
  }

  add(at: number, item: T): void {
    this.#order += 1;
    let insertAt = this.#entries.length;
    // Entries are sorted latest first, so that the next one is popped from the end.
    let low = 0;
    while (low < insertAt) {
      const middle = (low + insertAt) >> 1;
      const entry = this.#entries[middle];
      if (entry !== undefined && entry.at > at) low = middle + 1;
      else insertAt = middle;
    }
    this.#entries.splice(insertAt, 0, { at, order: this.#order, item });
  }

  /** Time of the next entry; undefined if the queue is empty. */
  get nextAt(): number | undefined {
    return this.#entries.at(-1)?.at;
  }

  takeNext(): { readonly at: number; readonly item: T } | undefined {
    return this.#entries.pop();
  }

  /** Removes all matching entries and returns their items in order. */
  extract(matches: (item: T) => boolean): readonly T[] {
    const extracted = this.#entries.filter((entry) => matches(entry.item));
    this.#entries = this.#entries.filter((entry) => !matches(entry.item));
    return extracted.reverse().map((entry) => entry.item);
  }
}
