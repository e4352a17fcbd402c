/** What all faults of one run share: the fleet, and which faults must not be there at once. */

import type { SimulatedCallers } from '../processes/callers.js';
import type { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { SimulatedOperators } from '../history/operators.js';
import type { World } from '../world/world.js';
import type { RuleChecker } from '../rules/rule-checker.js';

/** How long after trouble with the core the next one may come. */
const coreRecoveryMs = 3000;

/** The context on which faults are caused: what they share and must not do at once. */
export class FaultContext {
  readonly world: World;
  readonly ruleChecker: RuleChecker;
  /** When the last trouble with a machine that has a disk ends. */
  #diskFreeAt = 0;
  #coreFreeAt = 0;
  #lastRelease = 1;
  trace: ((text: string) => void) | undefined;
  /** Operators whose orders are recorded and judged; only where a run has them. */
  operators: SimulatedOperators | undefined;

  readonly callers: SimulatedCallers;
  #lastSerial = 0;

  constructor(world: World, rules: RuleChecker, callers: SimulatedCallers) {
    this.world = world;
    this.ruleChecker = rules;
    this.callers = callers;
  }

  nextSerial(): number {
    this.#lastSerial += 1;
    return this.#lastSerial;
  }

  log(text: string): void {
    this.trace?.(`${Math.round(this.world.eventQueue.now)} ${text}`);
  }

  randomMs(low: number, high: number): number {
    return this.world.random.uniform(low, high);
  }

  /** One machine with a disk has trouble at a time, and the next only once the pair is whole again. */
  reserveDiskFault(durationMs: number): SimulatedStore | undefined {
    const { world } = this;
    if (world.eventQueue.now < this.#diskFreeAt || world.eventQueue.now < this.#coreFreeAt)
      return undefined;
    const primary = world.primary();
    if (
      primary?.state?.metadata?.inSyncSet.length !== 2 ||
      !world.stores.every((one) => one.isAlive && !one.isFrozen)
    )
      return undefined;
    this.#diskFreeAt = world.eventQueue.now + durationMs + 3000;
    return world.random.pick(world.stores);
  }

  /** One trouble with the whole core at a time. */
  reserveCoreFault(durationMs: number): boolean {
    if (
      this.world.eventQueue.now < this.#coreFreeAt ||
      this.world.eventQueue.now < this.#diskFreeAt
    )
      return false;
    this.#coreFreeAt = this.world.eventQueue.now + durationMs + coreRecoveryMs;
    return true;
  }

  /** Trouble with a whole place: with a disk and with the core at once. */
  reserveZoneFault(durationMs: number): SimulatedStore | undefined {
    const store = this.reserveDiskFault(durationMs);
    if (store !== undefined)
      this.#coreFreeAt = this.world.eventQueue.now + durationMs + coreRecoveryMs;
    return store;
  }

  newRelease(): string {
    this.#lastRelease += 1;
    return `r${this.#lastRelease}`;
  }

  /** Everything on one machine. */
  processesOnMachineOf(target: SimulatedProcess): readonly SimulatedProcess[] {
    const name = target.node.replace(/-registry$/, '');
    return this.world.allProcesses.filter(
      (one) => one.node === name || one.node === `${name}-registry`,
    );
  }

  /** Cuts some actors off from all others, both ways or one. */
  isolate(actors: readonly SimulatedProcess[], way: 'both' | 'out' | 'in'): void {
    for (const one of actors) {
      for (const other of this.world.allProcesses) {
        if (actors.includes(other)) continue;
        if (way !== 'in') this.world.network.cut(one.node, other.node);
        if (way !== 'out') this.world.network.cut(other.node, one.node);
      }
    }
  }
}
