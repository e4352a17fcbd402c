/**
 * Linearizability checker for the history of operators' commands. The configuration is a register
 * whose highest number wins. It is linearizable if each number has one content, what was
 * acknowledged is never lost, and no read returns a lower number than one that was acknowledged or
 * read before the read began: then every operation can be placed at one moment between its start and
 * its end so that each read returns the highest number written before it.
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

/** Situations that histories must contain for a passed check to be meaningful. */
export const historyCoverageGoals = [
  'a configuration was acknowledged',
  'a configuration ended with an unknown outcome',
  'a configuration was rejected',
  'two contents were sent concurrently under one number',
  'an acknowledged configuration was sent again',
  'a number below an acknowledged one was sent',
  'a read began after an acknowledgement',
  'a read began after another read',
  'a read ran concurrently with a write',
  'a repeated rollout request was acknowledged',
  'a rollout request was repeated after another one',
  'a purge was acknowledged after another one',
] as const;
/** Name of one coverage goal. */
export type HistoryCoverageGoal = (typeof historyCoverageGoals)[number];

/** Violations in a history, and how often each coverage goal was met. */
export interface HistoryCheckResult {
  readonly violations: readonly string[];
  readonly counts: ReadonlyMap<HistoryCoverageGoal, number>;
}

type Completed<T extends Operation> = T & { readonly endedAt: number };
type AcknowledgedWrite = Completed<ConfigurationWrite> & { readonly version: Version };
type CompletedRead = Completed<ConfigurationRead> & { readonly version: Version };

const formatVersion = (version: SentVersion): string =>
  `${version.number ?? 'a new number'} (${version.hash.slice(0, 8)})`;
const sameVersion = (left: SentVersion, right: SentVersion): boolean =>
  left.number === right.number && left.hash === right.hash;
/** Whether a sent configuration can be this version; a write without a reply may have got any number. */
const mayBeVersion = (sent: SentVersion, version: Version): boolean =>
  sent.hash === version.hash && (sent.number === undefined || sent.number === version.number);
/** Whether two sent configurations differ in content and may have the same number. */
const canCollide = (left: SentVersion, right: SentVersion): boolean =>
  left.hash !== right.hash &&
  (left.number === undefined || right.number === undefined || left.number === right.number);
const isCompleted = <T extends Operation>(operation: T): operation is Completed<T> =>
  operation.endedAt !== undefined;
const isAcknowledged = <T extends Operation>(operation: T): operation is Completed<T> =>
  operation.outcome === 'acknowledged' && isCompleted(operation);
const endsBefore = (earlier: Operation, later: Operation): boolean =>
  earlier.endedAt !== undefined && earlier.endedAt < later.startedAt;
const overlap = (left: Operation, right: Operation): boolean =>
  !endsBefore(left, right) && !endsBefore(right, left);

/** Check of one history. */
class HistoryCheck {
  readonly violations: string[] = [];
  readonly counts = new Map<HistoryCoverageGoal, number>();
  readonly #writes: readonly ConfigurationWrite[];
  readonly #acknowledged: readonly AcknowledgedWrite[];
  readonly #reads: readonly Completed<ConfigurationRead>[];
  readonly #completedReads: readonly CompletedRead[];
  readonly #rolloutRequests: readonly RolloutRequest[];
  readonly #purges: readonly PurgeWrite[];

