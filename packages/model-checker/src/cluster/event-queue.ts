/** A queue of what happens when; entries of one time keep the order in which they were added. */
export class EventQueue<T> {
  #entries: { readonly at: number; readonly order: number; readonly item: T }[] = [];
  #order = 0;

  /** An independent copy. */
  clone(): EventQueue<T> {
    const copy = new EventQueue<T>();
    copy.#entries = [...this.#entries];
    copy.#order = this.#order;
    return copy;
  }

  add(at: number, item: T): void {
    this.#order += 1;
    let place = this.#entries.length;
    // Entries stand latest first, so that the next one is taken from the end.
    let low = 0;
    while (low < place) {
      const middle = (low + place) >> 1;
      const entry = this.#entries[middle];
      if (entry !== undefined && entry.at > at) low = middle + 1;
      else place = middle;
    }
    this.#entries.splice(place, 0, { at, order: this.#order, item });
  }

  /** The time of the next entry. */
  get nextAt(): number | undefined {
    return this.#entries.at(-1)?.at;
  }

  takeNext(): { readonly at: number; readonly item: T } | undefined {
    return this.#entries.pop();
  }

  /** Takes out all entries that match, in their order. */
  extract(matches: (item: T) => boolean): readonly T[] {
    const found = this.#entries.filter((one) => matches(one.item));
    this.#entries = this.#entries.filter((one) => !matches(one.item));
    return found.reverse().map((one) => one.item);
  }
}
