/** Random walks: runs during which several deviations are placed beside messages at random. */

import { holdsLease } from '@switchwheel/election';
import type { Invariant } from '../cluster/invariants.js';
import { clockOf } from '../cluster/machine.js';
import type { Occurrence } from '../cluster/occurrence.js';
import type { Simulation } from '../cluster/simulation.js';
import { type Deviation, type MessageFault, deviationEnd } from '../schedule/deviation.js';
import { corpus } from '../schedule/corpus.js';
import { type ClusterLayout, type Scenario, platformLayout } from '../schedule/scenario.js';
import { RandomChoices } from './random-choices.js';
import { type RunResult, formedAtMs, formedCluster, resultOf, runEnd } from './run.js';

/** Bounds of a random walk. */
export interface WalkBounds {
  /** Cluster sizes to choose from. */
  readonly members: readonly number[];
  /** Maximum number of deviations. */
  readonly faults: number;
  /** Length of the window in which deviations start, in milliseconds. */
  readonly depth: number;
  readonly ignored: ReadonlySet<Invariant>;
}

/** Result of a random walk, with the schedule that repeats it. */
export interface Walk {
  readonly scenario: Scenario;
  readonly result: RunResult;
}

type DeviationKind = Deviation['kind'];

const deviationKinds: readonly [DeviationKind, ...DeviationKind[]] = [
  'message',
  'message',
  'message',
  'cut',
  'cut',
  'crash',
  'crash',
  'pause',
  'disk',
];
/** Places a deviation between two events, so that a replayed schedule has it at the same place in their order. */
const afterOccurrenceMs = 0.5;
/** Probability of a deviation beside a message, by frame kind. */
const deviationProbabilities: Readonly<Record<string, number>> = {
  'vote-request': 0.05,
  vote: 0.05,
  replicate: 0.04,
  replicated: 0.04,
  'resync-entries': 0.2,
  'range-listing': 0.1,
  'replica-status': 0.01,
  gossip: 0.005,
  feed: 0.004,
  called: 0.01,
};
const clockVariants: readonly (readonly number[])[] = [[], [0.98, 1.02, 1.02], [1.02, 0.98, 0.98]];

const randomDurationMs = (random: RandomChoices): number =>
  random.pick(
    random.integer(20, 300),
    random.integer(300, 900),
    random.integer(900, 1500),
    random.integer(1500, 3000),
  );

const machineDeviation = (
  random: RandomChoices,
  kind: Exclude<DeviationKind, 'message' | 'join'>,
  at: number,
  machine: number,
  initialMachineCount: number,
): Deviation => {
  const durationMs = randomDurationMs(random);
  switch (kind) {
    case 'crash':
      return {
        kind,
        at,
        machine,
        durationMs: random.pick(5, random.integer(5, 200), durationMs),
        disk: random.pick('kept', 'kept', 'kept with pending write', 'lost'),
      };
    case 'pause':
      return { kind, at, machine, durationMs };
    case 'disk':
      return { kind, at, machine, fault: random.pick('stalled', 'full'), durationMs };
    case 'cut': {
      const peer = random.integer(0, initialMachineCount - 1);
      return {
        kind,
        at,
        machine,
        peer: peer === machine || random.happens(0.6) ? 'all' : peer,
        direction: random.pick('both', 'both', 'inbound', 'outbound'),
        messages: random.pick('lost', 'held'),
        durationMs,
      };
    }
  }
};

const messageAction = (random: RandomChoices): MessageFault['action'] =>
  random.pick<MessageFault['action']>(
    { kind: 'drop' },
    { kind: 'delay', byMs: randomDurationMs(random) },
    { kind: 'repeat', afterMs: randomDurationMs(random) },
  );

/** Returns a deviation beside a message: of the message itself, or of the sending or receiving machine. */
const deviationAt = (
  random: RandomChoices,
  kind: DeviationKind,
  occurrence: Occurrence,
  initialMachineCount: number,
): Deviation => {
  const { at, frame, from, to } = occurrence;
  if (kind === 'message' && frame !== undefined && from !== undefined && to !== undefined)
    return { kind, at, frame, from, to, action: messageAction(random) };
  const machine = random.happens(0.5) ? occurrence.machine : (to?.machine ?? occurrence.machine);
  const machineKind = kind === 'message' || kind === 'join' ? 'crash' : kind;
  return machineDeviation(
    random,
    machineKind,
    at + afterOccurrenceMs,
    machine,
    initialMachineCount,
  );
};

