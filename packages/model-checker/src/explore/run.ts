/** Runs of one schedule from a running cluster to its end, with checkpoints from which others branch off. */

import type { Invariant, Violation } from '../cluster/invariants.js';
import type { Occurrence } from '../cluster/occurrence.js';
import { Simulation } from '../cluster/simulation.js';
import { type Deviation, deviationEnd } from '../schedule/deviation.js';
import type { ClusterLayout, Scenario } from '../schedule/scenario.js';

/** Time at which the cluster has formed and takes writes; deviations start after it. */
export const formedAtMs = 2500;
/** Duration of a run after its last deviation has ended. */
export const settleMs = 3200;
const checkpointIntervalMs = 100;

/** Result of one run. */
export interface RunResult {
  readonly violation: Violation | undefined;
  /** Number of events handled since the start of the run. */
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

/** Returns the end time of a run with these deviations. */
export const runEnd = (deviations: readonly Deviation[]): number =>
  Math.max(formedAtMs, ...deviations.map(finiteEnd)) + settleMs;

const formedClusters = new Map<string, Simulation>();

/** Returns a clone of the formed cluster of a layout, from which runs start. */
export const formedCluster = (
  layout: ClusterLayout,
  ignored: ReadonlySet<Invariant> = new Set(),
): Simulation => {
  const key = JSON.stringify([layout, [...ignored].sort()]);
  const cached = formedClusters.get(key);
  if (cached !== undefined) return cached.clone();
  const simulation = new Simulation(layout);
  simulation.ignore(ignored);
  simulation.runUntil(formedAtMs);
  formedClusters.set(key, simulation);
  return simulation.clone();
};

/** Returns the result of a run that started after `stepsBefore` handled events. */
export const resultOf = (simulation: Simulation, stepsBefore: number): RunResult => ({
  violation: simulation.monitor.violation,
  states: simulation.steps - stepsBefore,
  ...simulation.monitor.exercise,
});

/** Runs a scenario from the formed cluster to its end. */
export const runScenario = (
  { layout, deviations }: Scenario,
  ignored: ReadonlySet<Invariant> = new Set(),
): RunResult => {
  const simulation = formedCluster(layout, ignored);
  const stepsBefore = simulation.steps;
  for (const deviation of deviations) simulation.deviate(deviation);
  simulation.runUntil(runEnd(deviations));
  return resultOf(simulation, stepsBefore);
};

/** Run with periodic checkpoints and its occurrences. */
export interface Trace {
  readonly checkpoints: readonly Simulation[];
  readonly occurrences: readonly Occurrence[];
  readonly result: RunResult;
}

/** Continues from a state with a deviation, and keeps checkpoints from which later deviations branch off. */
export const traceFrom = (
  start: Simulation,
  deviation: Deviation | undefined,
  windowEnd: number,
  end: number,
): Trace => {
  const simulation = start.clone();
  const stepsBefore = simulation.steps;
  if (deviation !== undefined) simulation.deviate(deviation);
  const checkpoints: Simulation[] = [simulation.clone()];
  const occurrences: Occurrence[] = [];
  simulation.observer = (occurrence) => occurrences.push(occurrence);
  for (let at = simulation.now + checkpointIntervalMs; at < windowEnd; at += checkpointIntervalMs) {
    simulation.runUntil(at);
    checkpoints.push(simulation.clone());
  }
  simulation.observer = undefined;
  simulation.runUntil(end);
  return { checkpoints, occurrences, result: resultOf(simulation, stepsBefore) };
};

/** Returns the last checkpoint before a time. */
export const checkpointBefore = (trace: Trace, at: number): Simulation | undefined =>
  trace.checkpoints.findLast((checkpoint) => checkpoint.now < at);
