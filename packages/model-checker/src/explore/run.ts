import type { Invariant, Violation } from '../cluster/invariants.js';
import { type Occurrence, Simulation } from '../cluster/simulation.js';
import { type Deviation, deviationEnd } from '../schedule/deviation.js';
import type { ClusterLayout, Scenario } from '../schedule/scenario.js';

/** When the cluster stands and is written to: deviations begin here. */
export const formedAtMs = 2500;
/** How long a run goes on after its last deviation is over. */
export const settleMs = 3200;
const checkpointIntervalMs = 100;

/** What one run came to. */
export interface RunResult {
  readonly violation: Violation | undefined;
  /** The events acted on after the deviations began. */
  readonly states: number;
  readonly confirmedWrites: number;
  readonly reads: number;
  readonly leasesWon: number;
  readonly electorateChanges: number;
}

const finiteEnd = (deviation: Deviation): number => {
  const end = deviationEnd(deviation);
  return Number.isFinite(end) ? end : deviation.at;
};

/** When a run with these deviations is over. */
export const runEnd = (deviations: readonly Deviation[]): number =>
  Math.max(formedAtMs, ...deviations.map(finiteEnd)) + settleMs;

const formedClusters = new Map<string, Simulation>();

/** A cluster that stands, from which runs of this layout begin. */
export const formedCluster = (
  layout: ClusterLayout,
  ignored: ReadonlySet<Invariant> = new Set(),
): Simulation => {
  const key = JSON.stringify([layout, [...ignored].sort()]);
  const known = formedClusters.get(key);
  if (known !== undefined) return known.clone();
  const simulation = new Simulation(layout);
  simulation.ignore(ignored);
  simulation.runUntil(formedAtMs);
  formedClusters.set(key, simulation);
  return simulation.clone();
};

/** What a run came to, that had acted on so many events before. */
export const resultOf = (simulation: Simulation, before: number): RunResult => ({
  violation: simulation.monitor.violation,
  states: simulation.steps - before,
  ...simulation.monitor.exercise,
});

/** Runs a scenario from the formed cluster to its end. */
export const runScenario = (
  { layout, deviations }: Scenario,
  ignored: ReadonlySet<Invariant> = new Set(),
): RunResult => {
  const simulation = formedCluster(layout, ignored);
  const before = simulation.steps;
  for (const one of deviations) simulation.deviate(one);
  simulation.runUntil(runEnd(deviations));
  return resultOf(simulation, before);
};

/** A run with the states it went through now and then, and what happened in it. */
export interface Trace {
  readonly checkpoints: readonly Simulation[];
  readonly occurrences: readonly Occurrence[];
  readonly result: RunResult;
}

/** Runs on from a state, keeping clones on the way: deviations that come later begin from there. */
export const traceFrom = (
  start: Simulation,
  deviation: Deviation | undefined,
  windowEnd: number,
  end: number,
): Trace => {
  const simulation = start.clone();
  const before = simulation.steps;
  if (deviation !== undefined) simulation.deviate(deviation);
  const checkpoints: Simulation[] = [simulation.clone()];
  const occurrences: Occurrence[] = [];
  simulation.observer = (one) => occurrences.push(one);
  for (let at = simulation.now + checkpointIntervalMs; at < windowEnd; at += checkpointIntervalMs) {
    simulation.runUntil(at);
    checkpoints.push(simulation.clone());
  }
  simulation.observer = undefined;
  simulation.runUntil(end);
  return { checkpoints, occurrences, result: resultOf(simulation, before) };
};

/** The last state that was kept before a moment. */
export const checkpointBefore = (trace: Trace, at: number): Simulation | undefined =>
  trace.checkpoints.findLast((one) => one.now < at);
