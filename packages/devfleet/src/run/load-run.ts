/** Implements `devfleet run`: a deployment under load with a configuration change and a purge, and the rule checks. */

import got from 'got';
import * as v from 'valibot';
import { increment } from '@switchwheel/types';
import type { DeploymentPlan } from '../deployment/schema.js';
import type { Fleet } from '../fleet/fleet.js';
import { delay, waitUntil } from '../fleet/wait.js';
import { LoadGenerator } from '../load/load-generator.js';
import type { RequestRecord } from '../load/request-record.js';
import {
  type RuleResult,
  latencyTable,
  reasonTable,
  ruleResultTable,
  untimedResult,
} from '../report/report.js';
import { checkRuns, collectRuns } from '../report/rules.js';
import { writeChangedConfiguration } from './configuration-file.js';
import { startFleet, stepTimeoutMs } from './fleet-setup.js';
import { connectedProxies, readFleetView } from './fleet-view.js';
import { runOperatorCommand } from './operator-command.js';
import type { RunOptions, RunReport } from './run-report.js';

/** Maximum time until a configuration is in force on every proxy, and until purged objects are no longer served. */
const maxPropagationMs = 2000;
/** Fraction of the run before the configuration change, and between it and the purge. */
const changeAtFraction = 0.3;
const purgeAfterChangeFraction = 0.2;
const changedQueueLimit = 300;
/** Number of tags over which the objects of tagged traffic are spread. */
const tagCount = 20;

const acceptanceSchema = v.object({
  generation: v.optional(v.number()),
  purge: v.optional(v.number()),
});

/** Applies a configuration and measures the time until every connected edge and shield has it in force. */
const measureApply = async (
  fleet: Fleet,
  file: string,
  print: (text: string) => void,
): Promise<RuleResult> => {
  const rule = 'R4 configuration in force within 2 s';
  const reply = await runOperatorCommand(fleet.registries, [
    'apply',
    file,
    '--wait',
    '0',
    '--json',
  ]);
  const acceptedAt = performance.now();
  if (reply.exitCode !== 0)
    return untimedResult(rule, false, `apply was not accepted: ${reply.stdout}${reply.stderr}`);
  const generation = v.parse(acceptanceSchema, JSON.parse(reply.stdout)).generation ?? 0;
  const isInForce = await waitUntil(stepTimeoutMs, async () => {
    const view = await readFleetView(fleet);
    const proxies = view === undefined ? [] : connectedProxies(view);
    return proxies.length > 0 && proxies.every((proxy) => proxy.generation >= generation);
  });
  const elapsedMs = Math.round(performance.now() - acceptedAt);
  print(
    `generation ${generation} in force on all connected proxies ${elapsedMs} ms after it was accepted`,
  );
  return {
    isTimed: isInForce,
    rule,
    isHeld: isInForce && elapsedMs <= maxPropagationMs,
    text: `generation ${generation}: ${elapsedMs} ms after it was accepted`,
  };
};

interface PurgeOutcome {
  readonly purgedAt: number;
  readonly prefix: string;
  readonly isAccepted: boolean;
}

/** Sets a new revision of all objects at the origins and purges the tagged ones. */
const purgeChangedObjects = async (fleet: Fleet, plan: DeploymentPlan): Promise<PurgeOutcome> => {
  const { traffic } = plan.deployment;
  const prefix = (traffic.find(({ tagged }) => tagged) ?? traffic[0])?.prefix ?? '/';
  for (const { controlAddress } of fleet.origins)
    await got.post(`http://${controlAddress}/revision`, {
      json: { path: '*', revision: 1 },
      retry: { limit: 0 },
    });
  const tags = Array.from({ length: tagCount }, (_, tag) => ['--tag', `t${tag}`]).flat();
  const { exitCode } = await runOperatorCommand(fleet.registries, ['purge', ...tags]);
  return { purgedAt: performance.now(), prefix, isAccepted: exitCode === 0 };
};

/** Checks that no old revision was served to requests sent after the time limit of the purge. */
const checkPurge = (records: readonly RequestRecord[], purge: PurgeOutcome): RuleResult => {
  const afterLimit = records.filter(
    ({ path, sentAt }) =>
      path.startsWith(purge.prefix) && sentAt > purge.purgedAt + maxPropagationMs,
  );
  const stale = afterLimit.filter(({ revision }) => revision === 0);
  return {
    isTimed: purge.isAccepted,
    rule: 'R7 purged objects are not served after 2 s',
    isHeld: purge.isAccepted && stale.length === 0,
    text: `${afterLimit.length} reads more than 2 s after the purge, ${stale.length} of the old revision`,
  };
};

const answererSummary = (records: readonly RequestRecord[]): string => {
  const counts = new Map<string, number>();
  for (const { answeredBy } of records) increment(counts, answeredBy === '' ? '-' : answeredBy);
  const answerers = [...counts].map(([answerer, count]) => `${answerer} ${count}`).join(', ');
  return `${records.length} requests; answered by ${answerers}`;
};

/** Runs a deployment under load, changes its configuration and purges objects meanwhile, and checks the rules. */
export const runUnderLoad = async (
  plan: DeploymentPlan,
  options: RunOptions,
): Promise<RunReport> => {
  const { print, folder } = options;
  const { name, edges, shields, stores, perSecond } = plan.deployment;
  const requestsPerSecond = perSecond * options.loadScale;
  const totalMs = options.seconds * 1000;
  print(
    `${name}: ${edges} edges, ${shields} shields, ${stores} stores; ${Math.round(requestsPerSecond)} requests a second for ${options.seconds} s`,
  );
  const fleet = await startFleet(plan, folder, print);
  try {
    const load = new LoadGenerator(plan.deployment, requestsPerSecond, () => fleet.edges);
    const startedAt = performance.now();
    load.start();
    await delay(totalMs * changeAtFraction);
    const changedFile = writeChangedConfiguration(plan, folder, 'second.json', changedQueueLimit);
    const applyResult = await measureApply(fleet, changedFile, print);
    await delay(totalMs * purgeAfterChangeFraction);
    const purge = await purgeChangedObjects(fleet, plan);
    await delay(Math.max(0, totalMs - (performance.now() - startedAt)));
    await load.stop();
    const { records } = load;
    const ruleResults = [
      applyResult,
      checkPurge(records, purge),
      ...checkRuns(records, await collectRuns(fleet)),
    ];
    print(latencyTable(plan.deployment, records));
    print(answererSummary(records));
    print(reasonTable(records));
    print(ruleResultTable(ruleResults));
    return { records, ruleResults };
  } finally {
    await fleet.stop();
  }
};
