/**
 * Simulates a release rollout with edges, origins and a primary, in virtual time and with a seeded
 * random state: a scenario always has the same outcome.
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

/** Service under test. */
export const service: ServiceName = v.parse(serviceName, 'shop');
/** Release that the service is settled on. */
export const oldRelease: Release = toRelease('r1');
/** Target release of the rollout. */
export const newRelease: Release = toRelease('r2');

/** Behaviour of the origins of the new release. */
export interface Behaviour {
  readonly kind: 'good' | 'errors' | 'slow' | 'load' | 'class' | 'late';
  /** Fraction of the affected responses that fail or are slow. */
  readonly badFraction: number;
  /** Fraction of the service's usual load above which responses fail. */
  readonly load: number;
  /** Fraction of the rollout's span after which responses fail. */
  readonly failsAfter: number;
  /** Latency relative to the old origins, apart from the slow start. */
  readonly latencyFactor: number;
}

/** Input of a simulation. */
export interface Scenario {
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly spanMs: number;
  readonly release: Behaviour;
  /** Time at which the primary is lost; another one continues from the stored record 1200 ms later. */
  readonly primaryLossAt?: number;
  readonly edgeLossAt?: number;
  /** Fraction of both releases' responses that fail during a fault that lasts from 5 to 9 s. */
  readonly faultRate?: number;
}

/** Result of a simulation. */
export interface Outcome {
  readonly rollout: ReleaseRollout;
  readonly totalRequests: number;
  /** Requests sent to the target before the deadline. */
  readonly canaryRequests: number;
  /** Time at which the release became good or bad; NaN if it did not. */
  readonly decidedMs: number;
  /** Requests in flight at old origins when the release became good. */
  readonly interruptedRequests: number;
  /** Time from the target's 50th bad response to the last request sent to it, in milliseconds. */
  readonly lastRequestAfter50Ms: number;
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
  /** Start of the rollout by this edge's clock. */
  startedAt: number;
  rows: Map<string, ClassCounts>;
  inFlightOld: number;
}

const edgeCount = 10;
/** Mean latency of the old origins. */
const meanMs = 80;
const stepMs = 5;

