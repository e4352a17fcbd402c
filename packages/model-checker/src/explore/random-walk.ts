import { holdsLease } from '@switchwheel/election';
import type { Invariant } from '../cluster/invariants.js';
import { clockOf } from '../cluster/machine.js';
import type { Occurrence, Simulation } from '../cluster/simulation.js';
import { type Deviation, type MessageFault, deviationEnd } from '../schedule/deviation.js';
import { corpus } from '../schedule/corpus.js';
import { type ClusterLayout, type Scenario, platformLayout } from '../schedule/scenario.js';
import { RandomChoices } from './random-choices.js';
import { type RunResult, formedAtMs, formedCluster, resultOf, runEnd } from './run.js';

/** Bounds of a random walk. */
export interface WalkBounds {
  readonly members: readonly number[];
  /** How many deviations at most. */
  readonly faults: number;
  /** Within how many milliseconds they begin. */
  readonly depth: number;
  readonly ignored: ReadonlySet<Invariant>;
}

/** What a walk went through, as a schedule that repeats it, and what came of it. */
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
/** Between two events: a schedule that is replayed has its deviations at the same place in their order. */
const afterOccurrenceMs = 0.5;
/** How likely a message of a kind has a deviation set beside it. */
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

const randomDurationMs = (choose: RandomChoices): number =>
  choose.pick(
    choose.integer(20, 300),
    choose.integer(300, 900),
    choose.integer(900, 1500),
    choose.integer(1500, 3000),
  );

const machineDeviation = (
  choose: RandomChoices,
  kind: Exclude<DeviationKind, 'message' | 'join'>,
  at: number,
  machine: number,
  founders: number,
): Deviation => {
  const forMs = randomDurationMs(choose);
  switch (kind) {
    case 'crash':
      return {
        kind,
        at,
        machine,
        forMs: choose.pick(5, choose.integer(5, 200), forMs),
        disk: choose.pick('kept', 'kept', 'kept with pending write', 'lost'),
      };
    case 'pause':
      return { kind, at, machine, forMs };
    case 'disk':
      return { kind, at, machine, trouble: choose.pick('stalled', 'full'), forMs };
    case 'cut': {
      const peer = choose.integer(0, founders - 1);
      return {
        kind,
        at,
        machine,
        peer: peer === machine || choose.happens(0.6) ? 'all' : peer,
        way: choose.pick('both', 'both', 'inbound', 'outbound'),
        messages: choose.pick('lost', 'held'),
        forMs,
      };
    }
  }
};

const messageAction = (choose: RandomChoices): MessageFault['action'] =>
  choose.pick<MessageFault['action']>(
    { action: 'drop' },
    { action: 'delay', byMs: randomDurationMs(choose) },
    { action: 'repeat', afterMs: randomDurationMs(choose) },
  );

/** The deviation beside an occurrence: of its message, or of one of the two machines. */
const deviationAt = (
  choose: RandomChoices,
  kind: DeviationKind,
  occurrence: Occurrence,
  founders: number,
): Deviation => {
  const { at, frame, from, to } = occurrence;
  if (kind === 'message' && frame !== undefined && from !== undefined && to !== undefined)
    return { kind, at, frame, from, to, action: messageAction(choose) };
  const machine = choose.happens(0.5) ? occurrence.machine : (to?.machine ?? occurrence.machine);
  const machineKind = kind === 'message' || kind === 'join' ? 'crash' : kind;
  return machineDeviation(choose, machineKind, at + afterOccurrenceMs, machine, founders);
};

/** The machine whose store holds the lease now. */
const leaderOf = (simulation: Simulation): number =>
  simulation.machines.find(
    (one) =>
      one.store !== undefined && holdsLease(one.store.candidate, clockOf(one, simulation.now)),
  )?.index ?? 0;

/** Sets deviations beside messages that matter, as they are sent. */
class Walker {
  readonly deviations: Deviation[] = [];
  readonly #simulation: Simulation;
  readonly #random: RandomChoices;
  readonly #deviationKinds: readonly [DeviationKind, ...DeviationKind[]];
  readonly #maxDeviations: number;
  readonly #bounds: WalkBounds;

