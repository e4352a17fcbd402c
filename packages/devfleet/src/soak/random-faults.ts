/** Random overlapping faults of machines: kills, pauses, network partitions, slow links and stalled disks. */

import type { ProcessFaults } from '../fault-injection/process-faults.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { delay } from '../fleet/wait.js';
import type { SeededRandom } from './seeded-random.js';

/** Fault kinds; their names are printed by a soak. */
export const faultKinds = [
  'kill',
  'pause',
  'cut',
  'deaf',
  'mute',
  'slow links',
  'stalled disk',
] as const;
/** Kind of a fault; `deaf` and `mute` cut only the incoming or only the outgoing links. */
export type FaultKind = (typeof faultKinds)[number];

/** Fault of a machine, with its start relative to the start of the injection. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly startMs: number;
  readonly durationMs: number;
  readonly machine: string;
}

const minDurationMs = 400;
const maxDurationMs = 3500;
const slowLinkLagMs = 40;
const maxConcurrentFaults = 3;
const startIntervalRangeMs = [150, 1500] as const;

const isActive = (fault: ScheduledFault, atMs: number): boolean =>
  fault.startMs <= atMs && atMs < fault.startMs + fault.durationMs;

/** Draws the faults of a soak: up to three at once, each on a different machine. */
export const drawFaults = (
  random: SeededRandom,
  machines: readonly Machine[],
  totalMs: number,
): readonly ScheduledFault[] => {
  const faults: ScheduledFault[] = [];
  for (let startMs = 0; startMs < totalMs; startMs += random.between(...startIntervalRangeMs)) {
    const active = faults.filter((fault) => isActive(fault, startMs));
    if (active.length >= maxConcurrentFaults) continue;
    const candidates = machines.filter(
      (candidate) => !active.some((fault) => fault.machine === candidate.name),
    );
    const machine = random.pick(candidates);
    const kinds = faultKinds.filter((kind) => kind !== 'stalled disk' || machine.kind === 'store');
    const durationMs = Math.min(random.between(minDurationMs, maxDurationMs), totalMs - startMs);
    faults.push({ kind: random.pick(kinds), startMs, durationMs, machine: machine.name });
  }
  return faults;
};

/** Counts the faults that began while another one was active. */
export const countOverlaps = (faults: readonly ScheduledFault[]): number =>
  faults.filter((fault) =>
    faults.some((other) => other !== fault && isActive(other, fault.startMs)),
  ).length;

interface LinkCut {
  readonly from: readonly Machine[];
  readonly to: readonly Machine[];
}

/** Injects faults into a fleet and repairs each after its duration. */
export class FaultInjector {
  readonly #fleet: Fleet;
  readonly #print: (text: string) => void;
  readonly #activeCuts = new Set<LinkCut>();
  readonly #lastFaultByMachine = new Map<string, Promise<void>>();
  readonly #startedAt = performance.now();

  constructor(fleet: Fleet, print: (text: string) => void) {
    this.#fleet = fleet;
    this.#print = print;
  }

  /** Injects all faults at their start times; resolves when the last one is repaired. */
  async run(faults: readonly ScheduledFault[]): Promise<void> {
    await Promise.all(faults.map((fault) => this.#schedule(fault)));
  }

  async #schedule(fault: ScheduledFault): Promise<void> {
    await delay(fault.startMs);
    // A fault waits until the previous one of the same machine is repaired.
    const previous = this.#lastFaultByMachine.get(fault.machine) ?? Promise.resolve();
    const completion = previous.then(() => this.#inject(fault));
    this.#lastFaultByMachine.set(fault.machine, completion);
    return completion;
  }

  async #inject(fault: ScheduledFault): Promise<void> {
    const machine = this.#fleet.machine(fault.machine);
    const elapsedMs = Math.round(performance.now() - this.#startedAt);
    this.#print(
      `${elapsedMs} ms: ${fault.kind} ${machine.name} for ${Math.round(fault.durationMs)} ms`,
    );
    switch (fault.kind) {
      case 'kill':
        return this.#kill(machine, fault.durationMs);
      case 'pause':
        return this.#pause(machine, fault.durationMs);
      case 'cut':
        return this.#cut(machine, 'both', fault.durationMs);
      case 'deaf':
        return this.#cut(machine, 'in', fault.durationMs);
      case 'mute':
        return this.#cut(machine, 'out', fault.durationMs);
      case 'slow links':
        return this.#setFaultsFor(
          machine,
          { lagMs: slowLinkLagMs },
          { lagMs: 0 },
          fault.durationMs,
        );
      case 'stalled disk':
        return this.#setFaultsFor(
          machine,
          { disk: 'stalled' },
          { disk: 'healthy' },
          fault.durationMs,
        );
    }
  }

  async #kill(machine: Machine, durationMs: number): Promise<void> {
    await Promise.all(machine.processes.map((process) => process.stop('SIGKILL')));
    await delay(durationMs);
    await Promise.all(machine.processes.map((process) => process.start()));
  }

  async #pause(machine: Machine, durationMs: number): Promise<void> {
    for (const process of machine.processes) process.signal('SIGSTOP');
    await delay(durationMs);
    for (const process of machine.processes) process.signal('SIGCONT');
  }

  async #cut(
    machine: Machine,
    direction: 'both' | 'in' | 'out',
    durationMs: number,
  ): Promise<void> {
    const others = this.#fleet.machines.filter((other) => other !== machine);
    const cuts: LinkCut[] = [];
    if (direction !== 'in') cuts.push({ from: [machine], to: others });
    if (direction !== 'out') cuts.push({ from: others, to: [machine] });
    for (const cut of cuts) {
      this.#activeCuts.add(cut);
      this.#fleet.links.cut(cut.from, cut.to);
    }
    await delay(durationMs);
    for (const cut of cuts) this.#activeCuts.delete(cut);
    this.#fleet.links.heal();
    // heal() opens every link, so cuts of other machines that are still active are restored.
    for (const cut of this.#activeCuts) this.#fleet.links.cut(cut.from, cut.to);
  }

  async #setFaultsFor(
    machine: Machine,
    faulty: Partial<ProcessFaults>,
    repaired: Partial<ProcessFaults>,
    durationMs: number,
  ): Promise<void> {
    for (const process of machine.processes) process.setFaults(faulty);
    await delay(durationMs);
    for (const process of machine.processes) process.setFaults(repaired);
  }
}
