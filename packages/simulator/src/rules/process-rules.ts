/**
 * What must hold after each event of any process: one holder of a lease, one content of a
 * generation, no lower generation than before, and the invariants that processes check themselves.
 */

import type { LeaseName } from '@switchwheel/types';
import { holdsLease } from '@switchwheel/election';
import { SimulatedProxy } from '../processes/proxy.js';
import { SimulatedRegistry } from '../processes/registry.js';
import { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { ViolationLog } from './violation-log.js';

type StoreState = NonNullable<SimulatedStore['state']>;

/** Judges processes one event at a time. */
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

  /** R5: the generation that a proxy runs never falls. */
  #checkProxy(proxy: SimulatedProxy): void {
    const generation = proxy.state?.nodeAgent.compiledConfiguration?.generation ?? 0;
    const before = this.#highestGenerations.get(proxy.node) ?? 0;
    if (generation !== 0 && generation < before)
      this.#violations.addOnce(
        'R5',
        proxy.node,
        `${proxy.node} went from ${before} to ${generation}`,
      );
    if (generation > before) this.#highestGenerations.set(proxy.node, generation);
    for (const [service, candidate] of proxy.state?.nodeAgent.candidates ?? [])
      this.#recordHolder(
        candidate.leaseName,
        proxy,
        holdsLease(candidate, proxy.clock) && proxy.state?.activeLeaders.has(service) === true,
      );
  }

  /** A generation that a primary serves has one content. */
  #checkStore(store: SimulatedStore, state: StoreState): void {
    this.#recordHolder(
      state.candidate.leaseName,
      store,
      state.isServing && holdsLease(state.candidate, store.clock),
    );
    const offer = state.control.configuration?.offer;
    if (!state.isServing || offer === undefined) return;
    const known = this.#hashesByGeneration.get(offer.generation);
    if (known !== undefined && known !== offer.hash)
      this.#violations.add('generation', `generation ${offer.generation} is two descriptions`);
    this.#hashesByGeneration.set(offer.generation, offer.hash);
  }

  /** What a process counted as broken of the invariants that it checks itself. */
  #checkInvariants(process: SimulatedProcess): void {
    const found =
      process instanceof SimulatedStore || process instanceof SimulatedRegistry
        ? process.state?.violations
        : process instanceof SimulatedProxy
          ? process.state?.nodeAgent.violations
          : undefined;
    for (const [invariant, count] of found ?? [])
      this.#violations.addOnce(
        'invariant',
        `${process.node} ${invariant}`,
        `${invariant}, ${count} times`,
      );
  }

  #recordHolder(lease: LeaseName, process: SimulatedProcess, holding: boolean): void {
    const set = this.#leaseHolders.get(lease) ?? new Set<SimulatedProcess>();
    this.#leaseHolders.set(lease, set);
    if (!holding) {
      set.delete(process);
      return;
    }
    set.add(process);
    for (const other of [...set]) {
      if (other === process) continue;
      if (this.#stillHolds(other, lease))
        this.#violations.addOnce(
          'one holder',
          lease,
          `${lease} is held by ${process.node} and ${other.node}`,
        );
      else set.delete(other);
    }
  }

  #stillHolds(process: SimulatedProcess, lease: LeaseName): boolean {
    if (!process.isAlive) return false;
    if (process instanceof SimulatedStore)
      return (
        process.state !== undefined &&
        process.state.isServing &&
        holdsLease(process.state.candidate, process.clock)
      );
    if (!(process instanceof SimulatedProxy)) return false;
    return [...(process.state?.nodeAgent.candidates.values() ?? [])].some(
      (one) => one.leaseName === lease && holdsLease(one, process.clock),
    );
  }
}
