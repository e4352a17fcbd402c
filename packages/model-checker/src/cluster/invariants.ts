import { type Timestamp, type NodeId, noGeneration } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { type DiskWrite, type StoreState, isPrimary } from '@switchwheel/replicated-store';
import { type DiskImage, storedGeneration } from './disk.js';

/** What must hold in each state. */
export const invariants = [
  'one valid lease',
  'one primary per epoch',
  'a primary has every confirmed write',
  'in-sync members hold a confirmed write',
  'enough copies of a confirmed write',
  'epochs on a disk only go up',
  'reads are never older than a write confirmed before',
  'one content by number',
  'majorities of neighbouring electorates intersect',
  'an electorate changes only when the one before is active',
] as const;
export type Invariant = (typeof invariants)[number];

/** An invariant that does not hold, and why. */
export interface Violation {
  readonly invariant: Invariant;
  readonly at: number;
  readonly text: string;
}

/** How often the invariants were put to the test: a run that tests nothing proves nothing. */
export interface ExerciseCounts {
  confirmedWrites: number;
  reads: number;
  leasesWon: number;
  electorateChanges: number;
}

const memberNames = (set: Electorate): readonly NodeId[] => set.members.map((one) => one.node);

/** Whether every majority of one electorate meets every majority of the other. */
export const majoritiesIntersect = (one: Electorate, two: Electorate): boolean => {
  const others = new Set(memberNames(two));
  const shared = memberNames(one).filter((node) => others.has(node)).length;
  const all = one.members.length + two.members.length - shared;
  const majorities = Math.floor(one.members.length / 2) + Math.floor(two.members.length / 2) + 2;
  // Disjoint majorities exist if both fit side by side, each within its own electorate.
  const onlyOne = one.members.length - shared;
  const onlyTwo = two.members.length - shared;
  const needOne = Math.max(0, Math.floor(one.members.length / 2) + 1 - onlyOne);
  const needTwo = Math.max(0, Math.floor(two.members.length / 2) + 1 - onlyTwo);
  return majorities > all || needOne + needTwo > shared;
};

/** Watches one run: what was seen so far, and the first violation. */
export class InvariantMonitor {
  #holders = new Map<number, NodeId>();
  #contents = new Map<number, string>();
  #highest = 0;
  #electorates = new Map<number, Electorate>();
  #informedVoters = new Map<number, Set<NodeId>>();
  violation: Violation | undefined;
  /** Invariants that are not judged, as it is known that they do not hold. */
  readonly ignored: ReadonlySet<Invariant>;
  exercise: ExerciseCounts = { confirmedWrites: 0, reads: 0, leasesWon: 0, electorateChanges: 0 };

  constructor(ignored: ReadonlySet<Invariant> = new Set()) {
    this.ignored = ignored;
  }

  /** An independent copy. */
  clone(ignored = this.ignored): InvariantMonitor {
    const copy = new InvariantMonitor(ignored);
    copy.#holders = new Map(this.#holders);
    copy.#contents = new Map(this.#contents);
    copy.#highest = this.#highest;
    copy.#electorates = new Map(this.#electorates);
    copy.#informedVoters = new Map(
      [...this.#informedVoters].map(([serial, voters]) => [serial, new Set(voters)]),
    );
    copy.violation = this.violation;
    copy.exercise = { ...this.exercise };
    return copy;
  }

  /** The highest number that was confirmed. */
  get highestConfirmed(): number {
    return this.#highest;
  }

