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
  ReleaseWrite,
  SentVersion,
  Version,
} from './history.js';

/** What a history must hold for its verdict on each point to mean anything. */
export const historyPoints = [
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
export type HistoryPoint = (typeof historyPoints)[number];

/** What a checker found in a history, and how often each point was put to the test. */
export interface Verdict {
  readonly violations: readonly string[];
  readonly counts: ReadonlyMap<HistoryPoint, number>;
}

type Ended<T extends Operation> = T & { readonly endedAt: number };
type AcknowledgedWrite = Ended<ConfigurationWrite> & { readonly version: Version };
type CompletedRead = Ended<ConfigurationRead> & { readonly version: Version };

const textOf = (version: SentVersion): string =>
  `${version.number ?? 'a new number'} (${version.hash.slice(0, 8)})`;
const sameVersion = (one: SentVersion, two: SentVersion): boolean =>
  one.number === two.number && one.hash === two.hash;
/** Whether what was sent can be what has this number: the number of an unanswered write may be any. */
const canBe = (sent: SentVersion, version: Version): boolean =>
  sent.hash === version.hash && (sent.number === undefined || sent.number === version.number);
/** Whether two that were sent may have met under one number with different contents. */
const canCollide = (one: SentVersion, two: SentVersion): boolean =>
  one.hash !== two.hash &&
  (one.number === undefined || two.number === undefined || one.number === two.number);
const hasEnded = <T extends Operation>(one: T): one is Ended<T> => one.endedAt !== undefined;
const isAcknowledged = <T extends Operation>(one: T): one is Ended<T> =>
  one.ending === 'acknowledged' && hasEnded(one);
const precedes = (one: Operation, two: Operation): boolean =>
  one.endedAt !== undefined && one.endedAt < two.startedAt;
const overlap = (one: Operation, two: Operation): boolean =>
  !precedes(one, two) && !precedes(two, one);

/** One pass over one history. */
class Check {
  readonly violations: string[] = [];
  readonly counts = new Map<HistoryPoint, number>();
  readonly #writes: readonly ConfigurationWrite[];
  readonly #acknowledged: readonly AcknowledgedWrite[];
  readonly #reads: readonly Ended<ConfigurationRead>[];
  readonly #found: readonly CompletedRead[];
  readonly #releases: readonly ReleaseWrite[];
  readonly #purges: readonly PurgeWrite[];

  constructor(operations: readonly Operation[]) {
    this.#writes = operations.filter((one) => one.kind === 'write');
    this.#acknowledged = this.#writes.filter(isAcknowledged).flatMap((one) => {
      const { number, hash } = one.version;
      return number === undefined ? [] : [{ ...one, version: { number, hash } }];
    });
    this.#reads = operations.filter((one) => one.kind === 'read').filter(isAcknowledged);
    this.#found = this.#reads.flatMap((one) =>
      one.version === undefined ? [] : [{ ...one, version: one.version }],
    );
    this.#releases = operations.filter((one) => one.kind === 'release');
    this.#purges = operations.filter((one) => one.kind === 'purge');
  }

  run(): Verdict {
    this.#countWrites();
    this.#oneContent();
    this.#refusals();
    this.#origins();
    this.#givenNumbers();
    this.#reach();
    this.#releaseOrders();
    this.#purgeNumbers();
    return { violations: this.violations, counts: this.counts };
  }

  #note(point: HistoryPoint): void {
    increment(this.counts, point);
  }

  #break(text: string): void {
    this.violations.push(text);
  }

  #countWrites(): void {
    for (const one of this.#writes) {
      if (one.ending === 'acknowledged') this.#note('a configuration was acknowledged');
      else if (one.ending === 'refused') this.#note('a configuration was refused');
      else this.#note('a configuration got no clear answer');
      const others = this.#acknowledged.filter((other) => precedes(other, one));
      if (others.some((other) => sameVersion(other.version, one.version)))
        this.#note('an acknowledged configuration was sent again');
      const { number } = one.version;
      if (one.numbered && others.some((other) => other.version.number > (number ?? 0)))
        this.#note('a number below an acknowledged one was sent');
    }
    for (const [at, one] of this.#writes.entries()) {
      const rival = this.#writes
        .slice(at + 1)
        .some(
          (other) =>
            one.numbered &&
            other.numbered &&
            canCollide(one.version, other.version) &&
            overlap(one, other),
        );
      if (rival) this.#note('two contents were sent under one number at once');
    }
  }

  /** A number that was acknowledged or read has one content. */
  #oneContent(): void {
    const contents = new Map<number, Version>();
    for (const { version } of [...this.#acknowledged, ...this.#found]) {
      const known = contents.get(version.number);
      if (known === undefined) contents.set(version.number, version);
      else if (known.hash !== version.hash)
        this.#break(`one number, two contents: ${textOf(known)} and ${textOf(version)}`);
    }
  }

  /** What was acknowledged is not refused when it is sent again; and what is refused while nothing else has its number. */
  #refusals(): void {
    for (const one of this.#writes) {
      if (one.ending !== 'refused' || !one.numbered) continue;
      const before = this.#acknowledged.find(
        (other) => precedes(other, one) && sameVersion(other.version, one.version),
      );
      if (before !== undefined)
        this.#break(`${textOf(one.version)} was acknowledged, sent again, and refused`);
      const rival = this.#writes.some(
        (other) => canCollide(one.version, other.version) && !precedes(one, other),
      );
      if (!rival) this.#break(`${textOf(one.version)} was refused, and no other has its number`);
    }
  }

  /** What is read was sent before, and not only by those who were refused. */
  #origins(): void {
    for (const read of this.#found) {
      const sent = this.#writes.filter(
        (one) => canBe(one.version, read.version) && one.startedAt <= read.endedAt,
      );
      if (sent.length === 0)
        this.#break(`${textOf(read.version)} was read, and nobody had sent it`);
      else if (sent.every((one) => one.ending === 'refused'))
        this.#break(`${textOf(read.version)} was read, and was refused to all who sent it`);
    }
  }

  /** A number that the control side gives is above all that were acknowledged or read before. */
  #givenNumbers(): void {
    for (const one of this.#acknowledged) {
      if (one.numbered) continue;
      const known = [...this.#acknowledged, ...this.#found].filter((other) => precedes(other, one));
      const most = Math.max(0, ...known.map((other) => other.version.number));
      if (one.version.number <= most)
        this.#break(`${textOf(one.version)} was given, and ${most} was known before`);
    }
  }

  /** No read returns less than what was acknowledged or read before it began. */
  #reach(): void {
    for (const read of this.#reads) {
      const number = read.version?.number ?? 0;
      const written = this.#acknowledged.filter((one) => precedes(one, read));
      const seen = this.#found.filter((one) => precedes(one, read));
      if (written.length > 0) this.#note('a read began after an acknowledgement');
      if (seen.length > 0) this.#note('a read began after another read');
      if (this.#writes.some((one) => overlap(one, read))) this.#note('a read ran beside a write');
      const most = Math.max(0, ...written.map((one) => one.version.number));
      if (number < most) this.#break(`${most} was acknowledged, and ${number} was read later`);
      const last = Math.max(0, ...seen.map((one) => one.version.number));
      if (number < last) this.#break(`${last} was read, and ${number} was read later`);
    }
  }

  /** An order that was acknowledged runs once, under one number, and is never refused. */
  #releaseOrders(): void {
    const acknowledged = this.#releases.filter(isAcknowledged);
    for (const one of this.#releases) {
      const before = acknowledged.filter((other) => precedes(other, one));
      const same = before.find((other) => other.key === one.key);
      if (same === undefined) continue;
      if (one.ending === 'refused')
        this.#break(`the order ${one.key} was acknowledged, sent again, and refused`);
      if (one.ending !== 'acknowledged') continue;
      this.#note('a release order was acknowledged again');
      if (one.order !== same.order)
        this.#break(`the order ${one.key} was begun twice, as ${same.order} and ${one.order}`);
      if (before.some((other) => other.key !== one.key && precedes(same, other)))
        this.#note('a release order was sent again after another one');
    }
  }

  /** Purges that were acknowledged keep their order: caches hear them in it. */
  #purgeNumbers(): void {
    const acknowledged = this.#purges.filter(isAcknowledged);
    for (const one of acknowledged) {
      const before = acknowledged.filter((other) => precedes(other, one));
      if (before.length === 0) continue;
      this.#note('a purge was acknowledged after another one');
      const most = Math.max(...before.map((other) => other.number ?? 0));
      if ((one.number ?? 0) <= most)
        this.#break(`purge ${one.number} was acknowledged after purge ${most} had been`);
    }
  }
}

/** Judges a history. */
export const checkHistory = (operations: readonly Operation[]): Verdict =>
  new Check(operations).run();

/** The points that a history never put to the test. */
export const untestedPoints = (
  counts: ReadonlyMap<HistoryPoint, number>,
): readonly HistoryPoint[] => historyPoints.filter((one) => (counts.get(one) ?? 0) === 0);
