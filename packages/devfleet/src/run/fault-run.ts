/** Implements `devfleet fail`: one fault scenario under load, with client outcomes before and during it. */

import got from 'got';
import type { DeploymentPlan } from '../deployment/schema.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { ReadinessProbe } from '../fleet/readiness-probe.js';
import { delay } from '../fleet/wait.js';
import { LoadGenerator } from '../load/load-generator.js';
import type { RequestRecord } from '../load/request-record.js';
import { latencyTable, reasonTable, ruleResultTable } from '../report/report.js';
import { checkRuns, collectRuns } from '../report/rules.js';
import { startFleet } from './fleet-setup.js';
import type { RunOptions, RunReport } from './run-report.js';
import type { FaultScenario } from './scenarios/scenario.js';

/** Duration of the load before and after the scenario. */
const steadyLoadMs = 5000;
const metricsTimeoutMs = 1000;

/** Returns name and metrics address of each process on a machine. */
const metricsAddresses = ({
  name,
  kind,
  adminAddress,
  httpAddress,
}: Machine): readonly (readonly [string, string])[] =>
  kind === 'edge'
    ? [[name, adminAddress]]
    : [
        [name, adminAddress],
        [`${name}-registry`, httpAddress],
      ];

/** Returns the longest event loop lag in the fleet with the process's name, from the processes' metrics. */
const maxLoopLag = async (fleet: Fleet): Promise<string> => {
  let highest = { name: 'none', lagMs: 0 };
  for (const [name, address] of fleet.machines.flatMap(metricsAddresses)) {
    const reply = await got(`http://${address}/metrics`, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: metricsTimeoutMs },
    }).catch(() => undefined);
    const lagMs = Number(/loop_lag_worst_ms ([\d.]+)/.exec(reply?.body ?? '')?.[1] ?? 0);
    if (lagMs > highest.lagMs) highest = { name, lagMs };
  }
  return `${highest.lagMs.toFixed(0)} ms (${highest.name})`;
};

/** Returns the longest time in milliseconds between two consecutive results. */
const longestGapMs = (records: readonly RequestRecord[]): number => {
  const resultTimes = records
    .filter(({ outcome }) => outcome === 'result')
    .map(({ sentAt, elapsedMs }) => sentAt + elapsedMs)
    .sort((left, right) => left - right);
  let longest = 0;
  for (let index = 1; index < resultTimes.length; index += 1)
    longest = Math.max(longest, (resultTimes[index] ?? 0) - (resultTimes[index - 1] ?? 0));
  return longest;
};

/** Runs a fault scenario under load on real processes; prints client outcomes before and during it. */
export const runFaultScenario = async (
  plan: DeploymentPlan,
  name: string,
  scenario: FaultScenario,
  options: RunOptions,
): Promise<RunReport> => {
  const { print, folder } = options;
  const { deployment } = plan;
  const fleet = await startFleet(plan, folder, () => undefined, true);
  try {
    const probe = new ReadinessProbe(fleet);
    const requestsPerSecond = deployment.perSecond * options.loadScale;
    const load = new LoadGenerator(deployment, requestsPerSecond, () => probe.readyEdges);
    await probe.probe();
    probe.start();
    load.start();
    await delay(steadyLoadMs);
    const lagBefore = await maxLoopLag(fleet);
    const faultAt = performance.now();
    const scenarioResults = await scenario({ fleet, plan, folder, print, load });
    await delay(steadyLoadMs);
    await load.stop();
    probe.stop();
    const before = load.records.filter(({ sentAt }) => sentAt < faultAt);
    const during = load.records.filter(({ sentAt }) => sentAt >= faultAt);
    print(`${name} on ${deployment.name}, before the fault:`);
    print(latencyTable(deployment, before));
    print('from the start of the fault:');
    print(latencyTable(deployment, during));
    print(reasonTable(during));
    print(
      `longest time between results: ${Math.round(longestGapMs(during))} ms (before the fault ${Math.round(longestGapMs(before))} ms); highest event loop lag: ${lagBefore} before, ${await maxLoopLag(fleet)} after`,
    );
    const ruleResults = [...scenarioResults, ...checkRuns(load.records, await collectRuns(fleet))];
    print(ruleResultTable(ruleResults));
    return { records: load.records, ruleResults };
  } finally {
    await fleet.stop();
  }
};
