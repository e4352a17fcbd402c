import got from 'got';
import * as v from 'valibot';
import { increment } from '@switchwheel/types';
import type { DeploymentPlan } from '../deployment/schema.js';
import { type Fleet, delay, waitUntil } from '../fleet/fleet.js';
import { LoadGenerator, type RequestRecord } from '../load/load-generator.js';
import { type RuleResult, latencyTable, reasonTable, ruleResultTable } from '../report/report.js';
import { collectRuns, checkRuns } from '../report/rules.js';
import { runOperatorCommand } from './operator-command.js';
import {
  writeChangedConfiguration,
  readFleetView,
  stepTimeoutMs,
  startFleet,
} from './fleet-setup.js';

export interface RunOptions {
  readonly seconds: number;
  readonly loadScale: number;
  readonly folder: string;
  readonly print: (text: string) => void;
}

const acceptanceSchema = v.object({
  generation: v.optional(v.number()),
  purge: v.optional(v.number()),
});

/** Applies a generation and tells how long until every node in touch had it in force. */
const measureApply = async (
  fleet: Fleet,
  file: string,
  print: (text: string) => void,
): Promise<RuleResult> => {
  const done = await runOperatorCommand(fleet.registries, ['apply', file, '--wait', '0', '--json']);
  const at = performance.now();
  if (done.exitCode !== 0)
    return {
      isTimed: false,
      rule: 'R4 in force within 2 s',
      isHeld: false,
      text: `not accepted: ${done.stdout}${done.stderr}`,
    };
  const generation = v.parse(acceptanceSchema, JSON.parse(done.stdout)).generation ?? 0;
  const spread = await waitUntil(stepTimeoutMs, async () => {
    const view = await readFleetView(fleet);
    const nodes =
      view?.nodes.filter((one) => one.open && (one.role === 'edge' || one.role === 'shield')) ?? [];
    return nodes.length > 0 && nodes.every((one) => one.generation >= generation);
  });
  const span = Math.round(performance.now() - at);
  print(`generation ${generation} in force everywhere ${span} ms after it was accepted`);
  return {
    isTimed: spread,
    rule: 'R4 in force within 2 s',
    isHeld: spread && span <= 2000,
    text: `generation ${generation}: ${span} ms after the answer`,
  };
};

/** Changes objects at the origins, purges them, and tells which rule to hold callers' reads to. */
const purgeChangedObjects = async (
  fleet: Fleet,
  plan: DeploymentPlan,
): Promise<{ readonly at: number; readonly prefix: string; readonly code: number }> => {
  const traffic = plan.deployment.traffic.find((one) => one.tagged) ?? plan.deployment.traffic[0];
  const prefix = traffic?.prefix ?? '/';
  for (const origin of fleet.origins)
    await got.post(`http://${origin.controlAddress}/revision`, {
      json: { path: '*', revision: 1 },
      retry: { limit: 0 },
    });
  const tags = Array.from({ length: 20 }, (_, at) => ['--tag', `t${at}`]).flat();
  const done = await runOperatorCommand(fleet.registries, ['purge', ...tags]);
  return { at: performance.now(), prefix, code: done.exitCode };
};

/** What a run came to. */
export interface RunReport {
  readonly records: readonly RequestRecord[];
  readonly ruleResults: readonly RuleResult[];
}

/** The main job: a whole deployment under its load, with a new generation and a purge meanwhile, every rule checked. */
export const runUnderLoad = async (
  plan: DeploymentPlan,
  options: RunOptions,
): Promise<RunReport> => {
  const { print } = options;
  print(
    `${plan.deployment.name}: ${plan.deployment.edges} edges, ${plan.deployment.shields} shields, ${plan.deployment.stores} stores; ${Math.round(plan.deployment.perSecond * options.loadScale)} requests a second for ${options.seconds} s`,
  );
  const fleet = await startFleet(plan, options.folder, print);
  try {
    const callers = new LoadGenerator(
      plan.deployment,
      plan.deployment.perSecond * options.loadScale,
      () => fleet.edges,
    );
    const begun = performance.now();
    callers.start();
    await delay(options.seconds * 300);
    const verdicts: RuleResult[] = [
      await measureApply(
        fleet,
        writeChangedConfiguration(plan, options.folder, 'second.json', 300),
        print,
      ),
    ];
    await delay(options.seconds * 200);
    const purge = await purgeChangedObjects(fleet, plan);
    await delay(Math.max(0, options.seconds * 1000 - (performance.now() - begun)));
    await callers.stop();
    const stale = callers.records.filter(
      (one) =>
        one.path.startsWith(purge.prefix) && one.sentAt > purge.at + 2000 && one.revision === 0,
    );
    verdicts.push({
      isTimed: purge.code === 0,
      rule: 'R7 purged is not served 2 s on',
      isHeld: purge.code === 0 && stale.length === 0,
      text: `${callers.records.filter((one) => one.path.startsWith(purge.prefix) && one.sentAt > purge.at + 2000).length} reads more than 2 s after the purge, ${stale.length} of the old revision`,
    });
    verdicts.push(...checkRuns(callers.records, await collectRuns(fleet)));
    print(latencyTable(plan.deployment, callers.records));
    const froms = new Map<string, number>();
    for (const one of callers.records)
      increment(froms, one.answeredBy === '' ? '-' : one.answeredBy);
    print(
      `${callers.records.length} requests; told by ${[...froms].map(([from, many]) => `${from} ${many}`).join(', ')}`,
    );
    print(reasonTable(callers.records));
    print(ruleResultTable(verdicts));
    return { records: callers.records, ruleResults: verdicts };
  } finally {
    await fleet.stop();
  }
};
