/** Runs of a whole fleet under random faults; the same options give the same run. */

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
import { normalConditions } from '../world/network.js';
import { World } from '../world/world.js';

const requestsPerSecond = 40;
/** Time for active faults to end by themselves before all are ended. */
const faultsEndMs = 6500;
const recoveryMs = 15_000;

/** Options of one run; the same options give the same run. */
export interface RandomFaultOptions {
  readonly seed: number;
  /** Number of faults to inject. */
  readonly faultCount: number;
  /** Prefixes of the names of allowed faults; all are allowed if empty. */
  readonly namePrefixes: readonly string[];
  /** Numbers of faults that are left out, to shrink a failing run. */
  readonly skippedFaults: ReadonlySet<number>;
  readonly trace?: (text: string) => void;
  /** Called before the run starts, to attach observers. */
  readonly observe?: (world: World, callers: SimulatedCallers) => void;
}

/** Result of a run. */
export interface RandomFaultReport {
  readonly violations: readonly string[];
  readonly faultCounts: ReadonlyMap<string, number>;
  readonly requestCount: number;
  readonly resultCount: number;
  readonly messageCount: number;
  readonly injectedFaultNumbers: readonly number[];
  readonly coverage: ReadonlyMap<CoverageGoal, number>;
  /** How often each coverage goal of the history was met. */
  readonly historyCoverage: ReadonlyMap<HistoryCoverageGoal, number>;
}

const endAllFaults = (world: World): void => {
  world.network.heal();
  world.network.conditions = normalConditions;
  for (const store of world.stores) store.disk.recover();
  for (const process of world.allProcesses) {
    process.resume();
    process.start();
  }
  for (const proxy of world.proxies) proxy.failsToCompile = false;
  for (const origin of world.origins) {
    origin.extraLatencyMs = 0;
    origin.clearResponseFaults();
  }
};

const createWorld = (seed: number): World =>
  new World({
    seed,
    edges: 2 + (seed % 3),
    shields: 3 + (seed % 3),
    services: [
      { name: toServiceName('clips'), origins: 3, slots: 8, perSecond: undefined },
      { name: toServiceName('acts'), origins: 3, slots: 4, perSecond: 60 },
    ],
  });

/** Faults that a run may inject; numbered commands only if selected by name. */
const candidatesOf = (namePrefixes: readonly string[]): readonly Fault[] =>
  namePrefixes.length === 0
    ? allFaults
    : [...allFaults, ...numberedCommandFaults].filter((fault) =>
        namePrefixes.some((prefix) => fault.name.startsWith(prefix)),
      );

interface InjectedFaults {
  readonly counts: ReadonlyMap<string, number>;
  /** Numbers of the injected faults within the run. */
  readonly numbers: readonly number[];
}

/** Injects faults one after another until there are enough or a rule is violated. */
const injectFaults = (
  context: FaultContext,
  candidates: readonly Fault[],
  { faultCount, skippedFaults }: RandomFaultOptions,
): InjectedFaults => {
  const { world, ruleChecker } = context;
  const counts = new Map<string, number>();
  const numbers: number[] = [];
  for (let number = 0; number < faultCount; number += 1) {
    world.runFor(world.random.uniform(100, 2500));
    const fault = pickFault(context, candidates);
    if (fault === undefined || skippedFaults.has(number)) continue;
    numbers.push(number);
    increment(counts, fault.name);
    fault.inject(context);
    if (ruleChecker.violations.length > 0) break;
  }
  return { counts, numbers };
};

/** R12: ends all faults, then checks that each edge becomes ready and serves all requests. */
const checkRecovery = (context: FaultContext): readonly string[] => {
  const { world, callers } = context;
  world.runFor(faultsEndMs);
  endAllFaults(world);
  context.log('all faults ended');
  callers.maxImmediateRetries = 0;
  world.runFor(recoveryMs);
  const unready = world.edges.filter((edge) => !edge.isReady);
  const requests = world.edges.flatMap((edge) =>
    Array.from({ length: 10 }, () => callers.send({ edge })),
  );
  world.runFor(3500);
  callers.stop();
  world.runFor(6000);
  const failed = requests.filter(
    (request) => request?.hasDisconnected !== true && request?.result?.kind !== 'result',
  );
  const violations: string[] = [];
  if (unready.length > 0)
    violations.push(
      `R12: 15 s after the end of all faults these edges were not ready: ${unready.map((edge) => edge.node).join(', ')}`,
    );
  if (failed.length > 0)
    violations.push(
      `R12: after the end of all faults ${failed.length} of ${requests.length} requests got no result: ${JSON.stringify(failed.slice(0, 3).map((request) => [request?.id, request?.path, request?.edge.node, request?.result]))}`,
    );
  return violations;
};

/** Runs a fleet under random faults, checks all rules, and checks that it recovers. */
export const runRandomFaults = (options: RandomFaultOptions): RandomFaultReport => {
  const world = createWorld(options.seed);
  const callers = new SimulatedCallers(world, requestsPerSecond);
  const ruleChecker = new RuleChecker(world, callers);
  const context = new FaultContext(world, ruleChecker, callers);
  context.trace = options.trace;
  options.observe?.(world, callers);
  world.bootstrap();
  callers.disconnectProbability = 0.03;
  callers.start();
  const candidates = candidatesOf(options.namePrefixes);
  if (candidates.some((fault) => numberedCommandFaults.includes(fault))) {
    context.operators = new SimulatedOperators(world, world.history);
    context.operators.startReading();
  }
  const injected = injectFaults(context, candidates, options);
  const recoveryViolations = checkRecovery(context);
  context.operators?.stopReading();
  const history = checkHistory(world.history.operations);
  return {
    violations: [
      ...ruleChecker.finish(),
      ...history.violations.map((violation) => `history: ${violation}`),
      ...recoveryViolations,
    ],
    faultCounts: injected.counts,
    injectedFaultNumbers: injected.numbers,
    coverage: world.coverage.counts,
    historyCoverage: history.counts,
    messageCount: world.network.sentCount,
    requestCount: callers.requests.length,
    resultCount: callers.requests.filter((request) => request.result?.kind === 'result').length,
  };
};
