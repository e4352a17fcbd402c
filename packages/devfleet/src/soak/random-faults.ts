/** Troubles of real processes that overlap in time: kills, pauses, cuts of either direction, slow links and disks. */
import { type Fleet, type Machine, delay } from '../fleet/fleet.js';
import type { SeededRandom } from './seeded-random.js';

export const faultKinds = [
  'kill',
  'pause',
  'cut',
  'deaf',
  'mute',
  'slow links',
  'stalled disk',
] as const;
export type FaultKind = (typeof faultKinds)[number];

/** One trouble: when it begins, how long it lasts, and which machine has it. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly startMs: number;
  readonly durationMs: number;
  readonly machine: string;
}

const minDurationMs = 400;
const maxDurationMs = 3500;
const slowLinkLagMs = 40;
/** How many troubles may be under way at once. */
const maxConcurrentFaults = 3;
const gapRangeMs = [150, 1500] as const;

const isActive = (fault: ScheduledFault, atMs: number): boolean =>
  fault.startMs <= atMs && atMs < fault.startMs + fault.durationMs;

/** Draws troubles for a span: up to three at once, on different machines, at least two of them often. */
export const drawFaults = (
  random: SeededRandom,
  machines: readonly Machine[],
  totalMs: number,
): readonly ScheduledFault[] => {
  const drawn: ScheduledFault[] = [];
  for (let at = 0; at < totalMs; at += random.between(...gapRangeMs)) {
    const open = drawn.filter((one) => isActive(one, at));
    if (open.length >= maxConcurrentFaults) continue;
    const free = machines.filter((one) => !open.some((trouble) => trouble.machine === one.name));
    const machine = random.pick(free);
    const kinds = faultKinds.filter((kind) => kind !== 'stalled disk' || machine.kind === 'store');
    const forMs = Math.min(random.between(minDurationMs, maxDurationMs), totalMs - at);
    drawn.push({ kind: random.pick(kinds), startMs: at, durationMs: forMs, machine: machine.name });
  }
  return drawn;
};

/** How often two or more troubles were under way at the start of one. */
export const countOverlaps = (faults: readonly ScheduledFault[]): number =>
  faults.filter((one) => faults.some((other) => other !== one && isActive(other, one.startMs)))
    .length;

interface LinkCut {
  readonly from: readonly Machine[];
  readonly to: readonly Machine[];
}

/** Brings troubles about on a fleet, and takes each back when it is over. */
export class FaultInjector {
  readonly #fleet: Fleet;
  readonly #print: (text: string) => void;
  readonly #activeCuts = new Set<LinkCut>();
  readonly #lastFaultByMachine = new Map<string, Promise<void>>();
  readonly #startedAt = performance.now();

  constructor(fleet: Fleet, say: (text: string) => void) {
    this.#fleet = fleet;
    this.#print = say;
  }

  /** Plays all troubles; settles when the last one is over. */
  async run(faults: readonly ScheduledFault[]): Promise<void> {
    await Promise.all(faults.map((one) => this.#schedule(one)));
  }

  async #schedule(fault: ScheduledFault): Promise<void> {
    await delay(fault.startMs);
    // A machine whose processes are still starting again has its next trouble when they run.
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
        return this.#setFaultsFor(machine, { disk: 'stalled' }, { disk: 'well' }, fault.durationMs);
    }
  }

  async #kill(machine: Machine, durationMs: number): Promise<void> {
    await Promise.all(machine.processes.map((one) => one.stop('SIGKILL')));
    await delay(durationMs);
    await Promise.all(machine.processes.map((one) => one.start()));
  }

  async #pause(machine: Machine, durationMs: number): Promise<void> {
    for (const child of machine.processes) child.signal('SIGSTOP');
    await delay(durationMs);
    for (const child of machine.processes) child.signal('SIGCONT');
  }

  async #cut(
    machine: Machine,
    direction: 'both' | 'in' | 'out',
    durationMs: number,
  ): Promise<void> {
    const rest = this.#fleet.machines.filter((one) => one !== machine);
    const cuts: LinkCut[] = [];
    if (direction !== 'in') cuts.push({ from: [machine], to: rest });
    if (direction !== 'out') cuts.push({ from: rest, to: [machine] });
    for (const cut of cuts) {
      this.#activeCuts.add(cut);
      this.#fleet.cutLinks(cut.from, cut.to);
    }
    await delay(durationMs);
    for (const cut of cuts) this.#activeCuts.delete(cut);
    this.#fleet.healLinks();
    // Cuts of other machines that are under way go on.
    for (const cut of this.#activeCuts) this.#fleet.cutLinks(cut.from, cut.to);
  }

  async #setFaultsFor(
    machine: Machine,
    faulty: Parameters<Machine['processes'][number]['setFaults']>[0],
    repaired: Parameters<Machine['processes'][number]['setFaults']>[0],
    durationMs: number,
  ): Promise<void> {
    for (const child of machine.processes) child.setFaults(faulty);
    await delay(durationMs);
    for (const child of machine.processes) child.setFaults(repaired);
  }
}
