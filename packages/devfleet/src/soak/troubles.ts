/** Troubles of real processes that overlap in time: kills, pauses, cuts of either direction, slow links and disks. */
import { type Fleet, type Machine, pause } from '../fleet/fleet.js';
import type { Chance } from './chance.js';

export const troubleKinds = [
  'kill',
  'pause',
  'cut',
  'deaf',
  'mute',
  'slow links',
  'stalled disk',
] as const;
export type TroubleKind = (typeof troubleKinds)[number];

/** One trouble: when it begins, how long it lasts, and which machine has it. */
export interface Trouble {
  readonly kind: TroubleKind;
  readonly at: number;
  readonly forMs: number;
  readonly machine: string;
}

const leastMs = 400;
const mostMs = 3500;
const lagMs = 40;
/** How many troubles may be under way at once. */
const mostAtOnce = 3;
const gapMs = [150, 1500] as const;

const isUnderWay = (one: Trouble, at: number): boolean => one.at <= at && at < one.at + one.forMs;

/** Draws troubles for a span: up to three at once, on different machines, at least two of them often. */
export const drawTroubles = (
  chance: Chance,
  machines: readonly Machine[],
  spanMs: number,
): readonly Trouble[] => {
  const drawn: Trouble[] = [];
  for (let at = 0; at < spanMs; at += chance.between(...gapMs)) {
    const open = drawn.filter((one) => isUnderWay(one, at));
    if (open.length >= mostAtOnce) continue;
    const free = machines.filter((one) => !open.some((trouble) => trouble.machine === one.name));
    const machine = chance.one(free);
    const kinds = troubleKinds.filter(
      (kind) => kind !== 'stalled disk' || machine.kind === 'store',
    );
    const forMs = Math.min(chance.between(leastMs, mostMs), spanMs - at);
    drawn.push({ kind: chance.one(kinds), at, forMs, machine: machine.name });
  }
  return drawn;
};

/** How often two or more troubles were under way at the start of one. */
export const countOverlaps = (troubles: readonly Trouble[]): number =>
  troubles.filter((one) => troubles.some((other) => other !== one && isUnderWay(other, one.at)))
    .length;

interface Cut {
  readonly from: readonly Machine[];
  readonly to: readonly Machine[];
}

/** Brings troubles about on a fleet, and takes each back when it is over. */
export class TroubleMaker {
  readonly #fleet: Fleet;
  readonly #say: (text: string) => void;
  readonly #cuts = new Set<Cut>();
  readonly #last = new Map<string, Promise<void>>();
  readonly #since = performance.now();

  constructor(fleet: Fleet, say: (text: string) => void) {
    this.#fleet = fleet;
    this.#say = say;
  }

  /** Plays all troubles; settles when the last one is over. */
  async play(troubles: readonly Trouble[]): Promise<void> {
    await Promise.all(troubles.map((one) => this.#one(one)));
  }

  async #one(trouble: Trouble): Promise<void> {
    await pause(trouble.at);
    // A machine whose processes are still starting again has its next trouble when they run.
    const before = this.#last.get(trouble.machine) ?? Promise.resolve();
    const done = before.then(() => this.#begin(trouble));
    this.#last.set(trouble.machine, done);
    return done;
  }

  async #begin(trouble: Trouble): Promise<void> {
    const machine = this.#fleet.machine(trouble.machine);
    const at = Math.round(performance.now() - this.#since);
    this.#say(`${at} ms: ${trouble.kind} ${machine.name} for ${Math.round(trouble.forMs)} ms`);
    switch (trouble.kind) {
      case 'kill':
        return this.#kill(machine, trouble.forMs);
      case 'pause':
        return this.#pause(machine, trouble.forMs);
      case 'cut':
        return this.#cut(machine, 'both', trouble.forMs);
      case 'deaf':
        return this.#cut(machine, 'in', trouble.forMs);
      case 'mute':
        return this.#cut(machine, 'out', trouble.forMs);
      case 'slow links':
        return this.#weather(machine, { lagMs }, { lagMs: 0 }, trouble.forMs);
      case 'stalled disk':
        return this.#weather(machine, { disk: 'stalled' }, { disk: 'well' }, trouble.forMs);
    }
  }

  async #kill(machine: Machine, forMs: number): Promise<void> {
    await Promise.all(machine.children.map((one) => one.end('SIGKILL')));
    await pause(forMs);
    await Promise.all(machine.children.map((one) => one.start()));
  }

  async #pause(machine: Machine, forMs: number): Promise<void> {
    for (const child of machine.children) child.signal('SIGSTOP');
    await pause(forMs);
    for (const child of machine.children) child.signal('SIGCONT');
  }

  async #cut(machine: Machine, way: 'both' | 'in' | 'out', forMs: number): Promise<void> {
    const rest = this.#fleet.machines.filter((one) => one !== machine);
    const cuts: Cut[] = [];
    if (way !== 'in') cuts.push({ from: [machine], to: rest });
    if (way !== 'out') cuts.push({ from: rest, to: [machine] });
    for (const cut of cuts) {
      this.#cuts.add(cut);
      this.#fleet.cut(cut.from, cut.to);
    }
    await pause(forMs);
    for (const cut of cuts) this.#cuts.delete(cut);
    this.#fleet.heal();
    // Cuts of other machines that are under way go on.
    for (const cut of this.#cuts) this.#fleet.cut(cut.from, cut.to);
  }

  async #weather(
    machine: Machine,
    bad: Parameters<Machine['children'][number]['set']>[0],
    good: Parameters<Machine['children'][number]['set']>[0],
    forMs: number,
  ): Promise<void> {
    for (const child of machine.children) child.set(bad);
    await pause(forMs);
    for (const child of machine.children) child.set(good);
  }
}
