/**
 * Judges a history of operators' operations. The configuration is a register whose highest number
 * wins: each number has one content, what was acknowledged is never lost, and no read returns less
 * than what was acknowledged or read before it began. For such a register these conditions are
 * those of linearizability: every operation can be placed at one moment between its start and its
 * end so that each read returns the highest number written before it.
 */

import { increment } from '@switchwheel/types';
import type {
  ConfigurationRead,
  ConfigurationWrite,
  Operation,
  PurgeWrite,
  RolloutRequest,
  SentVersion,
  Version,
} from './history.js';

/** What a history must hold for its verdict on each point to mean anything. */
export const historyCoverageGoals = [
  'a configuration was acknowledged',
  'a configuration got no clear answer',
  'a configuration was refused',
  'two contents were sent under one number at once',
  'an acknowledged configuration was sent again',
  'a number below an acknowledged one was sent',
  'a read began after an acknowledgement',
  'a read began after another read',
  'a read ran beside a write',
  'a release order was acknowledged again',
  'a release order was sent again after another one',
  'a purge was acknowledged after another one',
] as const;
/** The name of one goal. */
export type HistoryCoverageGoal = (typeof historyCoverageGoals)[number];

/** What a checker found in a history, and how often each point was put to the test. */
export interface HistoryVerdict {
  readonly violations: readonly string[];
  readonly counts: ReadonlyMap<HistoryCoverageGoal, number>;
}

type Completed<T extends Operation> = T & { readonly endedAt: number };
type AcknowledgedWrite = Completed<ConfigurationWrite> & { readonly version: Version };
type CompletedRead = Completed<ConfigurationRead> & { readonly version: Version };

const formatVersion = (version: SentVersion): string =>
  `${version.number ?? 'a new number'} (${version.hash.slice(0, 8)})`;
const sameVersion = (one: SentVersion, two: SentVersion): boolean =>
  one.number === two.number && one.hash === two.hash;
/** Whether what was sent can be what has this number: the number of an unanswered write may be any. */
const mayBeVersion = (sent: SentVersion, version: Version): boolean =>
  sent.hash === version.hash && (sent.number === undefined || sent.number === version.number);
/** Whether two that were sent may have met under one number with different contents. */
const canCollide = (one: SentVersion, two: SentVersion): boolean =>
  one.hash !== two.hash &&
  (one.number === undefined || two.number === undefined || one.number === two.number);
const isCompleted = <T extends Operation>(one: T): one is Completed<T> => one.endedAt !== undefined;
const isAcknowledged = <T extends Operation>(one: T): one is Completed<T> =>
  one.outcome === 'acknowledged' && isCompleted(one);
const endsBefore = (one: Operation, two: Operation): boolean =>
  one.endedAt !== undefined && one.endedAt < two.startedAt;
const overlap = (one: Operation, two: Operation): boolean =>
  !endsBefore(one, two) && !endsBefore(two, one);

/** One pass over one history. */
class HistoryCheck {
  readonly violations: string[] = [];
  readonly counts = new Map<HistoryCoverageGoal, number>();
  readonly #writes: readonly ConfigurationWrite[];
  readonly #acknowledged: readonly AcknowledgedWrite[];
  readonly #reads: readonly Completed<ConfigurationRead>[];
  readonly #completedReads: readonly CompletedRead[];
  readonly #releases: readonly RolloutRequest[];
  readonly #purges: readonly PurgeWrite[];

