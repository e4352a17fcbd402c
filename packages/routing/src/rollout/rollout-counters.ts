/**
 * Counts attempts per release during a rollout. The store's primary judges the canary by these counts. Counting starts
 * when this edge first receives the rollout.
 */

import {
  type Release,
  type ServiceName,
  type Timestamp,
  elapsedMs,
  toDurationMs,
} from '@switchwheel/types';
import type { FrameOf, ReleaseCountsRow, RolloutState } from '@switchwheel/transport';

/** Outcome of an attempt for the statistics of its release. */
export type ReleaseOutcome = 'succeeded' | 'failed' | 'cancelled';

/** Counts of a service's rollout, as members of the `tally` frame. */
export type RolloutReport = Pick<
  FrameOf<'tally'>,
  'service' | 'order' | 'serial' | 'rows' | 'inFlightOld' | 'spentMs'
>;

/** Counts of one release and service class; the members are those of a row of the `tally` frame. */
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

/** An attempt is slow if it takes longer than the typical latency times this factor. */
const slowAttemptFactor = 4;

/** Counters of all rollouts, updated in place by each attempt. */
export class RolloutCounters {
  readonly #rollouts = new Map<ServiceName, RolloutCounts>();
  /** Attempts in flight by service and release, counted also without a rollout. */
  readonly #inFlight = new Map<string, number>();

  /** Starts counting for rollouts that are new to this edge. */
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

  /** Records that an attempt was sent to an instance of a release. */
  recordAttemptStart(service: ServiceName, release: Release, className: string): void {
    const key = inFlightKey(service, release);
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
    const counts = this.#countsOf(service, release, className);
    if (counts !== undefined) counts.sent += 1;
  }

  /** Records the end of an attempt after `durationMs`; `typicalMs` is the typical latency of the settled release. */
  recordAttemptEnd(
    service: ServiceName,
    release: Release,
    className: string,
    outcome: ReleaseOutcome,
    durationMs: number,
    typicalMs: number,
  ): void {
    const key = inFlightKey(service, release);
    this.#inFlight.set(key, Math.max(0, (this.#inFlight.get(key) ?? 0) - 1));
    const counts = this.#countsOf(service, release, className);
    if (counts === undefined) return;
    const isSlow = durationMs > slowAttemptFactor * typicalMs;
    // An attempt cancelled before it counted as slow gives no evidence about its release.
    if (outcome === 'cancelled' && !isSlow) return;
    if (outcome === 'failed') counts.bad += 1;
    else counts.good += 1;
    if (isSlow) counts.slow += 1;
    counts.sumMs += durationMs;
  }

  /** Returns the counts of a rollout; undefined if this edge does not count for that rollout. */
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

  /** Number of attempts in flight to releases other than the rollout's target. */
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
