/** What all faults of one run share: the fleet, and which faults must not be there at once. */

import type { SimulatedCallers } from '../processes/callers.js';
import type { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { SimulatedOperators } from '../history/operators.js';
import type { World } from '../world/world.js';
import type { RuleChecker } from '../rules/rule-checker.js';

/** How long after a fault of the core the next one may come. */
const coreRecoveryMs = 3000;

/** The context on which faults are caused: what they share and must not do at once. */
export class FaultContext {
  readonly world: World;
  readonly ruleChecker: RuleChecker;
  /** When the last fault of a machine with a disk is over, and of the whole core. */
  #diskFaultsAllowedAt = 0;
  #coreFaultsAllowedAt = 0;
  #lastRelease = 1;
  trace: ((text: string) => void) | undefined;
  /** Operators whose orders are recorded and judged; only where a run has them. */
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

  randomMs(low: number, high: number): number {
    return this.world.random.uniform(low, high);
  }

  /** Reserves a fault of one machine with a disk: one at a time, and the next only once both stores are in sync again. */
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

  /** Reserves a fault of the whole core: one at a time. */
  reserveCoreFault(durationMs: number): boolean {
    if (
      this.world.eventQueue.now < this.#coreFaultsAllowedAt ||
      this.world.eventQueue.now < this.#diskFaultsAllowedAt
    )
      return false;
    this.#coreFaultsAllowedAt = this.world.eventQueue.now + durationMs + coreRecoveryMs;
    return true;
  }

  /** Reserves a fault of a whole zone, which befalls a disk and the core at once. */
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

  /** Everything on one machine. */
  processesOnMachineOf(process: SimulatedProcess): readonly SimulatedProcess[] {
    const machine = process.node.replace(/-registry$/, '');
    return this.world.allProcesses.filter(
      (process) => process.node === machine || process.node === `${machine}-registry`,
    );
  }

  /** Cuts some processes off from all others, both ways or one. */
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
