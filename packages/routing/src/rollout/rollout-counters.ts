import {
  type Timestamp,
  type Release,
  type ServiceName,
  elapsedMs,
  toDurationMs,
} from '@switchwheel/types';
import type { FrameOf, RolloutState, ReleaseCountsRow } from '@switchwheel/transport';

/** What a leg that ended counts as. */
export type AttemptOutcome = 'good' | 'bad' | 'cut';

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

/** An answer this many times the usual span is slow. */
const slowFactor = 4;

/** What this edge counts of a service's releases since it heard of an order. Each request changes it in place. */
export class RolloutCounters {
  readonly #rollouts = new Map<ServiceName, RolloutCounts>();
  /** Legs under way, by service and release, whether an order stands or not. */
  readonly #inFlight = new Map<string, number>();

  /** Takes note of the orders that stand. */
  noteRollouts(states: Iterable<RolloutState>, now: Timestamp): void {
    for (const one of states) {
      if (one.target === undefined || this.#rollouts.get(one.service)?.rolloutSeq === one.order)
        continue;
      this.#rollouts.set(one.service, {
        rolloutSeq: one.order,
        startedAt: now,
        countsByRelease: new Map(),
      });
    }
  }

  recordAttemptStart(service: ServiceName, release: Release, group: string): void {
    const key = `${service} ${release}`;
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
    const count = this.#countsOf(service, release, group);
    if (count !== undefined) count.sent += 1;
  }

  recordAttemptEnd(
    service: ServiceName,
    release: Release,
    group: string,
    outcome: AttemptOutcome,
    ms: number,
    usualMs: number,
  ): void {
    const key = `${service} ${release}`;
    this.#inFlight.set(key, Math.max(0, (this.#inFlight.get(key) ?? 0) - 1));
    const count = this.#countsOf(service, release, group);
    if (count === undefined) return;
    const slow = ms > slowFactor * usualMs;
    // One that was cut before it was slow tells nothing.
    if (outcome === 'cut' && !slow) return;
    if (outcome === 'bad') count.bad += 1;
    else count.good += 1;
    if (slow) count.slow += 1;
    count.sumMs += ms;
  }

  /** The word for the primary on one service. */
  report(
    state: RolloutState,
    now: Timestamp,
  ):
    | Pick<FrameOf<'tally'>, 'service' | 'order' | 'serial' | 'rows' | 'inFlightOld' | 'spentMs'>
    | undefined {
    const own = this.#rollouts.get(state.service);
    if (own === undefined || own.rolloutSeq !== state.order) return undefined;
    const rows: ReleaseCountsRow[] = [...own.countsByRelease.values()].map(
      ({ release, group, sent, good, bad, slow, sumMs }) => ({
        release,
        group,
        sent,
        good,
        bad,
        slow,
        sumMs,
      }),
    );
    let inFlightOld = 0;
    for (const [key, many] of this.#inFlight)
      if (key.startsWith(`${state.service} `) && key !== `${state.service} ${state.target ?? ''}`)
        inFlightOld += many;
    return {
      service: state.service,
      order: state.order,
      serial: state.serial,
      rows,
      inFlightOld,
      spentMs: toDurationMs(Math.max(0, elapsedMs(own.startedAt, now))),
    };
  }

  #countsOf(service: ServiceName, release: Release, group: string): OutcomeCounts | undefined {
    const own = this.#rollouts.get(service);
    if (own === undefined) return undefined;
    const key = `${release} ${group}`;
    const known = own.countsByRelease.get(key);
    if (known !== undefined) return known;
    const fresh: OutcomeCounts = { release, group, sent: 0, good: 0, bad: 0, slow: 0, sumMs: 0 };
    own.countsByRelease.set(key, fresh);
    return fresh;
  }
}
