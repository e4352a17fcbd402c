/** State shared by all faults of one run: the fleet, and which faults must not coincide. */

import type { SimulatedCallers } from '../processes/callers.js';
import type { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { SimulatedOperators } from '../history/operators.js';
import type { World } from '../world/world.js';
import type { RuleChecker } from '../rules/rule-checker.js';

/** Minimum time between the end of one fault of the core and the next. */
const coreRecoveryMs = 3000;

/** The fleet that faults act on, and reservations that keep certain faults from coinciding. */
export class FaultContext {
  readonly world: World;
  readonly ruleChecker: RuleChecker;
  /** Times from which the next fault of a disk machine, and of the whole core, is allowed. */
  #diskFaultsAllowedAt = 0;
  #coreFaultsAllowedAt = 0;
  #lastRelease = 1;
  trace: ((text: string) => void) | undefined;
  /** Operators whose commands are recorded in the history; only in runs that have them. */
  operators: SimulatedOperators | undefined;

  readonly callers: SimulatedCallers;
  #lastNumber = 0;

  constructor(world: World, ruleChecker: RuleChecker, callers: SimulatedCallers) {
    this.world = world;
    this.ruleChecker = ruleChecker;
    this.callers = callers;
  }

  nextNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  log(text: string): void {
    this.trace?.(`${Math.round(this.world.eventQueue.now)} ${text}`);
  }

  uniform(low: number, high: number): number {
    return this.world.random.uniform(low, high);
  }

  /** Reserves a fault of one store: at most one at a time, and only while both stores run and are in sync. */
  reserveDiskFault(durationMs: number): SimulatedStore | undefined {
    const { world } = this;
    if (
      world.eventQueue.now < this.#diskFaultsAllowedAt ||
      world.eventQueue.now < this.#coreFaultsAllowedAt
    )
      return undefined;
    const primary = world.primary();
    if (
      primary?.state?.metadata?.inSyncSet.length !== 2 ||
      !world.stores.every((store) => store.isAlive && !store.isFrozen)
    )
      return undefined;
    this.#diskFaultsAllowedAt = world.eventQueue.now + durationMs + 3000;
    return world.random.pick(world.stores);
  }

  /** Reserves a fault of the whole core; at most one at a time. */
  reserveCoreFault(durationMs: number): boolean {
    if (
      this.world.eventQueue.now < this.#coreFaultsAllowedAt ||
      this.world.eventQueue.now < this.#diskFaultsAllowedAt
    )
      return false;
    this.#coreFaultsAllowedAt = this.world.eventQueue.now + durationMs + coreRecoveryMs;
    return true;
  }

  /** Reserves a fault of a whole zone, which affects a store and the core at once. */
  reserveZoneFault(durationMs: number): SimulatedStore | undefined {
    const store = this.reserveDiskFault(durationMs);
    if (store !== undefined)
      this.#coreFaultsAllowedAt = this.world.eventQueue.now + durationMs + coreRecoveryMs;
    return store;
  }

  newRelease(): string {
    this.#lastRelease += 1;
    return `r${this.#lastRelease}`;
  }

  /** All processes on the machine of a process. */
  processesOnMachineOf(process: SimulatedProcess): readonly SimulatedProcess[] {
    const machine = process.node.replace(/-registry$/, '');
    return this.world.allProcesses.filter(
      (process) => process.node === machine || process.node === `${machine}-registry`,
    );
  }

  /** Cuts the links between some processes and all others, in one direction or both. */
  isolate(processes: readonly SimulatedProcess[], direction: 'both' | 'out' | 'in'): void {
    for (const process of processes) {
      for (const other of this.world.allProcesses) {
        if (processes.includes(other)) continue;
        if (direction !== 'in') this.world.network.cut(process.node, other.node);
        if (direction !== 'out') this.world.network.cut(other.node, process.node);
      }
    }
  }
}
