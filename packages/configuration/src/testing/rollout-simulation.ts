/**
 * A release rollout played against simulated edges, origins and a primary, in virtual time and with a
 * seeded random state: one scenario has one outcome.
 */

import * as v from 'valibot';
import {
  type RandomState,
  type Release,
  type ServiceName,
  nextRandom,
  noSeq,
  serviceName,
  toDurationMs,
  toIncarnation,
  toNodeId,
  toRelease,
  toTimestamp,
} from '@switchwheel/types';
import type { FrameOf, ReleaseCountsRow, RolloutState } from '@switchwheel/transport';
import {
  type RolloutWatch,
  elapsedAt,
  newRolloutWatch,
  recordCounts,
} from '../release/canary-counts.js';
import { pickRelease } from '../release/pick-release.js';
import {
  type ReleaseRollout,
  type RolloutRequestResult,
  needsCounts,
  releaseStateOf,
  requestReleaseRollout,
  settledRollout,
} from '../release/release-rollout.js';
import { advanceReleaseRollout } from '../release/rollout-controller.js';
import { releaseSettings } from '../release/settings.js';

/** The service that is rolled out. */
export const service: ServiceName = v.parse(serviceName, 'shop');
/** The release that it is settled on. */
export const oldRelease: Release = toRelease('r1');
/** The release that it is rolled out to. */
export const newRelease: Release = toRelease('r2');

/** How a new release answers. */
export interface Behaviour {
  readonly kind: 'good' | 'errors' | 'slow' | 'load' | 'class' | 'late';
  readonly share: number;
  /** The part of the service's usual load beyond which responses fail. */
  readonly load: number;
  /** The part of the span after which responses fail. */
  readonly late: number;
  /** The new origins are this much slower or faster than the old ones, beside their slow start. */
  readonly pace: number;
}

/** What is played. */
export interface Scenario {
  readonly seed: number;
  readonly perS: number;
  readonly spanMs: number;
  readonly release: Behaviour;
  /** The primary is lost then, and another goes on from the record after a while. */
  readonly lossAt?: number;
  readonly edgeLossAt?: number;
  /** A fault that both releases share for some seconds: this part of their responses fails. */
  readonly trouble?: number;
}

/** What a scenario came to. */
export interface Outcome {
  readonly order: ReleaseRollout;
  readonly total: number;
  readonly exposed: number;
  readonly judgedMs: number;
  /** Requests in flight at old origins when the release was judged good. */
  readonly cutOff: number;
  /** The latest that a request was sent to the target after its 50th bad response, in milliseconds. */
  readonly after50: number;
  readonly writes: number;
}

interface ClassCounts {
  sent: number;
  good: number;
  bad: number;
  slow: number;
  sumMs: number;
}

interface SimulatedEdge {
  incarnation: number;
  state: RolloutState;
  heardAt: number;
  /** When the rollout began by this edge's clock. */
  since: number;
  rows: Map<string, ClassCounts>;
  inFlightOld: number;
}

const edgeCount = 10;
const usualMs = 80;
const stepMs = 5;

/** The rollout that a request opened; fails if it opened none. */
export const openedRollout = (result: RolloutRequestResult): ReleaseRollout => {
  if (result.kind !== 'opened') throw new Error(`not opened: ${result.kind}`);
  return result.rollout;
};

const liveOrigins = new Map<Release, number>([
  [oldRelease, 4],
  [newRelease, 4],
]);
const liveReleases: ReadonlySet<Release> = new Set(liveOrigins.keys());