/** Returns the machine of the primary; 0 if no store holds the lease. */
const primaryOf = (simulation: Simulation): number =>
  simulation.machines.find(
    (machine) =>
      machine.store !== undefined &&
      holdsLease(machine.store.candidate, clockOf(machine, simulation.now)),
  )?.index ?? 0;

/** Places deviations beside messages as they are sent. */
class Walker {
  readonly deviations: Deviation[] = [];
  readonly #simulation: Simulation;
  readonly #random: RandomChoices;
  readonly #deviationKinds: readonly [DeviationKind, ...DeviationKind[]];
  readonly #maxDeviations: number;
  readonly #bounds: WalkBounds;

  constructor(simulation: Simulation, random: RandomChoices, bounds: WalkBounds) {
    this.#simulation = simulation;
    this.#random = random;
    this.#bounds = bounds;
    this.#deviationKinds = [
      random.pick(...deviationKinds),
      random.pick(...deviationKinds),
      random.pick(...deviationKinds),
    ];
    this.#maxDeviations = random.integer(1, bounds.faults);
  }

  /** Adds initial deviations: often a fault that moves the primary lease, sometimes a machine that joins. */
  start(): void {
    const random = this.#random;
    const { initialMachineCount } = this.#simulation.layout;
    const at = formedAtMs + random.integer(1, 300);
    if (random.happens(0.15)) this.add({ kind: 'join', at, machine: initialMachineCount });
    if (random.happens(0.2)) return;
    const primary = primaryOf(this.#simulation);
    const machine = random.happens(0.7) ? primary : random.integer(0, initialMachineCount - 1);
    const kind = random.pick<'crash' | 'pause' | 'cut'>('crash', 'pause', 'cut', 'cut');
    this.add(machineDeviation(random, kind, at, machine, initialMachineCount));
  }

  /** Adds a deviation to the schedule and to the running simulation. */
  add(deviation: Deviation): void {
    this.deviations.push(deviation);
    this.#simulation.deviate(deviation);
  }

  observe(occurrence: Occurrence): void {
    if (occurrence.kind !== 'message' || this.deviations.length >= this.#maxDeviations) return;
    if (occurrence.at > formedAtMs + this.#bounds.depth) return;
    if (!this.#random.happens(deviationProbabilities[occurrence.frame ?? ''] ?? 0)) return;
    const kind = this.#random.pick(...this.#deviationKinds);
    this.add(
      deviationAt(this.#random, kind, occurrence, this.#simulation.layout.initialMachineCount),
    );
  }
}

const layoutOf = (random: RandomChoices, seed: number, bounds: WalkBounds): ClusterLayout => ({
  ...platformLayout(bounds.members[seed % bounds.members.length] ?? 3, 1 + random.integer(0, 1)),
  clockRates: clockVariants[random.integer(0, clockVariants.length - 1)] ?? [],
});

const corpusProbability = 0.25;
const jitterMs = 120;

/** Returns the schedule that a walk extends: an empty one, or one of the corpus with its times shifted. */
const baseOf = (random: RandomChoices, seed: number, bounds: WalkBounds): Scenario => {
  const [first, ...others] = corpus;
  if (first === undefined || !random.happens(corpusProbability))
    return { layout: layoutOf(random, seed, bounds), deviations: [] };
  const { layout, deviations } = random.pick(first, ...others).scenario;
  return {
    layout: { ...layout, seed: 1 + random.integer(0, 5) },
    deviations: deviations.map((deviation) => ({
      ...deviation,
      at: deviation.at + random.integer(-jitterMs, jitterMs),
    })),
  };
};

/** Runs one random walk from the running cluster; the seed determines it completely. */
export const randomWalk = (seed: number, bounds: WalkBounds): Walk => {
  const random = new RandomChoices(seed);
  const { layout, deviations } = baseOf(random, seed, bounds);
  const simulation = formedCluster(layout, bounds.ignored);
  const stepsBefore = simulation.steps;
  const walker = new Walker(simulation, random, bounds);
  if (deviations.length === 0) walker.start();
  else for (const deviation of deviations) walker.add(deviation);
  simulation.observer = (occurrence) => {
    walker.observe(occurrence);
  };
  simulation.runUntil(formedAtMs + bounds.depth);
  simulation.observer = undefined;
  // Once all deviations have ended, only the time to settle is simulated.
  const last = Math.max(...walker.deviations.map(deviationEnd).filter(Number.isFinite), formedAtMs);
  simulation.runUntil(Math.min(runEnd(walker.deviations), last + 4000));
  return {
    scenario: { layout, deviations: walker.deviations },
    result: resultOf(simulation, stepsBefore),
  };
};
