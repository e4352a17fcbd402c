/** Random faults of real processes that overlap in time: kills, pauses, cuts of either direction, slow links and disks. */

import type { ProcessFaults } from '../fault-injection/process-faults.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { delay } from '../fleet/wait.js';
import type { SeededRandom } from './seeded-random.js';

/** The kinds of faults, by the names that a soak prints. */
export const faultKinds = [
  'kill',
  'pause',
  'cut',
  'deaf',
  'mute',
  'slow links',
  'stalled disk',
] as const;
/** One kind of fault. */
export type FaultKind = (typeof faultKinds)[number];

/** One fault: when it begins after the start of the soak, how long it lasts, and which machine has it. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly startMs: number;
  readonly durationMs: number;
  readonly machine: string;
}

const minDurationMs = 400;
const maxDurationMs = 3500;
const slowLinkLagMs = 40;
/** How many faults may be active at once. */
const maxConcurrentFaults = 3;
const gapRangeMs = [150, 1500] as const;

const isActive = (fault: ScheduledFault, atMs: number): boolean =>
  fault.startMs <= atMs && atMs < fault.startMs + fault.durationMs;

/** Draws the faults of a soak: up to three at once, each on another machine, often two or more. */
export const drawFaults = (
  random: SeededRandom,
  machines: readonly Machine[],
  totalMs: number,
): readonly ScheduledFault[] => {
  const drawn: ScheduledFault[] = [];
  for (let at = 0; at < totalMs; at += random.between(...gapRangeMs)) {
    const active = drawn.filter((fault) => isActive(fault, at));
    if (active.length >= maxConcurrentFaults) continue;
    const free = machines.filter(
      (candidate) => !active.some((fault) => fault.machine === candidate.name),
    );
    const machine = random.pick(free);
    const kinds = faultKinds.filter((kind) => kind !== 'stalled disk' || machine.kind === 'store');
    const durationMs = Math.min(random.between(minDurationMs, maxDurationMs), totalMs - at);
    drawn.push({ kind: random.pick(kinds), startMs: at, durationMs, machine: machine.name });
  }
  return drawn;
};

/** How many faults began while another one was active. */
export const countOverlaps = (faults: readonly ScheduledFault[]): number =>
  faults.filter((fault) =>
    faults.some((other) => other !== fault && isActive(other, fault.startMs)),
  ).length;

interface LinkCut {
  readonly from: readonly Machine[];
  readonly to: readonly Machine[];
}

/** Injects faults into a fleet, and repairs each when its time is over. */
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

  /** Injects all faults at their times; settles when the last one is repaired. */
  async run(faults: readonly ScheduledFault[]): Promise<void> {
    await Promise.all(faults.map((fault) => this.#schedule(fault)));
  }

  async #schedule(fault: ScheduledFault): Promise<void> {
    await delay(fault.startMs);
    // A machine whose processes are still starting again gets its next fault when they run.
    const before = this.#lastFaultByMachine.get(fault.machine) ?? Promise.resolve();
    const done = before.then(() => this.#inject(fault));
    this.#lastFaultByMachine.set(fault.machine, done);
    return done;
  }

  async #inject(fault: ScheduledFault): Promise<void> {
    const machine = this.#fleet.machine(fault.machine);
    const at = Math.round(performance.now() - this.#startedAt);
    this.#print(`${at} ms: ${fault.kind} ${machine.name} for ${Math.round(fault.durationMs)} ms`);
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
    const rest = this.#fleet.machines.filter((other) => other !== machine);
    const cuts: LinkCut[] = [];
    if (direction !== 'in') cuts.push({ from: [machine], to: rest });
    if (direction !== 'out') cuts.push({ from: rest, to: [machine] });
    for (const cut of cuts) {
      this.#activeCuts.add(cut);
      this.#fleet.links.cut(cut.from, cut.to);
    }
    await delay(durationMs);
    for (const cut of cuts) this.#activeCuts.delete(cut);
    this.#fleet.links.heal();
    // Healing opened every link: cuts of other machines that are still active are made again.
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