class RolloutSimulation {
  readonly #scenario: Scenario;
  readonly #queue = new Map<number, (() => void)[]>();
  readonly #edges: readonly SimulatedEdge[];
  #randomState: RandomState;
  #now = 0;
  #stored: ReleaseRollout;
  #watch: RolloutWatch | undefined;
  #isWriting = false;
  #writes = 0;
  #judgedMs = NaN;
  #cutOff = 0;
  #total = 0;
  #exposed = 0;
  #badResponses = 0;
  #badAt = NaN;
  #after50 = 0;
  #inFlightNew = 0;
  #inFlightOld = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#randomState = { seed: scenario.seed };
    const settled = settledRollout(service, oldRelease);
    this.#stored = openedRollout(
      requestReleaseRollout(settled, oldRelease, newRelease, scenario.spanMs, 0),
    );
    this.#watch = newRolloutWatch(this.#stored.order, 0, toTimestamp(0));
    this.#edges = Array.from({ length: edgeCount }, () => ({
      incarnation: 1,
      state: releaseStateOf(settled, 0),
      heardAt: 0,
      since: 0,
      rows: new Map(),
      inFlightOld: 0,
    }));
  }

  #random(): number {
    const [fraction, next] = nextRandom(this.#randomState);
    this.#randomState = next;
    return fraction;
  }

  #schedule(at: number, run: () => void): void {
    const turn = Math.ceil(at / stepMs);
    const list = this.#queue.get(turn);
    if (list === undefined) this.#queue.set(turn, [run]);
    else list.push(run);
  }

  #receiveState(edge: SimulatedEdge, state: RolloutState): void {
    edge.heardAt = this.#now;
    if (state.serial <= edge.state.serial) return;
    if (state.order !== edge.state.order) {
      edge.rows = new Map();
      edge.since = this.#now - (this.#scenario.spanMs - state.leftMs);
    }
    edge.state = state;
  }

  #pushState(maxDelayMs: number): void {
    const elapsed =
      this.#watch === undefined
        ? this.#stored.spentMs
        : elapsedAt(this.#watch, toTimestamp(this.#now));
    const state = releaseStateOf(this.#stored, elapsed);
    for (const edge of this.#edges)
      this.#schedule(this.#now + 10 + this.#random() * maxDelayMs, () =>
        this.#receiveState(edge, state),
      );
  }

  #advance(): void {
    const now = toTimestamp(this.#now);
    const watch = this.#watch;
    if (watch === undefined || this.#isWriting) return;
    if (!needsCounts(this.#stored, elapsedAt(watch, now))) return;
    const next = advanceReleaseRollout(this.#stored, watch, liveOrigins, now, releaseSettings);
    if (next === this.#stored) return;
    this.#isWriting = true;
    this.#schedule(this.#now + 10 + this.#random() * 20, () =>
      this.#finishWrite(next, watch.watchedSince),
    );
  }

  #finishWrite(next: ReleaseRollout, watchedSince: number): void {
    this.#isWriting = false;
    // A primary that was lost meanwhile wrote nothing.
    if (this.#watch?.watchedSince !== watchedSince) return;
    if (next.phase === 'good' && this.#stored.phase !== 'good') this.#cutOff = this.#inFlightOld;
    if (next.phase !== this.#stored.phase && (next.phase === 'good' || next.phase === 'bad'))
      this.#judgedMs = this.#now;
    this.#stored = next;
    this.#writes += 1;
    this.#pushState(150);
  }

  #isFailing(className: string): boolean {
    const { release, perS, spanMs } = this.#scenario;
    switch (release.kind) {
      case 'errors':
        return true;
      case 'load':
        return this.#inFlightNew > Math.max(2, (release.load * perS * usualMs) / 1000);
      case 'class':
        return className === 'b';
      case 'late':
        return this.#now > release.late * spanMs;
      default:
        return false;
    }
  }

  #respond(edge: SimulatedEdge, release: Release, className: string): void {
    const sentAt = this.#now;
    const behaviour = this.#scenario.release;
    const isNew = release === newRelease;
    const slowStart = isNew && sentAt < 3500 ? 2 : 1;
    const jitter = 0.5 + this.#random();
    const isFailing = this.#isFailing(className);
    const hasFault = sentAt > 5000 && sentAt < 9000;
    const faultRate = hasFault ? (this.#scenario.trouble ?? 0) : 0;
    const failureRate = Math.max(faultRate, isNew && isFailing ? behaviour.share : 0.004);
    const isBad = this.#random() < failureRate;
    const isSlowed = isNew && behaviour.kind === 'slow' && this.#random() < behaviour.share;
    const slowdown = isSlowed ? 8 : 1;
    const tookMs = usualMs * jitter * slowStart * slowdown * (isNew ? behaviour.pace : 1);
    if (isNew) this.#inFlightNew += 1;
    else this.#inFlightOld += 1;
    edge.inFlightOld += isNew ? 0 : 1;
    const { incarnation } = edge;
    this.#schedule(sentAt + tookMs, () => {
      this.#endRequest(isNew, isBad || isSlowed);
      if (edge.incarnation !== incarnation) return;
      edge.inFlightOld -= isNew ? 0 : 1;
      this.#count(edge.rows.get(`${release} ${className}`), isBad, sentAt);
    });
  }

  #endRequest(isNew: boolean, isBad: boolean): void {
    if (isNew) this.#inFlightNew -= 1;
    else this.#inFlightOld -= 1;
    if (!isNew || !isBad) return;
    this.#badResponses += 1;
    if (this.#badResponses === 50) this.#badAt = this.#now;
  }

  #count(row: ClassCounts | undefined, isBad: boolean, sentAt: number): void {
    if (row === undefined) return;
    const tookMs = this.#now - sentAt;
    if (isBad) row.bad += 1;
    else row.good += 1;
    if (tookMs > usualMs * 4) row.slow += 1;
    row.sumMs += tookMs;
  }

  #request(edge: SimulatedEdge): void {
    const className = this.#random() < 0.2 ? 'b' : 'a';
    const fraction = this.#random();
    const isFresh = this.#now - edge.heardAt < 1500;
    const release =
      pickRelease(edge.state, liveReleases, className, fraction, isFresh) ?? oldRelease;
    const key = `${release} ${className}`;
    const row = edge.rows.get(key) ?? { sent: 0, good: 0, bad: 0, slow: 0, sumMs: 0 };
    row.sent += 1;
    edge.rows.set(key, row);
    if (this.#now < this.#scenario.spanMs) {
      this.#total += 1;
      if (release === newRelease) this.#exposed += 1;
    }
    if (release === newRelease && this.#now > this.#badAt) this.#after50 = this.#now - this.#badAt;
    this.#respond(edge, release, className);
  }

  #report(edge: SimulatedEdge, index: number): void {
    if (edge.state.order === noSeq) return;
    const frame: FrameOf<'tally'> = {
      kind: 'tally',
      node: toNodeId(`e${index}`),
      incarnation: toIncarnation(edge.incarnation),
      service,
      order: edge.state.order,
      serial: edge.state.serial,
      rows: [...edge.rows].map(rowOf),
      inFlightOld: edge.inFlightOld,
      spentMs: toDurationMs(Math.max(0, this.#now - edge.since)),
    };
    this.#schedule(this.#now + 5 + this.#random() * 30, () => {
      if (this.#watch === undefined) return;
      this.#watch = recordCounts(this.#watch, frame, toTimestamp(this.#now));
      this.#advance();
    });
  }

  #losePrimary(): void {
    const { lossAt } = this.#scenario;
    if (lossAt === undefined) return;
    if (this.#now === lossAt) this.#watch = undefined;
    if (this.#now !== lossAt + 1200) return;
    this.#isWriting = false;
    const { order, spentMs } = this.#stored;
    this.#watch = newRolloutWatch(order, spentMs, toTimestamp(this.#now));
  }

  #loseEdges(): void {
    if (this.#now !== this.#scenario.edgeLossAt) return;
    for (const edge of this.#edges.slice(0, 3))
      Object.assign(edge, {
        incarnation: 2,
        rows: new Map(),
        inFlightOld: 0,
        since: this.#now,
        state: releaseStateOf(settledRollout(service, oldRelease), 0),
      });
  }

  #step(): void {
    for (const run of this.#queue.get(this.#now / stepMs) ?? []) run();
    this.#queue.delete(this.#now / stepMs);
    this.#losePrimary();
    this.#loseEdges();
    if (this.#watch !== undefined && this.#now % 50 === 0) this.#advance();
    if (this.#watch !== undefined && this.#now % 250 === 0) this.#pushState(250);
    this.#edges.forEach((edge, index) => {
      if ((this.#now + index * 25) % 250 === 0) this.#report(edge, index);
    });
  }

  run(): Outcome {
    const { perS, spanMs } = this.#scenario;
    let dueRequests = 0;
    for (this.#now = 0; this.#now < spanMs + 1000; this.#now += stepMs) {
      this.#step();
      dueRequests += (perS * stepMs) / 1000;
      while (dueRequests >= 1) {
        dueRequests -= 1;
        const edge = this.#edges[Math.floor(this.#random() * edgeCount)];
        if (edge !== undefined) this.#request(edge);
      }
    }
    return {
      order: this.#stored,
      total: this.#total,
      exposed: this.#exposed,
      judgedMs: this.#judgedMs,
      cutOff: this.#cutOff,
      after50: this.#after50,
      writes: this.#writes,
    };
  }
}

const rowOf = ([key, row]: readonly [string, ClassCounts]): ReleaseCountsRow => {
  const [release = '', group = ''] = key.split(' ');
  return { release: toRelease(release), group, ...row };
};

/** Plays a scenario to its end. */
export const playRollout = (scenario: Scenario): Outcome => new RolloutSimulation(scenario).run();
