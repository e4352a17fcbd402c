/**
 * What an edge counts of the releases that a rollout compares, for the store's primary, which decides on the canary. The
 * counts of a rollout begin when this edge first hears of it.
 */

import {
  type Release,
  type ServiceName,
  type Timestamp,
  elapsedMs,
  toDurationMs,
} from '@switchwheel/types';
import type { FrameOf, ReleaseCountsRow, RolloutState } from '@switchwheel/transport';

/** How an attempt ended, as far as its release is concerned. */
export type AttemptOutcome = 'succeeded' | 'failed' | 'cancelled';

/** A service's counts as they stand in the frame to the primary. */
export type RolloutReport = Pick<
  FrameOf<'tally'>,
  'service' | 'order' | 'serial' | 'rows' | 'inFlightOld' | 'spentMs'
>;

/** The counts of one release and service class; the names are those of the frame's row. */
interface OutcomeCounts {
  readonly release: Release;
  readonly group: string;
  sent: number;
  good: number;
  bad: number;
  slow: number;
  sumMs: number;
}

interface RolloutCounts {
  readonly rolloutSeq: number;
  readonly startedAt: Timestamp;
  readonly countsByRelease: Map<string, OutcomeCounts>;
}

/** An attempt this many times as long as is typical is slow. */
const slowAttemptFactor = 4;

/** The counts of all rollouts. They change in place, as each request changes them. */
export class RolloutCounters {
  readonly #rollouts = new Map<ServiceName, RolloutCounts>();
  /** Attempts in flight by service and release, whether there is a rollout or not. */
  readonly #inFlight = new Map<string, number>();

  /** Begins to count for rollouts that are new. */
  trackRollouts(rollouts: Iterable<RolloutState>, now: Timestamp): void {
    for (const { service, target, order } of rollouts) {
      if (target === undefined || this.#rollouts.get(service)?.rolloutSeq === order) continue;
      this.#rollouts.set(service, {
        rolloutSeq: order,
        startedAt: now,
        countsByRelease: new Map(),
      });
    }
  }

  /** An attempt was sent to a release. */
  recordAttemptStart(service: ServiceName, release: Release, className: string): void {
    const key = inFlightKey(service, release);
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
    const counts = this.#countsOf(service, release, className);
    if (counts !== undefined) counts.sent += 1;
  }

  /** An attempt ended after `durationMs`, where `typicalMs` is typical of the settled release. */
  recordAttemptEnd(
    service: ServiceName,
    release: Release,
    className: string,
    outcome: AttemptOutcome,
    durationMs: number,
    typicalMs: number,
  ): void {
    const key = inFlightKey(service, release);
    this.#inFlight.set(key, Math.max(0, (this.#inFlight.get(key) ?? 0) - 1));
    const counts = this.#countsOf(service, release, className);
    if (counts === undefined) return;
    const isSlow = durationMs > slowAttemptFactor * typicalMs;
    // One that was cancelled before it was slow says nothing of its release.
    if (outcome === 'cancelled' && !isSlow) return;
    if (outcome === 'failed') counts.bad += 1;
    else counts.good += 1;
    if (isSlow) counts.slow += 1;
    counts.sumMs += durationMs;
  }

  /** The counts of a rollout; undefined if this edge counts for another one of the service. */
  report(rollout: RolloutState, now: Timestamp): RolloutReport | undefined {
    const { service, order, serial } = rollout;
    const counts = this.#rollouts.get(service);
    if (counts === undefined || counts.rolloutSeq !== order) return undefined;
    const rows: ReleaseCountsRow[] = [...counts.countsByRelease.values()].map((row) => ({
      ...row,
    }));
    const spentMs = toDurationMs(Math.max(0, elapsedMs(counts.startedAt, now)));
    return { service, order, serial, rows, inFlightOld: this.#inFlightOld(rollout), spentMs };
  }

  /** Attempts in flight to other releases than the rollout's target. */
  #inFlightOld({ service, target }: RolloutState): number {
    const targetKey = `${service} ${target ?? ''}`;
    let total = 0;
    for (const [key, count] of this.#inFlight)
      if (key.startsWith(`${service} `) && key !== targetKey) total += count;
    return total;
  }

  #countsOf(service: ServiceName, release: Release, className: string): OutcomeCounts | undefined {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) return undefined;
    const key = `${release} ${className}`;
    const existing = rollout.countsByRelease.get(key);
    if (existing !== undefined) return existing;
    const counts: OutcomeCounts = {
      release,
      group: className,
      sent: 0,
      good: 0,
      bad: 0,
      slow: 0,
      sumMs: 0,
    };
    rollout.countsByRelease.set(key, counts);
    return counts;
  }
}

const inFlightKey = (service: ServiceName, release: Release): string => `${service} ${release}`;
