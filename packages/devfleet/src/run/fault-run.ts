import got from 'got';
import type { DeploymentPlan } from '../deployment/schema.js';
import { ReadinessProbe } from '../fleet/readiness-probe.js';
import { type Fleet, delay } from '../fleet/fleet.js';
import { LoadGenerator, type RequestRecord } from '../load/load-generator.js';
import { latencyTable, reasonTable, ruleResultTable } from '../report/report.js';
import { collectRuns, checkRuns } from '../report/rules.js';
import type { FaultScenario } from './scenarios/scenario.js';
import type { RunOptions, RunReport } from './load-run.js';
import { startFleet } from './fleet-setup.js';

/** How long the calm before and after a failure is. */
const calmMs = 5000;

/** The longest any process's loop was held up, as the processes tell it. */
const worstLoopLag = async (fleet: Fleet): Promise<string> => {
  let worst = { name: 'none', ms: 0 };
  for (const machine of fleet.machines) {
    for (const address of new Set([
      machine.kind === 'store' ? machine.adminAddress : machine.adminAddress,
      machine.kind === 'edge' ? machine.adminAddress : machine.httpAddress,
    ])) {
      const reply = await got(`http://${address}/metrics`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: 1000 },
      }).catch(() => undefined);
      const ms = Number(/loop_lag_worst_ms ([\d.]+)/.exec(reply?.body ?? '')?.[1] ?? 0);
      if (ms > worst.ms)
        worst = {
          name: `${machine.name}${address === machine.httpAddress && machine.kind !== 'edge' ? '-registry' : ''}`,
          ms,
        };
    }
  }
  return `${worst.ms.toFixed(0)} ms (${worst.name})`;
};

/** Gaps: times in which no request that was sent got a result. */
const longestGap = (records: readonly RequestRecord[]): number => {
  const good = records
    .filter((one) => one.outcome === 'result')
    .map((one) => one.sentAt + one.elapsedMs)
    .sort((one, two) => one - two);
  let gap = 0;
  for (let at = 1; at < good.length; at += 1)
    gap = Math.max(gap, (good[at] ?? 0) - (good[at - 1] ?? 0));
  return gap;
};

/** Causes one failure under load on real processes and tells what callers saw before and during it. */
export const runFaultScenario = async (
  plan: DeploymentPlan,
  name: string,
  scenario: FaultScenario,
  options: RunOptions,
): Promise<RunReport> => {
  const { print } = options;
  const fleet = await startFleet(plan, options.folder, () => undefined, true);
  try {
    const platform = new ReadinessProbe(fleet);
    const callers = new LoadGenerator(
      plan.deployment,
      plan.deployment.perSecond * options.loadScale,
      () => platform.readyEdges,
    );
    await platform.probe();
    platform.start();
    callers.start();
    await delay(calmMs);
    const lagBefore = await worstLoopLag(fleet);
    const from = performance.now();
    const own = await scenario({ fleet, plan, folder: options.folder, print, load: callers });
    await delay(calmMs);
    await callers.stop();
    platform.stop();
    const before = callers.records.filter((one) => one.sentAt < from);
    const during = callers.records.filter((one) => one.sentAt >= from);
    print(`${name} at ${plan.deployment.name}, before:`);
    print(latencyTable(plan.deployment, before));
    print('from the failure on:');
    print(latencyTable(plan.deployment, during));
    print(reasonTable(during));
    print(
      `longest time without any result ${Math.round(longestGap(during))} ms (before ${Math.round(longestGap(before))} ms); worst loop lag before ${lagBefore}, after ${await worstLoopLag(fleet)}`,
    );
    const verdicts = [...own, ...checkRuns(callers.records, await collectRuns(fleet))];
    print(ruleResultTable(verdicts));
    return { records: callers.records, ruleResults: verdicts };
  } finally {
    await fleet.stop();
  }
};
