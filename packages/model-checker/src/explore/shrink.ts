/** Reduction of a schedule that violates an invariant to a small one that still does (delta debugging). */

import type { Deviation } from '../schedule/deviation.js';
import type { Scenario } from '../schedule/scenario.js';
import { type Invariant, invariants } from '../cluster/invariants.js';
import { runScenario } from './run.js';

/** Whether a scenario violates the invariant; other invariants are ignored. */
const violates = (scenario: Scenario, invariant: Invariant): boolean => {
  const others = new Set(invariants.filter((other) => other !== invariant));
  return runScenario(scenario, others).violation !== undefined;
};

/** Removes every part of the schedule without which the invariant is still violated, large parts first. */
const removeDeviations = (scenario: Scenario, invariant: Invariant): Scenario => {
  let current = scenario;
  for (
    let size = Math.ceil(current.deviations.length / 2);
    size >= 1;
    size = Math.floor(size / 2)
  ) {
    let start = 0;
    while (start < current.deviations.length) {
      const deviations = current.deviations.filter(
        (_, index) => index < start || index >= start + size,
      );
      const smaller: Scenario = { ...current, deviations };
      if (violates(smaller, invariant)) current = smaller;
      else start += size;
    }
  }
  return current;
};

const roundTo = (value: number, unit: number): number => Math.round(value / unit) * unit;

/** Returns simpler variants of a deviation: shorter durations, then rounder start times. */
const simplerVariants = (deviation: Deviation): readonly Deviation[] => {
  const rounded = [100, 10]
    .map((unit) => roundTo(deviation.at, unit))
    .filter((at) => at !== deviation.at)
    .map((at): Deviation => ({ ...deviation, at }));
  if (!('durationMs' in deviation) || !Number.isFinite(deviation.durationMs)) return rounded;
  const shortened = [
    deviation.durationMs / 2,
    roundTo(deviation.durationMs, 100),
    roundTo(deviation.durationMs, 10),
  ]
    .filter((shorterMs) => shorterMs >= 10 && shorterMs < deviation.durationMs)
    .map((durationMs): Deviation => ({ ...deviation, durationMs: Math.round(durationMs) }));
  return [...shortened, ...rounded];
};

const simplifyDeviations = (scenario: Scenario, invariant: Invariant): Scenario => {
  let current = scenario;
  for (const [index] of scenario.deviations.entries()) {
    const deviation = current.deviations[index];
    if (deviation === undefined) continue;
    for (const simpler of simplerVariants(deviation)) {
      const next: Scenario = { ...current, deviations: current.deviations.with(index, simpler) };
      if (!violates(next, invariant)) continue;
      current = next;
      break;
    }
  }
  return current;
};

const simplifyLayout = (scenario: Scenario, invariant: Invariant): Scenario => {
  const { layout } = scenario;
  const hasJoin = scenario.deviations.some((deviation) => deviation.kind === 'join');
  const candidates = [
    { ...layout, clockRates: [], joiningMachineCount: hasJoin ? layout.joiningMachineCount : 0 },
    { ...layout, clockRates: [] },
  ];
  for (const candidate of candidates) {
    const next: Scenario = { ...scenario, layout: candidate };
    if (violates(next, invariant)) return next;
  }
  return scenario;
};

/** Shrinks a scenario as long as it violates the same invariant. */
export const shrink = (scenario: Scenario, invariant: Invariant): Scenario => {
  let current = simplifyLayout(removeDeviations(scenario, invariant), invariant);
  for (let round = 0; round < 3; round += 1) {
    const next = removeDeviations(simplifyDeviations(current, invariant), invariant);
    if (JSON.stringify(next) === JSON.stringify(current)) break;
    current = next;
  }
  return current;
};
