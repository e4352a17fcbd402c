/** Invariants of the control plane, checked during a run. */

import { type Timestamp, type NodeId, noGeneration } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { type DiskWrite, type StoreState, isPrimary } from '@switchwheel/replicated-store';
import { type DiskImage, storedGeneration } from './disk.js';

/** Names of all invariants; each must hold in every state. */
export const invariants = [
  'one valid lease',
  'one primary per epoch',
  'a primary has every confirmed write',
  'every in-sync replica holds a confirmed write',
  'enough copies of a confirmed write',
  'epochs on a disk never decrease',
  'reads are never older than a previously confirmed write',
  'one content per generation',
  'majorities of consecutive electorates intersect',
  'an electorate changes only after the previous one is active',
] as const;
/** Name of an invariant. */
export type Invariant = (typeof invariants)[number];

/** Violated invariant with the time and a description of the violation. */
export interface Violation {
  readonly invariant: Invariant;
  readonly at: number;
  readonly text: string;
}

/** Counts of the operations that exercised the invariants. */
export interface ExerciseCounts {
  confirmedWrites: number;
  reads: number;
  leasesWon: number;
  electorateChanges: number;
}

const memberNames = (electorate: Electorate): readonly NodeId[] =>
  electorate.members.map((member) => member.node);

/** Whether every majority of one electorate shares a member with every majority of the other. */
export const majoritiesIntersect = (left: Electorate, right: Electorate): boolean => {
  const rightNodes = new Set(memberNames(right));
  const sharedCount = memberNames(left).filter((node) => rightNodes.has(node)).length;
  const totalCount = left.members.length + right.members.length - sharedCount;
  const majoritySum =
    Math.floor(left.members.length / 2) + Math.floor(right.members.length / 2) + 2;
  // Disjoint majorities exist if the shared members suffice for what each lacks in exclusive ones.
  const leftOnly = left.members.length - sharedCount;
  const rightOnly = right.members.length - sharedCount;
  const leftNeeded = Math.max(0, Math.floor(left.members.length / 2) + 1 - leftOnly);
  const rightNeeded = Math.max(0, Math.floor(right.members.length / 2) + 1 - rightOnly);
  return majoritySum > totalCount || leftNeeded + rightNeeded > sharedCount;
};

/** Monitor of one run, which keeps the history it needs and the first violation. */
export class InvariantMonitor {
  #leaseHolders = new Map<number, NodeId>();
  #contentHashes = new Map<number, string>();
  #highestConfirmed = 0;
  #electorates = new Map<number, Electorate>();
  #activeVoters = new Map<number, Set<NodeId>>();
  violation: Violation | undefined;
  /** Invariants that are not checked. */
  readonly ignored: ReadonlySet<Invariant>;
  exercise: ExerciseCounts = { confirmedWrites: 0, reads: 0, leasesWon: 0, electorateChanges: 0 };

  constructor(ignored: ReadonlySet<Invariant> = new Set()) {
    this.ignored = ignored;
  }

  /** Returns an independent copy. */
  clone(ignored = this.ignored): InvariantMonitor {
    const copy = new InvariantMonitor(ignored);
    copy.#leaseHolders = new Map(this.#leaseHolders);
    copy.#contentHashes = new Map(this.#contentHashes);
    copy.#highestConfirmed = this.#highestConfirmed;
    copy.#electorates = new Map(this.#electorates);
    copy.#activeVoters = new Map(
      [...this.#activeVoters].map(([serial, voters]) => [serial, new Set(voters)]),
    );
    copy.violation = this.violation;
    copy.exercise = { ...this.exercise };
    return copy;
  }

  /** Highest confirmed generation; 0 before the first. */
  get highestConfirmed(): number {
    return this.#highestConfirmed;
  }