/** Rollout that a request started; throws if it started none. */
export const openedRollout = (result: RolloutRequestResult): ReleaseRollout => {
  if (result.kind !== 'opened')
    throw new Error(`rollout request was expected to start a rollout, got ${result.kind}`);
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
  #decidedMs = NaN;
  #interruptedRequests = 0;
  #totalRequests = 0;
  #canaryRequests = 0;
  #badResponses = 0;
  #badResponse50At = NaN;
  #lastRequestAfter50Ms = 0;
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
      startedAt: 0,
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
    const step = Math.ceil(at / stepMs);
    const scheduled = this.#queue.get(step);
    if (scheduled === undefined) this.#queue.set(step, [run]);
    else scheduled.push(run);
  }

  #receiveState(edge: SimulatedEdge, state: RolloutState): void {
    edge.heardAt = this.#now;
    if (state.serial <= edge.state.serial) return;
    if (state.order !== edge.state.order) {
      edge.rows = new Map();
      edge.startedAt = this.#now - (this.#scenario.spanMs - state.leftMs);
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
    // The write of a primary that has been lost meanwhile does not take effect.
    if (this.#watch?.watchedSince !== watchedSince) return;
    if (next.phase === 'good' && this.#stored.phase !== 'good')
      this.#interruptedRequests = this.#inFlightOld;
    if (next.phase !== this.#stored.phase && (next.phase === 'good' || next.phase === 'bad'))
      this.#decidedMs = this.#now;
    this.#stored = next;
    this.#writes += 1;
    this.#pushState(150);
  }

  #isFailing(className: string): boolean {
    const { release, requestsPerSecond, spanMs } = this.#scenario;
    switch (release.kind) {
      case 'errors':
        return true;
      case 'load':
        return this.#inFlightNew > Math.max(2, (release.load * requestsPerSecond * meanMs) / 1000);
      case 'class':
        return className === 'b';
      case 'late':
        return this.#now > release.failsAfter * spanMs;
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
    const faultRate = hasFault ? (this.#scenario.faultRate ?? 0) : 0;
    const failureRate = Math.max(faultRate, isNew && isFailing ? behaviour.badFraction : 0.004);
    const isBad = this.#random() < failureRate;
    const isSlowed = isNew && behaviour.kind === 'slow' && this.#random() < behaviour.badFraction;
    const slowdown = isSlowed ? 8 : 1;
    const latencyMs =
      meanMs * jitter * slowStart * slowdown * (isNew ? behaviour.latencyFactor : 1);
    if (isNew) this.#inFlightNew += 1;
    else this.#inFlightOld += 1;
    edge.inFlightOld += isNew ? 0 : 1;
    const { incarnation } = edge;
    this.#schedule(sentAt + latencyMs, () => {
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
    if (this.#badResponses === 50) this.#badResponse50At = this.#now;
  }

  #count(row: ClassCounts | undefined, isBad: boolean, sentAt: number): void {
    if (row === undefined) return;
    const latencyMs = this.#now - sentAt;
    if (isBad) row.bad += 1;
    else row.good += 1;
    if (latencyMs > meanMs * 4) row.slow += 1;
    row.sumMs += latencyMs;
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
      this.#totalRequests += 1;
      if (release === newRelease) this.#canaryRequests += 1;
    }
    if (release === newRelease && this.#now > this.#badResponse50At)
      this.#lastRequestAfter50Ms = this.#now - this.#badResponse50At;
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
      spentMs: toDurationMs(Math.max(0, this.#now - edge.startedAt)),
    };
    this.#schedule(this.#now + 5 + this.#random() * 30, () => {
      if (this.#watch === undefined) return;
      this.#watch = recordCounts(this.#watch, frame, toTimestamp(this.#now));
      this.#advance();
    });
  }

  #losePrimary(): void {
    const { primaryLossAt } = this.#scenario;
    if (primaryLossAt === undefined) return;
    if (this.#now === primaryLossAt) this.#watch = undefined;
    if (this.#now !== primaryLossAt + 1200) return;
    this.#isWriting = false;
    const { order, spentMs } = this.#stored;
    this.#watch = newRolloutWatch(order, spentMs, toTimestamp(this.#now));
  }

  #restartEdges(): void {
    if (this.#now !== this.#scenario.edgeLossAt) return;
    for (const edge of this.#edges.slice(0, 3))
      Object.assign(edge, {
        incarnation: 2,
        rows: new Map(),
        inFlightOld: 0,
        startedAt: this.#now,
        state: releaseStateOf(settledRollout(service, oldRelease), 0),
      });
  }

  #step(): void {
    for (const run of this.#queue.get(this.#now / stepMs) ?? []) run();
    this.#queue.delete(this.#now / stepMs);
    this.#losePrimary();
    this.#restartEdges();
    if (this.#watch !== undefined && this.#now % 50 === 0) this.#advance();
    if (this.#watch !== undefined && this.#now % 250 === 0) this.#pushState(250);
    this.#edges.forEach((edge, index) => {
      if ((this.#now + index * 25) % 250 === 0) this.#report(edge, index);
    });
  }

  run(): Outcome {
    const { requestsPerSecond, spanMs } = this.#scenario;
    let dueRequests = 0;
    for (this.#now = 0; this.#now < spanMs + 1000; this.#now += stepMs) {
      this.#step();
      dueRequests += (requestsPerSecond * stepMs) / 1000;
      while (dueRequests >= 1) {
        dueRequests -= 1;
        const edge = this.#edges[Math.floor(this.#random() * edgeCount)];
        if (edge !== undefined) this.#request(edge);
      }
    }
    return {
      rollout: this.#stored,
      totalRequests: this.#totalRequests,
      canaryRequests: this.#canaryRequests,
      decidedMs: this.#decidedMs,
      interruptedRequests: this.#interruptedRequests,
      lastRequestAfter50Ms: this.#lastRequestAfter50Ms,
      writes: this.#writes,
    };
  }
}

const rowOf = ([key, row]: readonly [string, ClassCounts]): ReleaseCountsRow => {
  const [release = '', group = ''] = key.split(' ');
  return { release: toRelease(release), group, ...row };
};

/** Runs a scenario to its end. */
export const simulateRollout = (scenario: Scenario): Outcome =>
  new RolloutSimulation(scenario).run();
