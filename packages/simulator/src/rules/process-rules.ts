/**
 * Rules that are checked after each event of a process: a lease has one holder, a generation has
 * one content and never decreases on a proxy, and the invariants that processes check hold.
 */

import type { LeaseName } from '@switchwheel/types';
import { holdsLease } from '@switchwheel/election';
import { SimulatedProxy } from '../processes/proxy.js';
import { SimulatedRegistry } from '../processes/registry.js';
import { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { ViolationLog } from './violation-log.js';

type StoreState = NonNullable<SimulatedStore['state']>;

/** Checks processes event by event. */
export class ProcessRules {
  readonly #violations: ViolationLog;
  readonly #highestGenerations = new Map<string, number>();
  readonly #leaseHolders = new Map<LeaseName, Set<SimulatedProcess>>();
  readonly #hashesByGeneration = new Map<number, string>();

  constructor(violations: ViolationLog) {
    this.#violations = violations;
  }

  /** Checks a process after each of its events. */
  check(process: SimulatedProcess): void {
    this.#checkInvariants(process);
    if (process instanceof SimulatedProxy) this.#checkProxy(process);
    if (process instanceof SimulatedStore && process.state !== undefined)
      this.#checkStore(process, process.state);
  }

  /** R5: the active generation of a proxy never decreases. */
  #checkProxy(proxy: SimulatedProxy): void {
    const generation = proxy.state?.nodeAgent.compiledConfiguration?.generation ?? 0;
    const highest = this.#highestGenerations.get(proxy.node) ?? 0;
    if (generation !== 0 && generation < highest)
      this.#violations.addOnce(
        'R5',
        proxy.node,
        `${proxy.node} went from generation ${highest} to ${generation}`,
      );
    if (generation > highest) this.#highestGenerations.set(proxy.node, generation);
    for (const [service, candidate] of proxy.state?.nodeAgent.candidates ?? [])
      this.#recordLeaseHolder(
        candidate.leaseName,
        proxy,
        holdsLease(candidate, proxy.clock) && proxy.state?.activeLeaders.has(service) === true,
      );
  }

  /** A generation has the same content on every primary. */
  #checkStore(store: SimulatedStore, state: StoreState): void {
    this.#recordLeaseHolder(
      state.candidate.leaseName,
      store,
      state.isServing && holdsLease(state.candidate, store.clock),
    );
    const offer = state.control.configuration?.offer;
    if (!state.isServing || offer === undefined) return;
    const knownHash = this.#hashesByGeneration.get(offer.generation);
    if (knownHash !== undefined && knownHash !== offer.hash)
      this.#violations.add('generation', `generation ${offer.generation} has two contents`);
    this.#hashesByGeneration.set(offer.generation, offer.hash);
  }

  /** Reports violations that the process itself counted. */
  #checkInvariants(process: SimulatedProcess): void {
    const counts =
      process instanceof SimulatedStore || process instanceof SimulatedRegistry
        ? process.state?.violations
        : process instanceof SimulatedProxy
          ? process.state?.nodeAgent.violations
          : undefined;
    for (const [invariant, count] of counts ?? [])
      this.#violations.addOnce(
        'invariant',
        `${process.node} ${invariant}`,
        `invariant ${invariant} was violated ${count} times`,
      );
  }

  #recordLeaseHolder(lease: LeaseName, process: SimulatedProcess, isHolding: boolean): void {
    const holders = this.#leaseHolders.get(lease) ?? new Set<SimulatedProcess>();
    this.#leaseHolders.set(lease, holders);
    if (!isHolding) {
      holders.delete(process);
      return;
    }
    holders.add(process);
    for (const other of [...holders]) {
      if (other === process) continue;
      if (this.#stillHoldsLease(other, lease))
        this.#violations.addOnce(
          'lease holder',
          lease,
          `${lease} is held by ${process.node} and ${other.node}`,
        );
      else holders.delete(other);
    }
  }

  #stillHoldsLease(process: SimulatedProcess, lease: LeaseName): boolean {
    if (!process.isAlive) return false;
    if (process instanceof SimulatedStore)
      return (
        process.state !== undefined &&
        process.state.isServing &&
        holdsLease(process.state.candidate, process.clock)
      );
    if (!(process instanceof SimulatedProxy)) return false;
    return [...(process.state?.nodeAgent.candidates.values() ?? [])].some(
      (candidate) => candidate.leaseName === lease && holdsLease(candidate, process.clock),
    );
  }
}
