/**
 * Logs while an edge rejects requests for lack of quota, of memory for their bodies or of other edges' replies, with the increase of all counters
 * since the last line: without it an operator sees a shortage only in the metrics, or once the edge stops.
 */

import { type Timestamp, addMs, clockOrigin } from '@switchwheel/types';
import type { Logger } from '@switchwheel/runtime';

/** Minimum time between two lines. */
const logIntervalMs = 5000;

/** Counters of requests whose increase is logged as a shortage. */
const shortageCounters: readonly string[] = [
  'ceiling',
  'connections',
  'no_origin',
  'budget',
  'owner_limited',
  'bodies_rejected',
];

/** Writes at most one line an interval. */
export class RejectionLog {
  readonly #log: Logger;
  #lastCounts: ReadonlyMap<string, number> = new Map();
  #nextAt: Timestamp = clockOrigin;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Compares the counters with those of the last call that was due, and logs a shortage. */
  update(counts: ReadonlyMap<string, number>, now: Timestamp): void {
    if (now < this.#nextAt) return;
    this.#nextAt = addMs(now, logIntervalMs);
    const increases = this.#increasesSinceLast(counts);
    this.#lastCounts = new Map(counts);
    if (shortageCounters.some((name) => increases.has(name)))
      this.#log.write('warn', 'requests rejected for lack of quota', increases);
  }

  #increasesSinceLast(counts: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const increases = new Map<string, number>();
    for (const [name, count] of counts) {
      const increase = count - (this.#lastCounts.get(name) ?? 0);
      if (increase > 0) increases.set(name, increase);
    }
    return increases;
  }
}