  #fail(invariant: Invariant, at: number, text: string): void {
    if (this.ignored.has(invariant)) return;
    this.violation ??= { invariant, at, text };
  }

  /** Checks leases and the state that a primary serves, after any event. */
  onStores(
    stores: readonly {
      readonly store: StoreState;
      readonly clock: Timestamp;
      readonly node: NodeId;
    }[],
    at: number,
  ): void {
    const holders = stores.filter((one) => holdsLease(one.store.candidate, one.clock));
    if (holders.length > 1)
      this.#fail('one valid lease', at, holders.map((one) => one.node).join(' and '));
    for (const { store, node, clock } of holders) {
      const epoch = heldEpoch(store.candidate);
      const known = this.#holders.get(epoch);
      if (known === undefined) {
        this.#holders.set(epoch, node);
        this.exercise.leasesWon += 1;
      } else if (known !== node)
        this.#fail('one primary per epoch', at, `epoch ${epoch}: ${known} and ${node}`);
      if (isPrimary(store, clock)) this.#checkServed(store, node, at);
    }
  }

  #checkServed(store: StoreState, node: NodeId, at: number): void {
    const offer = store.control.configuration?.offer;
    const generation = offer?.generation ?? noGeneration;
    if (generation < this.#highest)
      this.#fail(
        'a primary has every confirmed write',
        at,
        `${node} serves ${generation}, ${this.#highest} was confirmed`,
      );
    const content = this.#contents.get(generation);
    if (offer !== undefined && content !== undefined && content !== offer.hash)
      this.#fail('one content by number', at, `${node} serves other content under ${generation}`);
  }

  /** A primary confirms a number: whose disks have it? */
  onConfirming(
    number: number,
    node: NodeId,
    inSyncSet: readonly NodeId[],
    images: ReadonlyMap<NodeId, DiskImage | undefined>,
    copiesNeeded: number,
    at: number,
  ): void {
    const holding = [...images].filter(([, image]) => storedGeneration(image) >= number);
    const names = holding.map(([name]) => name);
    // A disk that was lost since holds nothing; whether enough others do is judged below.
    const lacking = inSyncSet.filter(
      (one) => images.get(one) !== undefined && !names.includes(one),
    );
    if (lacking.length > 0)
      this.#fail(
        'in-sync members hold a confirmed write',
        at,
        `${node} confirmed ${number} without ${lacking.join(', ')}`,
      );
    if (names.length < copiesNeeded)
      this.#fail(
        'enough copies of a confirmed write',
        at,
        `${node} confirmed ${number} on ${names.join(', ')}, ${copiesNeeded} were possible`,
      );
  }

  /** An operator was told that its content stands under a number, in force or below one that is. */
  onAcknowledged(number: number, hash: string, accepted: boolean, at: number): void {
    const known = this.#contents.get(number);
    if (known !== undefined && known !== hash)
      this.#fail('one content by number', at, `${number} was confirmed with two contents`);
    this.#contents.set(number, hash);
    if (!accepted) return;
    this.#highest = Math.max(this.#highest, number);
    this.exercise.confirmedWrites += 1;
  }

  /** An operator was told what stands, having asked when `floor` had been confirmed. */
  onRead(generation: number, floor: number, at: number): void {
    this.exercise.reads += 1;
    if (generation < floor)
      this.#fail(
        'reads are never older than a write confirmed before',
        at,
        `${generation} was read, ${floor} had been confirmed before`,
      );
  }

  /** A disk took a write. */
  onDiskWrite(node: NodeId, before: DiskImage | undefined, write: DiskWrite, at: number): void {
    const { metadata } = write;
    if (
      before !== undefined &&
      before.metadata.fleet === metadata.fleet &&
      metadata.epoch < before.metadata.epoch
    )
      this.#fail(
        'epochs on a disk only go up',
        at,
        `${node}: ${before.metadata.epoch}, then ${metadata.epoch}`,
      );
    this.#checkElectorate(node, metadata.electorate, at);
  }

  #checkElectorate(node: NodeId, set: Electorate, at: number): void {
    const known = this.#electorates.get(set.serial);
    if (known !== undefined) {
      if (memberNames(known).join() !== memberNames(set).join())
        this.#fail(
          'majorities of neighbouring electorates intersect',
          at,
          `two electorates under serial ${set.serial}`,
        );
      return;
    }
    this.#electorates.set(set.serial, set);
    const before = this.#electorates.get(set.serial - 1);
    if (before === undefined) return;
    this.exercise.electorateChanges += 1;
    if (!majoritiesIntersect(before, set))
      this.#fail(
        'majorities of neighbouring electorates intersect',
        at,
        `${memberNames(before).join()} and ${memberNames(set).join()}`,
      );
    const informed = this.#informedVoters.get(before.serial) ?? new Set();
    const active = before.members.filter((one) => informed.has(one.node)).length;
    if (before.serial > 0 && active <= before.members.length / 2)
      this.#fail(
        'an electorate changes only when the one before is active',
        at,
        `${node} writes serial ${set.serial}; ${active} of ${before.members.length} know ${before.serial}`,
      );
  }

  /** A voter acts under an electorate. */
  onVoter(node: NodeId, electorate: Electorate | undefined): void {
    if (electorate === undefined) return;
    const informed = this.#informedVoters.get(electorate.serial);
    if (informed === undefined) this.#informedVoters.set(electorate.serial, new Set([node]));
    else informed.add(node);
  }
}
