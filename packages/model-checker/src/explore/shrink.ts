/**
 * Shrinks a schedule that breaks an invariant to a small one that still does (delta debugging).
 */

import type { Deviation } from '../schedule/deviation.js';
import type { Scenario } from '../schedule/scenario.js';
import { type Invariant, invariants } from '../cluster/invariants.js';
import { runScenario } from './run.js';

/** Whether this invariant fails, whatever becomes of the others. */
const fails = (scenario: Scenario, invariant: Invariant): boolean => {
  const others = new Set(invariants.filter((one) => one !== invariant));
  return runScenario(scenario, others).violation !== undefined;
};

/** Leaves out every part of the schedule without which the invariant still fails: large parts first. */
const removeDeviations = (scenario: Scenario, invariant: Invariant): Scenario => {
  let current = scenario;
  for (
    let size = Math.ceil(current.deviations.length / 2);
    size >= 1;
    size = Math.floor(size / 2)
  ) {
    let from = 0;
    while (from < current.deviations.length) {
      const deviations = current.deviations.filter((_, at) => at < from || at >= from + size);
      const smaller: Scenario = { ...current, deviations };
      if (fails(smaller, invariant)) current = smaller;
      else from += size;
    }
  }
  return current;
};

const roundTo = (value: number, unit: number): number => Math.round(value / unit) * unit;

/** The same deviation, simpler: a shorter span, a rounder time. */
const simplerOnes = (one: Deviation): readonly Deviation[] => {
  const rounded = [100, 10]
    .map((unit) => roundTo(one.at, unit))
    .filter((at) => at !== one.at)
    .map((at): Deviation => ({ ...one, at }));
  if (!('forMs' in one) || !Number.isFinite(one.forMs)) return rounded;
  const spans = [one.forMs / 2, roundTo(one.forMs, 100), roundTo(one.forMs, 10)]
    .filter((span) => span >= 10 && span < one.forMs)
    .map((forMs): Deviation => ({ ...one, forMs: Math.round(forMs) }));
  return [...spans, ...rounded];
};

const simplifyDeviations = (scenario: Scenario, invariant: Invariant): Scenario => {
  let current = scenario;
  for (const [place] of scenario.deviations.entries()) {
    const one = current.deviations[place];
    if (one === undefined) continue;
    for (const simpler of simplerOnes(one)) {
      const next: Scenario = { ...current, deviations: current.deviations.with(place, simpler) };
      if (!fails(next, invariant)) continue;
      current = next;
      break;
    }
  }
  return current;
};

const simplifyLayout = (scenario: Scenario, invariant: Invariant): Scenario => {
  const { layout } = scenario;
  const joins = scenario.deviations.some((one) => one.kind === 'join');
  const candidates = [
    { ...layout, clockRates: [], spares: joins ? layout.spares : 0 },
    { ...layout, clockRates: [] },
  ];
  for (const one of candidates) {
    const next: Scenario = { ...scenario, layout: one };
    if (fails(next, invariant)) return next;
  }
  return scenario;
};

/** Shrinks a scenario for as long as the same invariant fails (delta debugging). */
export const shrink = (scenario: Scenario, invariant: Invariant): Scenario => {
  let current = simplifyLayout(removeDeviations(scenario, invariant), invariant);
  for (let round = 0; round < 3; round += 1) {
    const next = removeDeviations(simplifyDeviations(current, invariant), invariant);
    if (JSON.stringify(next) === JSON.stringify(current)) break;
    current = next;
  }
  return current;
};
