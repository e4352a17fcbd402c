/** A formed fleet with callers and rules: the common set-up of the tests of this folder. */

import { increment as add, toServiceName } from '@switchwheel/types';
import { SimulatedCallers } from '../processes/callers.js';
import { FaultContext } from '../fault/fault-context.js';
import { RuleChecker } from '../rules/rule-checker.js';
import { type FleetLayout, World } from '../world/world.js';

/** A service without a rate limit. */
export const clips = toServiceName('clips');
/** A service with a rate limit. */
export const acts = toServiceName('acts');

/** A formed fleet with callers and rules, for runs that cause one failure. */
export interface Fixture {
  readonly world: World;
  readonly callers: SimulatedCallers;
  readonly ruleChecker: RuleChecker;
  readonly faults: FaultContext;
}

/** Forms a fleet; callers do not send until they are started. */
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

/** Ends a run: no more callers, all that is under way ends, every rule is checked. */
export const finishRun = ({ world, callers, ruleChecker }: Fixture): readonly string[] => {
  callers.stop();
  world.runFor(6000);
  return ruleChecker.finish();
};

/** How callers fared over a part of a run. */
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

/** So many seeds, one after the other. */
export const seedRange = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => 100 + index);
