/** Virtual time: what is due when, and what is held until a machine or a disk goes on. */

import type { DiskWrite } from '@switchwheel/replicated-store';
import { EventQueue } from './event-queue.js';
import type { ScheduledEvent } from './scheduled-event.js';

/** The events of one run. A clone goes its own way. */
export class Timeline {
  #now = 0;
  #queue = new EventQueue<ScheduledEvent>();
  #held: ScheduledEvent[] = [];

  /** An independent copy. */
  clone(): Timeline {
    const copy = new Timeline();
    copy.#now = this.#now;
    copy.#queue = this.#queue.clone();
    copy.#held = [...this.#held];
    return copy;
  }

  /** True time, in milliseconds since the run began. */
  get now(): number {
    return this.#now;
  }

  scheduleAt(at: number, event: ScheduledEvent): void {
    this.#queue.add(at, event);
  }

  schedule(delayMs: number, event: ScheduledEvent): void {
    this.#queue.add(this.#now + delayMs, event);
  }

  /** Takes the next event that is due by then, and sets the time to its own. */
  takeDue(end: number): ScheduledEvent | undefined {
    const next = this.#queue.nextAt;
    if (next === undefined || next > end) return undefined;
    const entry = this.#queue.takeNext();
    if (entry === undefined) return undefined;
    this.advanceTo(entry.at);
    return entry.item;
  }

  advanceTo(at: number): void {
    this.#now = Math.max(this.#now, at);
  }

  /** Keeps an event back until it is released. */
  hold(event: ScheduledEvent): void {
    this.#held.push(event);
  }

  /** Schedules the held events that match, in their order. */
  releaseHeld(matches: (event: ScheduledEvent) => boolean, delayMs = 0): void {
    for (const event of this.#takeHeld(matches)) this.schedule(delayMs, event);
  }

  dropHeld(matches: (event: ScheduledEvent) => boolean): void {
    this.#takeHeld(matches);
  }

  /** Takes a disk's writes out of the queue, not out of what is held; gives the first of both. */
  takeFirstWrite(machine: number, incarnation: number): DiskWrite | undefined {
    const matches = (event: ScheduledEvent): boolean =>
      event.kind === 'disk write' && event.machine === machine && event.incarnation === incarnation;
    const [first] = [...this.#held.filter(matches), ...this.#queue.extract(matches)];
    return first?.kind === 'disk write' ? first.write : undefined;
  }

  #takeHeld(matches: (event: ScheduledEvent) => boolean): readonly ScheduledEvent[] {
    const taken = this.#held.filter(matches);
    this.#held = this.#held.filter((event) => !matches(event));
    return taken;
  }
}
