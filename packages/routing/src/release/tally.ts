import {
  type Timestamp,
  type Release,
  type ServiceName,
  elapsedMs,
  toDurationMs,
} from '@switchwheel/types';
import type { FrameOf, ReleaseState, TallyRow } from '@switchwheel/transport';

/** What a leg that ended counts as. */
export type Outcome = 'good' | 'bad' | 'cut';

interface Count {
  readonly release: Release;
  readonly group: string;
  sent: number;
  good: number;
  bad: number;
  slow: number;
  sumMs: number;
}

interface Order {
  readonly order: number;
  readonly since: Timestamp;
  readonly counts: Map<string, Count>;
}

/** An answer this many times the usual span is slow. */
const slowTimes = 4;

/** What this edge counts of a service's releases since it heard of an order. Each request changes it in place. */
export class Tallies {
  readonly #orders = new Map<ServiceName, Order>();
  /** Legs under way, by service and release, whether an order stands or not. */
  readonly #open = new Map<string, number>();

  /** Takes note of the orders that stand. */
  note(states: Iterable<ReleaseState>, now: Timestamp): void {
    for (const one of states) {
      if (one.target === undefined || this.#orders.get(one.service)?.order === one.order) continue;
      this.#orders.set(one.service, { order: one.order, since: now, counts: new Map() });
    }
  }

  sent(service: ServiceName, release: Release, group: string): void {
    const key = `${service} ${release}`;
    this.#open.set(key, (this.#open.get(key) ?? 0) + 1);
    const count = this.#count(service, release, group);
    if (count !== undefined) count.sent += 1;
  }

  ended(
    service: ServiceName,
    release: Release,
    group: string,
    outcome: Outcome,
    ms: number,
    usualMs: number,
  ): void {
    const key = `${service} ${release}`;
    this.#open.set(key, Math.max(0, (this.#open.get(key) ?? 0) - 1));
    const count = this.#count(service, release, group);
    if (count === undefined) return;
    const slow = ms > slowTimes * usualMs;
    // One that was cut before it was slow tells nothing.
    if (outcome === 'cut' && !slow) return;
    if (outcome === 'bad') count.bad += 1;
    else count.good += 1;
    if (slow) count.slow += 1;
    count.sumMs += ms;
  }

  /** The word for the primary on one service. */
  tell(
    state: ReleaseState,
    now: Timestamp,
  ):
    | Pick<FrameOf<'tally'>, 'service' | 'order' | 'serial' | 'rows' | 'inFlightOld' | 'spentMs'>
    | undefined {
    const own = this.#orders.get(state.service);
    if (own === undefined || own.order !== state.order) return undefined;
    const rows: TallyRow[] = [...own.counts.values()].map(
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
    for (const [key, many] of this.#open)
      if (key.startsWith(`${state.service} `) && key !== `${state.service} ${state.target ?? ''}`)
        inFlightOld += many;
    return {
      service: state.service,
      order: state.order,
      serial: state.serial,
      rows,
      inFlightOld,
      spentMs: toDurationMs(Math.max(0, elapsedMs(own.since, now))),
    };
  }

  #count(service: ServiceName, release: Release, group: string): Count | undefined {
    const own = this.#orders.get(service);
    if (own === undefined) return undefined;
    const key = `${release} ${group}`;
    const known = own.counts.get(key);
    if (known !== undefined) return known;
    const fresh: Count = { release, group, sent: 0, good: 0, bad: 0, slow: 0, sumMs: 0 };
    own.counts.set(key, fresh);
    return fresh;
  }
}