  constructor(operations: readonly Operation[]) {
    this.#writes = operations.filter((one) => one.kind === 'write');
    this.#acknowledged = this.#writes.filter(isAcknowledged).flatMap((one) => {
      const { number, hash } = one.version;
      return number === undefined ? [] : [{ ...one, version: { number, hash } }];
    });
    this.#reads = operations.filter((one) => one.kind === 'read').filter(isAcknowledged);
    this.#completedReads = this.#reads.flatMap((one) =>
      one.version === undefined ? [] : [{ ...one, version: one.version }],
    );
    this.#releases = operations.filter((one) => one.kind === 'release');
    this.#purges = operations.filter((one) => one.kind === 'purge');
  }

  run(): HistoryVerdict {
    this.#recordWriteCoverage();
    this.#checkOneContentPerNumber();
    this.#checkRefusals();
    this.#checkReadsWereSent();
    this.#checkAssignedNumbers();
    this.#checkReadsAreCurrent();
    this.#checkRolloutRequests();
    this.#checkPurgeOrder();
    return { violations: this.violations, counts: this.counts };
  }

  #recordCoverage(point: HistoryCoverageGoal): void {
    increment(this.counts, point);
  }

  #addViolation(text: string): void {
    this.violations.push(text);
  }

  #recordWriteCoverage(): void {
    for (const one of this.#writes) {
      if (one.outcome === 'acknowledged') this.#recordCoverage('a configuration was acknowledged');
      else if (one.outcome === 'refused') this.#recordCoverage('a configuration was refused');
      else this.#recordCoverage('a configuration got no clear answer');
      const others = this.#acknowledged.filter((other) => endsBefore(other, one));
      if (others.some((other) => sameVersion(other.version, one.version)))
        this.#recordCoverage('an acknowledged configuration was sent again');
      const { number } = one.version;
      if (one.isNumbered && others.some((other) => other.version.number > (number ?? 0)))
        this.#recordCoverage('a number below an acknowledged one was sent');
    }
    for (const [at, one] of this.#writes.entries()) {
      const rival = this.#writes
        .slice(at + 1)
        .some(
          (other) =>
            one.isNumbered &&
            other.isNumbered &&
            canCollide(one.version, other.version) &&
            overlap(one, other),
        );
      if (rival) this.#recordCoverage('two contents were sent under one number at once');
    }
  }

  /** A number that was acknowledged or read has one content. */
  #checkOneContentPerNumber(): void {
    const contents = new Map<number, Version>();
    for (const { version } of [...this.#acknowledged, ...this.#completedReads]) {
      const known = contents.get(version.number);
      if (known === undefined) contents.set(version.number, version);
      else if (known.hash !== version.hash)
        this.#addViolation(
          `one number, two contents: ${formatVersion(known)} and ${formatVersion(version)}`,
        );
    }
  }

  /** What was acknowledged is not refused when it is sent again; and what is refused while nothing else has its number. */
  #checkRefusals(): void {
    for (const one of this.#writes) {
      if (one.outcome !== 'refused' || !one.isNumbered) continue;
      const before = this.#acknowledged.find(
        (other) => endsBefore(other, one) && sameVersion(other.version, one.version),
      );
      if (before !== undefined)
        this.#addViolation(
          `${formatVersion(one.version)} was acknowledged, sent again, and refused`,
        );
      const rival = this.#writes.some(
        (other) => canCollide(one.version, other.version) && !endsBefore(one, other),
      );
      if (!rival)
        this.#addViolation(
          `${formatVersion(one.version)} was refused, and no other has its number`,
        );
    }
  }

  /** What is read was sent before, and not only by those who were refused. */
  #checkReadsWereSent(): void {
    for (const read of this.#completedReads) {
      const sent = this.#writes.filter(
        (one) => mayBeVersion(one.version, read.version) && one.startedAt <= read.endedAt,
      );
      if (sent.length === 0)
        this.#addViolation(`${formatVersion(read.version)} was read, and nobody had sent it`);
      else if (sent.every((one) => one.outcome === 'refused'))
        this.#addViolation(
          `${formatVersion(read.version)} was read, and was refused to all who sent it`,
        );
    }
  }

  /** A number that the control side gives is above all that were acknowledged or read before. */
  #checkAssignedNumbers(): void {
    for (const one of this.#acknowledged) {
      if (one.isNumbered) continue;
      const known = [...this.#acknowledged, ...this.#completedReads].filter((other) =>
        endsBefore(other, one),
      );
      const most = Math.max(0, ...known.map((other) => other.version.number));
      if (one.version.number <= most)
        this.#addViolation(`${formatVersion(one.version)} was given, and ${most} was known before`);
    }
  }

  /** No read returns less than what was acknowledged or read before it began. */
  #checkReadsAreCurrent(): void {
    for (const read of this.#reads) {
      const number = read.version?.number ?? 0;
      const written = this.#acknowledged.filter((one) => endsBefore(one, read));
      const seen = this.#completedReads.filter((one) => endsBefore(one, read));
      if (written.length > 0) this.#recordCoverage('a read began after an acknowledgement');
      if (seen.length > 0) this.#recordCoverage('a read began after another read');
      if (this.#writes.some((one) => overlap(one, read)))
        this.#recordCoverage('a read ran beside a write');
      const most = Math.max(0, ...written.map((one) => one.version.number));
      if (number < most)
        this.#addViolation(`${most} was acknowledged, and ${number} was read later`);
      const last = Math.max(0, ...seen.map((one) => one.version.number));
      if (number < last) this.#addViolation(`${last} was read, and ${number} was read later`);
    }
  }

  /** An order that was acknowledged runs once, under one number, and is never refused. */
  #checkRolloutRequests(): void {
    const acknowledged = this.#releases.filter(isAcknowledged);
    for (const one of this.#releases) {
      const before = acknowledged.filter((other) => endsBefore(other, one));
      const same = before.find((other) => other.key === one.key);
      if (same === undefined) continue;
      if (one.outcome === 'refused')
        this.#addViolation(`the order ${one.key} was acknowledged, sent again, and refused`);
      if (one.outcome !== 'acknowledged') continue;
      this.#recordCoverage('a release order was acknowledged again');
      if (one.order !== same.order)
        this.#addViolation(
          `the order ${one.key} was begun twice, as ${same.order} and ${one.order}`,
        );
      if (before.some((other) => other.key !== one.key && endsBefore(same, other)))
        this.#recordCoverage('a release order was sent again after another one');
    }
  }

  /** Purges that were acknowledged keep their order: caches hear them in it. */
  #checkPurgeOrder(): void {
    const acknowledged = this.#purges.filter(isAcknowledged);
    for (const one of acknowledged) {
      const before = acknowledged.filter((other) => endsBefore(other, one));
      if (before.length === 0) continue;
      this.#recordCoverage('a purge was acknowledged after another one');
      const most = Math.max(...before.map((other) => other.number ?? 0));
      if ((one.number ?? 0) <= most)
        this.#addViolation(`purge ${one.number} was acknowledged after purge ${most} had been`);
    }
  }
}

/** Judges a history. */
export const checkHistory = (operations: readonly Operation[]): HistoryVerdict =>
  new HistoryCheck(operations).run();

/** The points that a history never put to the test. */
export const unmetHistoryGoals = (
  counts: ReadonlyMap<HistoryCoverageGoal, number>,
): readonly HistoryCoverageGoal[] =>
  historyCoverageGoals.filter((one) => (counts.get(one) ?? 0) === 0);