  #report(invariant: Invariant, at: number, text: string): void {
    if (this.ignored.has(invariant)) return;
    this.violation ??= { invariant, at, text };
  }

  /** Checks the leases and the configuration that a primary serves, after each event. */
  onStores(
    stores: readonly {
      readonly store: StoreState;
      readonly clock: Timestamp;
      readonly node: NodeId;
    }[],
    at: number,
  ): void {
    const holders = stores.filter((process) => holdsLease(process.store.candidate, process.clock));
    if (holders.length > 1)
      this.#report('one valid lease', at, holders.map((holder) => holder.node).join(' and '));
    for (const { store, node, clock } of holders) {
      const epoch = heldEpoch(store.candidate);
      const knownHolder = this.#leaseHolders.get(epoch);
      if (knownHolder === undefined) {
        this.#leaseHolders.set(epoch, node);
        this.exercise.leasesWon += 1;
      } else if (knownHolder !== node)
        this.#report('one primary per epoch', at, `epoch ${epoch}: ${knownHolder} and ${node}`);
      if (isPrimary(store, clock)) this.#checkServedConfiguration(store, node, at);
    }
  }

  #checkServedConfiguration(store: StoreState, node: NodeId, at: number): void {
    const offer = store.control.configuration?.offer;
    const generation = offer?.generation ?? noGeneration;
    if (generation < this.#highestConfirmed)
      this.#report(
        'a primary has every confirmed write',
        at,
        `${node} serves generation ${generation}, ${this.#highestConfirmed} was confirmed`,
      );
    const confirmedHash = this.#contentHashes.get(generation);
    if (offer !== undefined && confirmedHash !== undefined && confirmedHash !== offer.hash)
      this.#report(
        'one content per generation',
        at,
        `${node} serves different content as generation ${generation}`,
      );
  }

  /** Checks the copies on the disks when a primary confirms a generation. */
  onConfirmation(
    generation: number,
    node: NodeId,
    inSyncSet: readonly NodeId[],
    images: ReadonlyMap<NodeId, DiskImage | undefined>,
    copiesNeeded: number,
    at: number,
  ): void {
    const holding = [...images].filter(([, image]) => storedGeneration(image) >= generation);
    const holderNames = holding.map(([name]) => name);
    // A lost disk holds nothing; the number of remaining copies is checked below.
    const lacking = inSyncSet.filter(
      (member) => images.get(member) !== undefined && !holderNames.includes(member),
    );
    if (lacking.length > 0)
      this.#report(
        'every in-sync replica holds a confirmed write',
        at,
        `${node} confirmed generation ${generation} without a copy on ${lacking.join(', ')}`,
      );
    if (holderNames.length < copiesNeeded)
      this.#report(
        'enough copies of a confirmed write',
        at,
        `${node} confirmed generation ${generation} with copies on ${holderNames.join(', ')}; ${copiesNeeded} copies were possible`,
      );
  }

  /** Records an acknowledged write; `accepted` if the reply says that its generation was put in force. */
  onAcknowledged(generation: number, hash: string, accepted: boolean, at: number): void {
    const knownHash = this.#contentHashes.get(generation);
    if (knownHash !== undefined && knownHash !== hash)
      this.#report(
        'one content per generation',
        at,
        `generation ${generation} was confirmed with two contents`,
      );
    this.#contentHashes.set(generation, hash);
    if (!accepted) return;
    this.#highestConfirmed = Math.max(this.#highestConfirmed, generation);
    this.exercise.confirmedWrites += 1;
  }

  /** Checks a read of the generation in force, sent when `minGeneration` had been confirmed. */
  onRead(generation: number, minGeneration: number, at: number): void {
    this.exercise.reads += 1;
    if (generation < minGeneration)
      this.#report(
        'reads are never older than a previously confirmed write',
        at,
        `generation ${generation} was read after ${minGeneration} had been confirmed`,
      );
  }

  /** Checks a write that became durable on a disk. */
  onDiskWrite(node: NodeId, before: DiskImage | undefined, write: DiskWrite, at: number): void {
    const { metadata } = write;
    if (
      before !== undefined &&
      before.metadata.fleet === metadata.fleet &&
      metadata.epoch < before.metadata.epoch
    )
      this.#report(
        'epochs on a disk never decrease',
        at,
        `${node}: ${before.metadata.epoch}, then ${metadata.epoch}`,
      );
    this.#checkElectorate(node, metadata.electorate, at);
  }

  #checkElectorate(node: NodeId, electorate: Electorate, at: number): void {
    const known = this.#electorates.get(electorate.serial);
    if (known !== undefined) {
      if (memberNames(known).join() !== memberNames(electorate).join())
        this.#report(
          'majorities of consecutive electorates intersect',
          at,
          `two electorates have serial ${electorate.serial}`,
        );
      return;
    }
    this.#electorates.set(electorate.serial, electorate);
    const previous = this.#electorates.get(electorate.serial - 1);
    if (previous === undefined) return;
    this.exercise.electorateChanges += 1;
    if (!majoritiesIntersect(previous, electorate))
      this.#report(
        'majorities of consecutive electorates intersect',
        at,
        `${memberNames(previous).join()} and ${memberNames(electorate).join()}`,
      );
    const activeVoters = this.#activeVoters.get(previous.serial) ?? new Set();
    const activeCount = previous.members.filter((member) => activeVoters.has(member.node)).length;
    if (previous.serial > 0 && activeCount <= previous.members.length / 2)
      this.#report(
        'an electorate changes only after the previous one is active',
        at,
        `${node} writes serial ${electorate.serial}; ${activeCount} of ${previous.members.length} voters use serial ${previous.serial}`,
      );
  }

  /** Records the electorate that a voter uses. */
  onVoterUpdate(node: NodeId, electorate: Electorate | undefined): void {
    if (electorate === undefined) return;
    const activeVoters = this.#activeVoters.get(electorate.serial);
    if (activeVoters === undefined) this.#activeVoters.set(electorate.serial, new Set([node]));
    else activeVoters.add(node);
  }
}