  constructor(operations: readonly Operation[]) {
    this.#writes = operations.filter((operation) => operation.kind === 'write');
    this.#acknowledged = this.#writes.filter(isAcknowledged).flatMap((write) => {
      const { number, hash } = write.version;
      return number === undefined ? [] : [{ ...write, version: { number, hash } }];
    });
    this.#reads = operations
      .filter((operation) => operation.kind === 'read')
      .filter(isAcknowledged);
    this.#completedReads = this.#reads.flatMap((read) =>
      read.version === undefined ? [] : [{ ...read, version: read.version }],
    );
    this.#rolloutRequests = operations.filter((operation) => operation.kind === 'rollout');
    this.#purges = operations.filter((operation) => operation.kind === 'purge');
  }

  run(): HistoryCheckResult {
    this.#recordWriteCoverage();
    this.#checkOneContentPerNumber();
    this.#checkRejections();
    this.#checkReadsWereSent();
    this.#checkAssignedNumbers();
    this.#checkReadsAreCurrent();
    this.#checkRolloutRequests();
    this.#checkPurgeOrder();
    return { violations: this.violations, counts: this.counts };
  }

  #recordCoverage(goal: HistoryCoverageGoal): void {
    increment(this.counts, goal);
  }

  #addViolation(text: string): void {
    this.violations.push(text);
  }

  #recordWriteCoverage(): void {
    for (const write of this.#writes) {
      if (write.outcome === 'acknowledged')
        this.#recordCoverage('a configuration was acknowledged');
      else if (write.outcome === 'rejected') this.#recordCoverage('a configuration was rejected');
      else this.#recordCoverage('a configuration ended with an unknown outcome');
      const earlierWrites = this.#acknowledged.filter((other) => endsBefore(other, write));
      if (earlierWrites.some((other) => sameVersion(other.version, write.version)))
        this.#recordCoverage('an acknowledged configuration was sent again');
      const { number } = write.version;
      if (write.isNumbered && earlierWrites.some((other) => other.version.number > (number ?? 0)))
        this.#recordCoverage('a number below an acknowledged one was sent');
    }
    for (const [index, earlier] of this.#writes.entries()) {
      const collides = this.#writes
        .slice(index + 1)
        .some(
          (other) =>
            earlier.isNumbered &&
            other.isNumbered &&
            canCollide(earlier.version, other.version) &&
            overlap(earlier, other),
        );
      if (collides) this.#recordCoverage('two contents were sent concurrently under one number');
    }
  }

  /** Each number that was acknowledged or read has one content. */
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

  /** A configuration is not rejected after its acknowledgement, nor while no other content has its number. */
  #checkRejections(): void {
    for (const write of this.#writes) {
      if (write.outcome !== 'rejected' || !write.isNumbered) continue;
      const acknowledgedBefore = this.#acknowledged.find(
        (other) => endsBefore(other, write) && sameVersion(other.version, write.version),
      );
      if (acknowledgedBefore !== undefined)
        this.#addViolation(
          `${formatVersion(write.version)} was acknowledged, then rejected when sent again`,
        );
      const hasRival = this.#writes.some(
        (other) => canCollide(write.version, other.version) && !endsBefore(write, other),
      );
      if (!hasRival)
        this.#addViolation(
          `${formatVersion(write.version)} was rejected, but no other content has its number`,
        );
    }
  }

  /** Each version that is read was sent before by a write that was not rejected. */
  #checkReadsWereSent(): void {
    for (const read of this.#completedReads) {
      const sent = this.#writes.filter(
        (write) => mayBeVersion(write.version, read.version) && write.startedAt <= read.endedAt,
      );
      if (sent.length === 0)
        this.#addViolation(`${formatVersion(read.version)} was read before any write had sent it`);
      else if (sent.every((write) => write.outcome === 'rejected'))
        this.#addViolation(
          `${formatVersion(read.version)} was read, but every write of it was rejected`,
        );
    }
  }

  /** A number assigned by the control plane is above all that were acknowledged or read before. */
  #checkAssignedNumbers(): void {
    for (const write of this.#acknowledged) {
      if (write.isNumbered) continue;
      const known = [...this.#acknowledged, ...this.#completedReads].filter((other) =>
        endsBefore(other, write),
      );
      const highestNumber = Math.max(0, ...known.map((other) => other.version.number));
      if (write.version.number <= highestNumber)
        this.#addViolation(
          `${formatVersion(write.version)} was assigned after ${highestNumber} was acknowledged or read`,
        );
    }
  }

  /** No read returns a lower number than one that was acknowledged or read before it began. */
  #checkReadsAreCurrent(): void {
    for (const read of this.#reads) {
      const number = read.version?.number ?? 0;
      const earlierWrites = this.#acknowledged.filter((write) => endsBefore(write, read));
      const earlierReads = this.#completedReads.filter((earlier) => endsBefore(earlier, read));
      if (earlierWrites.length > 0) this.#recordCoverage('a read began after an acknowledgement');
      if (earlierReads.length > 0) this.#recordCoverage('a read began after another read');
      if (this.#writes.some((write) => overlap(write, read)))
        this.#recordCoverage('a read ran concurrently with a write');
      const highestWritten = Math.max(0, ...earlierWrites.map((write) => write.version.number));
      if (number < highestWritten)
        this.#addViolation(`${highestWritten} was acknowledged, but ${number} was read later`);
      const highestRead = Math.max(0, ...earlierReads.map((earlier) => earlier.version.number));
      if (number < highestRead)
        this.#addViolation(`${highestRead} was read, but ${number} was read later`);
    }
  }

  /** An acknowledged rollout request runs once, under one number, and its repetitions are not rejected. */
  #checkRolloutRequests(): void {
    const acknowledged = this.#rolloutRequests.filter(isAcknowledged);
    for (const request of this.#rolloutRequests) {
      const earlierRequests = acknowledged.filter((other) => endsBefore(other, request));
      const accepted = earlierRequests.find((other) => other.key === request.key);
      if (accepted === undefined) continue;
      if (request.outcome === 'rejected')
        this.#addViolation(
          `rollout request ${request.key} was acknowledged, then rejected when sent again`,
        );
      if (request.outcome !== 'acknowledged') continue;
      this.#recordCoverage('a repeated rollout request was acknowledged');
      if (request.rolloutNumber !== accepted.rolloutNumber)
        this.#addViolation(
          `rollout request ${request.key} was started twice, as ${accepted.rolloutNumber} and ${request.rolloutNumber}`,
        );
      if (earlierRequests.some((other) => other.key !== request.key && endsBefore(accepted, other)))
        this.#recordCoverage('a rollout request was repeated after another one');
    }
  }

  /** Numbers of acknowledged purges increase, since caches apply purges in that order. */
  #checkPurgeOrder(): void {
    const acknowledged = this.#purges.filter(isAcknowledged);
    for (const purge of acknowledged) {
      const earlierPurges = acknowledged.filter((other) => endsBefore(other, purge));
      if (earlierPurges.length === 0) continue;
      this.#recordCoverage('a purge was acknowledged after another one');
      const highestNumber = Math.max(...earlierPurges.map((other) => other.number ?? 0));
      if ((purge.number ?? 0) <= highestNumber)
        this.#addViolation(`purge ${purge.number} was acknowledged after purge ${highestNumber}`);
    }
  }
}

/** Checks a history. */
export const checkHistory = (operations: readonly Operation[]): HistoryCheckResult =>
  new HistoryCheck(operations).run();

/** Goals that no history met. */
export const unmetHistoryGoals = (
  counts: ReadonlyMap<HistoryCoverageGoal, number>,
): readonly HistoryCoverageGoal[] =>
  historyCoverageGoals.filter((goal) => (counts.get(goal) ?? 0) === 0);
