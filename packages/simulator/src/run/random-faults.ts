import { increment, toServiceName } from '@switchwheel/types';
import { SimulatedCallers } from '../processes/callers.js';
import { allFaults } from '../fault/all-faults.js';
import { FaultContext } from '../fault/fault-context.js';
import { type Fault, pickFault } from '../fault/fault.js';
import { numberedCommandFaults } from '../fault/operator-commands.js';
import { type HistoryCoverageGoal, checkHistory } from '../history/checker.js';
import { SimulatedOperators } from '../history/operators.js';
import { RuleChecker } from '../rules/rule-checker.js';
import type { CoverageGoal } from '../rules/coverage.js';
import { goodConditions } from '../world/network.js';
import { World } from '../world/world.js';

/** What one stormy run is made of: the same options give the same run. */
export interface RandomFaultOptions {
  readonly seed: number;
  /** How many faults are caused. */
  readonly faultCount: number;
  /** Only faults whose names begin so; all if empty. */
  readonly namePrefixes: readonly string[];
  /** Faults by number that are left out, to shrink a failing run. */
  readonly skippedFaults: ReadonlySet<number>;
  readonly trace?: (text: string) => void;
  /** Is given the fleet and its callers before anything happens, to watch the run. */
  readonly observe?: (world: World, callers: SimulatedCallers) => void;
}

export interface RandomFaultReport {
  readonly violations: readonly string[];
  readonly faults: ReadonlyMap<string, number>;
  readonly requests: number;
  readonly results: number;
  readonly events: number;
  readonly causedFaults: readonly number[];
  readonly coverage: ReadonlyMap<CoverageGoal, number>;
  /** How often each point of the operators' history was put to the test. */
  readonly historyCoverage: ReadonlyMap<HistoryCoverageGoal, number>;
}

const endAllFaults = (world: World): void => {
  world.network.heal();
  world.network.conditions = goodConditions;
  for (const store of world.stores) store.disk.recover();
  for (const actor of world.allProcesses) {
    actor.wake();
    actor.start();
  }
  for (const proxy of world.proxies) proxy.failsToCompile = false;
  for (const origin of world.origins) {
    origin.extraLatencyMs = 0;
    origin.repair();
  }
};

/** A whole fleet in a storm of faults: every rule is checked, and in the end it has to serve again. */
export const runRandomFaults = (options: RandomFaultOptions): RandomFaultReport => {
  const { seed } = options;
  const world = new World({
    seed,
    edges: 2 + (seed % 3),
    shields: 3 + (seed % 3),
    services: [
      { name: toServiceName('clips'), origins: 3, slots: 8, perSecond: undefined },
      { name: toServiceName('acts'), origins: 3, slots: 4, perSecond: 60 },
    ],
  });
  const callers = new SimulatedCallers(world, 40);
  const rules = new RuleChecker(world, callers);
  const ground = new FaultContext(world, rules, callers);
  ground.trace = options.trace;
  options.observe?.(world, callers);
  world.form();
  callers.leaveProbability = 0.03;
  callers.start();
  const list: readonly Fault[] =
    options.namePrefixes.length === 0
      ? allFaults
      : [...allFaults, ...numberedCommandFaults].filter((one) =>
          options.namePrefixes.some((name) => one.name.startsWith(name)),
        );
  if (list.some((one) => numberedCommandFaults.includes(one))) {
    ground.operators = new SimulatedOperators(world, world.history);
    ground.operators.beginReading();
  }
  const counts = new Map<string, number>();
  const acted: number[] = [];
  for (let step = 0; step < options.faultCount; step += 1) {
    world.runFor(world.random.uniform(100, 2500));
    const fault = pickFault(ground, list);
    if (fault === undefined || options.skippedFaults.has(step)) continue;
    acted.push(step);
    increment(counts, fault.name);
    fault.cause(ground);
    if (rules.violations.length > 0) break;
  }
  world.runFor(6500);
  endAllFaults(world);
  ground.log('calm');
  callers.maxImmediateRetries = 0;
  world.runFor(15_000);
  const missing = world.edges.filter((one) => !one.isReady);
  const last = world.edges.flatMap((edge) =>
    Array.from({ length: 10 }, () => callers.send({ edge })),
  );
  world.runFor(3500);
  callers.stop();
  world.runFor(6000);
  const failed = last.filter((one) => one?.hasLeft !== true && one?.result?.kind !== 'result');
  ground.operators?.endReading();
  const history = checkHistory(world.history.operations);
  const broken = [...rules.finish(), ...history.violations.map((one) => `history: ${one}`)];
  if (missing.length > 0)
    broken.push(
      `R12: 15 s after everything calmed down ${missing.map((one) => one.node).join(', ')} did not serve`,
    );
  if (failed.length > 0)
    broken.push(
      `R12: after the calm ${failed.length} of ${last.length} requests got no result: ${JSON.stringify(failed.slice(0, 3).map((one) => [one?.id, one?.path, one?.edge.node, one?.result]))}`,
    );
  return {
    violations: broken,
    faults: counts,
    causedFaults: acted,
    coverage: world.coverage.counts,
    historyCoverage: history.counts,
    events: world.network.sentCount,
    requests: callers.requests.length,
    results: callers.requests.filter((one) => one.result?.kind === 'result').length,
  };
};
