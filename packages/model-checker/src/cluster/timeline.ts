/** Simulated time: scheduled events, and events held until a machine or a disk recovers. */

import type { DiskWrite } from '@switchwheel/replicated-store';
import { EventQueue } from './event-queue.js';
import type { ScheduledEvent } from './scheduled-event.js';

/** Events of one run. */
export class Timeline {
  #now = 0;
  #queue = new EventQueue<ScheduledEvent>();
  #held: ScheduledEvent[] = [];

  /** Returns an independent copy. */
  clone(): Timeline {
    const copy = new Timeline();
    copy.#now = this.#now;
    copy.#queue = this.#queue.clone();
    copy.#held = [...this.#held];
    return copy;
  }

  /** Simulated time in milliseconds since the start of the run. */
  get now(): number {
    return this.#now;
  }

  scheduleAt(at: number, event: ScheduledEvent): void {
    this.#queue.add(at, event);
  }

  schedule(delayMs: number, event: ScheduledEvent): void {
    this.#queue.add(this.#now + delayMs, event);
  }

  /** Removes the next event that is due by `end` and advances the time to it; undefined if there is none. */
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

  /** Holds an event until it is released or dropped. */
  hold(event: ScheduledEvent): void {
    this.#held.push(event);
  }

  /** Schedules the matching held events, in order. */
  releaseHeld(matches: (event: ScheduledEvent) => boolean, delayMs = 0): void {
    for (const event of this.#takeHeld(matches)) this.schedule(delayMs, event);
  }

  dropHeld(matches: (event: ScheduledEvent) => boolean): void {
    this.#takeHeld(matches);
  }

  /** Removes a disk's scheduled writes, but not its held ones; returns the first of both, held ones first. */
  takeFirstWrite(machine: number, incarnation: number): DiskWrite | undefined {
    const matches = (event: ScheduledEvent): boolean =>
      event.kind === 'diskWrite' && event.machine === machine && event.incarnation === incarnation;
    const [first] = [...this.#held.filter(matches), ...this.#queue.extract(matches)];
    return first?.kind === 'diskWrite' ? first.write : undefined;
  }

  #takeHeld(matches: (event: ScheduledEvent) => boolean): readonly ScheduledEvent[] {
    const matching = this.#held.filter(matches);
    this.#held = this.#held.filter((event) => !matches(event));
    return matching;
  }
}