  constructor(simulation: Simulation, choose: RandomChoices, bounds: WalkBounds) {
    this.#simulation = simulation;
    this.#random = choose;
    this.#bounds = bounds;
    this.#deviationKinds = [
      choose.pick(...deviationKinds),
      choose.pick(...deviationKinds),
      choose.pick(...deviationKinds),
    ];
    this.#maxDeviations = choose.integer(1, bounds.faults);
  }

  /** Begins with what moves the duty, or with a machine that joins. */
  start(): void {
    const choose = this.#random;
    const { founders } = this.#simulation.layout;
    const at = formedAtMs + choose.integer(1, 300);
    if (choose.happens(0.15)) this.add({ kind: 'join', at, machine: founders });
    if (choose.happens(0.2)) return;
    const leader = leaderOf(this.#simulation);
    const machine = choose.happens(0.7) ? leader : choose.integer(0, founders - 1);
    const kind = choose.pick<'crash' | 'pause' | 'cut'>('crash', 'pause', 'cut', 'cut');
    this.add(machineDeviation(choose, kind, at, machine, founders));
  }

  /** Adds a deviation to the schedule. */
  add(deviation: Deviation): void {
    this.deviations.push(deviation);
    this.#simulation.deviate(deviation);
  }

  observe(occurrence: Occurrence): void {
    if (occurrence.kind !== 'message' || this.deviations.length >= this.#maxDeviations) return;
    if (occurrence.at > formedAtMs + this.#bounds.depth) return;
    if (!this.#random.happens(deviationProbabilities[occurrence.frame ?? ''] ?? 0)) return;
    const kind = this.#random.pick(...this.#deviationKinds);
    this.add(deviationAt(this.#random, kind, occurrence, this.#simulation.layout.founders));
  }
}

const layoutOf = (choose: RandomChoices, seed: number, bounds: WalkBounds): ClusterLayout => ({
  ...platformLayout(bounds.members[seed % bounds.members.length] ?? 3, 1 + choose.integer(0, 1)),
  clockRates: clockVariants[choose.integer(0, clockVariants.length - 1)] ?? [],
});

const corpusShare = 0.25;
const jitter = 120;

/** Now and then a schedule of the corpus, its times moved a little, to deviate from further. */
const baseOf = (choose: RandomChoices, seed: number, bounds: WalkBounds): Scenario => {
  const [first, ...others] = corpus;
  if (first === undefined || !choose.happens(corpusShare))
    return { layout: layoutOf(choose, seed, bounds), deviations: [] };
  const { layout, deviations } = choose.pick(first, ...others).scenario;
  return {
    layout: { ...layout, seed: 1 + choose.integer(0, 5) },
    deviations: deviations.map((one) => ({ ...one, at: one.at + choose.integer(-jitter, jitter) })),
  };
};

/** Walks from the formed cluster, deviating at random from the default schedule. */
export const randomWalk = (seed: number, bounds: WalkBounds): Walk => {
  const choose = new RandomChoices(seed);
  const { layout, deviations } = baseOf(choose, seed, bounds);
  const simulation = formedCluster(layout, bounds.ignored);
  const before = simulation.steps;
  const walker = new Walker(simulation, choose, bounds);
  if (deviations.length === 0) walker.start();
  else for (const one of deviations) walker.add(one);
  simulation.observer = (occurrence) => {
    walker.observe(occurrence);
  };
  simulation.runUntil(formedAtMs + bounds.depth);
  simulation.observer = undefined;
  // What is over by then needs no further run than it takes to settle.
  const last = Math.max(...walker.deviations.map(deviationEnd).filter(Number.isFinite), formedAtMs);
  simulation.runUntil(Math.min(runEnd(walker.deviations), last + 4000));
  return {
    scenario: { layout, deviations: walker.deviations },
    result: resultOf(simulation, before),
  };
};
