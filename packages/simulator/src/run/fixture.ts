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
  perSecond: number,
  change: Partial<FleetLayout> = {},
): Fixture => {
  const world = new World({
    seed,
    edges: 3,
    shields: 4,
    services: [
      { name: clips, origins: 3, slots: 8, perSecond: undefined },
      { name: acts, origins: 3, slots: 4, perSecond: 80 },
    ],
    ...change,
  });
  const callers = new SimulatedCallers(world, perSecond);
  const rules = new RuleChecker(world, callers);
  world.bootstrap();
  return { world, callers, ruleChecker: rules, faults: new FaultContext(world, rules, callers) };
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
  from = 0,
  to = Infinity,
): ReadonlyMap<string, number> => {
  const count = new Map<string, number>();
  for (const one of callers.requests) {
    if (one.sentAt < from || one.sentAt >= to) continue;
    add(count, one.result?.kind ?? 'silent');
  }
  return count;
};

/** So many seeds, one after the other. */
export const seedRange = (many: number): readonly number[] =>
  Array.from({ length: many }, (_, at) => 100 + at);
