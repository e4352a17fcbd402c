/** Common test setup: a bootstrapped fleet with callers and a rule checker. */

import { increment as add, toServiceName } from '@switchwheel/types';
import { SimulatedCallers } from '../processes/callers.js';
import { FaultContext } from '../fault/fault-context.js';
import { RuleChecker } from '../rules/rule-checker.js';
import { type FleetLayout, World } from '../world/world.js';

/** A service without a rate limit. */
export const clips = toServiceName('clips');
/** A service with a rate limit. */
export const acts = toServiceName('acts');

/** A bootstrapped fleet with callers and a rule checker. */
export interface Fixture {
  readonly world: World;
  readonly callers: SimulatedCallers;
  readonly ruleChecker: RuleChecker;
  readonly faults: FaultContext;
}

/** Creates and bootstraps a fleet; callers send nothing until they are started. */
export const createFixture = (
  seed: number,
  requestsPerSecond: number,
  overrides: Partial<FleetLayout> = {},
): Fixture => {
  const world = new World({
    seed,
    edges: 3,
    shields: 4,
    services: [
      { name: clips, origins: 3, slots: 8, perSecond: undefined },
      { name: acts, origins: 3, slots: 4, perSecond: 80 },
    ],
    ...overrides,
  });
  const callers = new SimulatedCallers(world, requestsPerSecond);
  const ruleChecker = new RuleChecker(world, callers);
  world.bootstrap();
  return {
    world,
    callers,
    ruleChecker,
    faults: new FaultContext(world, ruleChecker, callers),
  };
};

/** Stops the callers, waits for requests in progress and returns the violations of all rules. */
export const finishRun = ({ world, callers, ruleChecker }: Fixture): readonly string[] => {
  callers.stop();
  world.runFor(6000);
  return ruleChecker.finish();
};

/** Number of requests sent in a time range by result kind; `silent` counts those without a reply. */
export const countOutcomes = (
  callers: SimulatedCallers,
  startAt = 0,
  endAt = Infinity,
): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const request of callers.requests) {
    if (request.sentAt < startAt || request.sentAt >= endAt) continue;
    add(counts, request.result?.kind ?? 'silent');
  }
  return counts;
};

/** Returns consecutive seeds from 100 on. */
export const seedRange = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => 100 + index);
