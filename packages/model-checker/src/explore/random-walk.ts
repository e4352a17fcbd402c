import { holdsLease } from '@switchwheel/election';
import type { Invariant } from '../cluster/invariants.js';
import { clockOf } from '../cluster/machine.js';
import type { Occurrence, Simulation } from '../cluster/simulation.js';
import { type Deviation, type MessageFault, endOf } from '../schedule/deviation.js';
import { corpus } from '../schedule/corpus.js';
import { type ClusterLayout, type Scenario, platformLayout } from '../schedule/scenario.js';
import { Chooser } from './chooser.js';
import { type RunResult, formedAt, formedCluster, resultOf, runEnd } from './run.js';

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

const kinds: readonly [DeviationKind, ...DeviationKind[]] = [
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
const afterOccurrence = 0.5;
/** How likely a message of a kind has a deviation set beside it. */
const interest: Readonly<Record<string, number>> = {
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

const span = (choose: Chooser): number =>
  choose.one(
    choose.between(20, 300),
    choose.between(300, 900),
    choose.between(900, 1500),
    choose.between(1500, 3000),
  );

const machineDeviation = (
  choose: Chooser,
  kind: Exclude<DeviationKind, 'message' | 'join'>,
  at: number,
  machine: number,
  founders: number,
): Deviation => {
  const forMs = span(choose);
  switch (kind) {
    case 'crash':
      return {
        kind,
        at,
        machine,
        forMs: choose.one(5, choose.between(5, 200), forMs),
        disk: choose.one('kept', 'kept', 'kept with pending write', 'lost'),
      };
    case 'pause':
      return { kind, at, machine, forMs };
    case 'disk':
      return { kind, at, machine, trouble: choose.one('stalled', 'full'), forMs };
    case 'cut': {
      const peer = choose.between(0, founders - 1);
      return {
        kind,
        at,
        machine,
        peer: peer === machine || choose.hit(0.6) ? 'all' : peer,
        way: choose.one('both', 'both', 'inbound', 'outbound'),
        messages: choose.one('lost', 'held'),
        forMs,
      };
    }
  }
};

const messageAction = (choose: Chooser): MessageFault['action'] =>
  choose.one<MessageFault['action']>(
    { action: 'drop' },
    { action: 'delay', byMs: span(choose) },
    { action: 'repeat', afterMs: span(choose) },
  );

/** The deviation beside an occurrence: of its message, or of one of the two machines. */
const deviationAt = (
  choose: Chooser,
  kind: DeviationKind,
  occurrence: Occurrence,
  founders: number,
): Deviation => {
  const { at, frame, from, to } = occurrence;
  if (kind === 'message' && frame !== undefined && from !== undefined && to !== undefined)
    return { kind, at, frame, from, to, action: messageAction(choose) };
  const machine = choose.hit(0.5) ? occurrence.machine : (to?.machine ?? occurrence.machine);
  const machineKind = kind === 'message' || kind === 'join' ? 'crash' : kind;
  return machineDeviation(choose, machineKind, at + afterOccurrence, machine, founders);
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
  readonly #choose: Chooser;
  readonly #kinds: readonly [DeviationKind, ...DeviationKind[]];
  readonly #most: number;
  readonly #bounds: WalkBounds;

  constructor(simulation: Simulation, choose: Chooser, bounds: WalkBounds) {
    this.#simulation = simulation;
    this.#choose = choose;
    this.#bounds = bounds;
    this.#kinds = [choose.one(...kinds), choose.one(...kinds), choose.one(...kinds)];
    this.#most = choose.between(1, bounds.faults);
  }

  /** Begins with what moves the duty, or with a machine that joins. */
  begin(): void {
    const choose = this.#choose;
    const { founders } = this.#simulation.layout;
    const at = formedAt + choose.between(1, 300);
    if (choose.hit(0.15)) this.add({ kind: 'join', at, machine: founders });
    if (choose.hit(0.2)) return;
    const leader = leaderOf(this.#simulation);
    const machine = choose.hit(0.7) ? leader : choose.between(0, founders - 1);
    const kind = choose.one<'crash' | 'pause' | 'cut'>('crash', 'pause', 'cut', 'cut');
    this.add(machineDeviation(choose, kind, at, machine, founders));
  }

  /** Adds a deviation to the schedule. */
  add(deviation: Deviation): void {
    this.deviations.push(deviation);
    this.#simulation.deviate(deviation);
  }

  observe(occurrence: Occurrence): void {
    if (occurrence.kind !== 'message' || this.deviations.length >= this.#most) return;
    if (occurrence.at > formedAt + this.#bounds.depth) return;
    if (!this.#choose.hit(interest[occurrence.frame ?? ''] ?? 0)) return;
    const kind = this.#choose.one(...this.#kinds);
    this.add(deviationAt(this.#choose, kind, occurrence, this.#simulation.layout.founders));
  }
}

const layoutOf = (choose: Chooser, seed: number, bounds: WalkBounds): ClusterLayout => ({
  ...platformLayout(bounds.members[seed % bounds.members.length] ?? 3, 1 + choose.between(0, 1)),
  clockRates: clockVariants[choose.between(0, clockVariants.length - 1)] ?? [],
});

const corpusShare = 0.25;
const jitter = 120;

/** Now and then a schedule of the corpus, its times moved a little, to deviate from further. */
const baseOf = (choose: Chooser, seed: number, bounds: WalkBounds): Scenario => {
  const [first, ...others] = corpus;
  if (first === undefined || !choose.hit(corpusShare))
    return { layout: layoutOf(choose, seed, bounds), deviations: [] };
  const { layout, deviations } = choose.one(first, ...others).scenario;
  return {
    layout: { ...layout, seed: 1 + choose.between(0, 5) },
    deviations: deviations.map((one) => ({ ...one, at: one.at + choose.between(-jitter, jitter) })),
  };
};

/** Walks from the formed cluster, deviating at random from the default schedule. */
export const randomWalk = (seed: number, bounds: WalkBounds): Walk => {
  const choose = new Chooser(seed);
  const { layout, deviations } = baseOf(choose, seed, bounds);
  const simulation = formedCluster(layout, bounds.ignored);
  const before = simulation.steps;
  const walker = new Walker(simulation, choose, bounds);
  if (deviations.length === 0) walker.begin();
  else for (const one of deviations) walker.add(one);
  simulation.observer = (occurrence) => {
    walker.observe(occurrence);
  };
  simulation.runUntil(formedAt + bounds.depth);
  simulation.observer = undefined;
  // What is over by then needs no further run than it takes to settle.
  const last = Math.max(...walker.deviations.map(endOf).filter(Number.isFinite), formedAt);
  simulation.runUntil(Math.min(runEnd(walker.deviations), last + 4000));
  return {
    scenario: { layout, deviations: walker.deviations },
    result: resultOf(simulation, before),
  };
};
