/**
 * A soak of real processes: a whole fleet under load and racing configuration changes while faults overlap; then calm, and
 * what must hold by then. The invariants that the programs check on themselves are read from their logs.
 */

import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import got from 'got';
import * as v from 'valibot';
import type { DeploymentPlan } from '../deployment/schema.js';
import type { Fleet } from '../fleet/fleet.js';
import { ReadinessProbe } from '../fleet/readiness-probe.js';
import { delay, waitUntil } from '../fleet/wait.js';
import { LoadGenerator } from '../load/load-generator.js';
import { type RuleResult, ruleResultTable, untimedResult } from '../report/report.js';
import { collectRuns, checkRuns } from '../report/rules.js';
import { startFleet } from '../run/fleet-setup.js';
import { readFleetView } from '../run/fleet-view.js';
import { SeededRandom } from './seeded-random.js';
import { RacingOperators } from './racing-operators.js';
import type { SoakReport } from './soak-report.js';
import { FaultInjector, type ScheduledFault, countOverlaps, drawFaults } from './random-faults.js';

/** How one seed is run. */
export interface SoakOptions {
  readonly seed: number;
  /** How long faults are injected. */
  readonly faultsDurationMs: number;
  /** The factor by which the deployment's rate of requests is multiplied. */
  readonly loadScale: number;
  readonly folder: string;
  readonly print: (text: string) => void;
}

/** How long after the last fault the newest configuration must be in force everywhere; generous for a slow machine. */
const settleTimeoutMs = 30_000;
/** How long processes are given to write their last log lines. */
const logFlushMs = 500;
/** The log message of the programs; a change there must be made here too. */
const brokenInvariantMessage = 'an invariant is broken';
const configurationReplySchema = v.looseObject({
  generation: v.number(),
  description: v.unknown(),
});

/** The lines of all logs that report a broken invariant. */
const brokenInvariantLines = (folder: string): readonly string[] => {
  const logs = join(folder, 'log');
  return readdirSync(logs).flatMap((name) =>
    readFileSync(join(logs, name), 'utf8')
      .split('\n')
      .filter((line) => line.includes(brokenInvariantMessage))
      .map((line) => `${name}: ${line.slice(0, 300)}`),
  );
};

/** Whether every node runs the newest generation, and it is at least the newest that was confirmed. */
const isSettled = async (fleet: Fleet, confirmedGeneration: number): Promise<boolean> => {
  const view = await readFleetView(fleet);
  if (view === undefined || view.generation < confirmedGeneration) return false;
  const proxies = view.nodes.filter((node) => node.role === 'edge' || node.role === 'shield');
  const areAllKnown =
    proxies.length === fleet.machines.filter((machine) => machine.kind !== 'store').length;
  return areAllKnown && proxies.every((node) => node.open && node.generation === view.generation);
};

/** The configuration as each registry returns it; undefined where one does not. */
const readConfigurations = (fleet: Fleet): Promise<readonly unknown[]> =>
  Promise.all(
    fleet.registries.map(async (registry) => {
      const reply = await got(`http://${registry}/v1/description`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: 25_000 },
      }).catch(() => undefined);
      if (reply?.statusCode !== 200) return undefined;
      const raw: unknown = JSON.parse(reply.body);
      return raw;
    }),
  );

/** Checks that each registry returns the newest confirmed configuration, or a later one. */
const checkReadBack = (replies: readonly unknown[], operators: RacingOperators): RuleResult => {
  const newest = operators.newestConfirmed;
  const faults = replies.flatMap((raw) => {
    const read = v.safeParse(configurationReplySchema, raw);
    if (!read.success) return ['no answer'];
    const { generation, description } = read.output;
    if (generation < (newest?.generation ?? 0)) return [`generation ${generation}`];
    const isNewest = newest !== undefined && generation === newest.generation;
    const isSame =
      !isNewest ||
      canonicalJson(description) === canonicalJson(operators.configurationWith(newest.content));
    return isSame ? [] : [`other content under ${generation}`];
  });
  return untimedResult(
    'the newest confirmed description is read back',
    faults.length === 0,
    `${replies.length} registries asked for ${newest?.generation ?? 0}: ${faults.length === 0 ? 'all tell it' : faults.join('; ')}`,
  );
};

/** JSON text that is the same for equal values, whatever the order of members. */
const canonicalJson = (raw: unknown): string =>
  JSON.stringify(raw, (_, value: unknown) =>
    typeof value === 'object' && value !== null && !Array.isArray(value)
      ? Object.fromEntries(Object.entries(value).sort(([one], [two]) => (one < two ? -1 : 1)))
      : value,
  );

/** Sends load and injects faults until their time is over; returns what was injected and submitted. */
const injectFaults = async (
  fleet: Fleet,
  plan: DeploymentPlan,
  options: SoakOptions,
): Promise<{
  readonly faults: readonly ScheduledFault[];
  readonly operators: RacingOperators;
}> => {
  const { seed, print } = options;
  const faults = drawFaults(new SeededRandom(seed), fleet.machines, options.faultsDurationMs);
  const operators = new RacingOperators(plan, fleet.registries, new SeededRandom(seed + 1));
  const submissions = operators.run();
  await new FaultInjector(fleet, print).run(faults);
  operators.stop();
  await submissions;
  return { faults, operators };
};

/** Runs one seed. */
export const runSoak = async (plan: DeploymentPlan, options: SoakOptions): Promise<SoakReport> => {
  const { folder, print } = options;
  const fleet = await startFleet(plan, folder, () => undefined, true);
  try {
    const probe = new ReadinessProbe(fleet);
    const requestsPerSecond = plan.deployment.perSecond * options.loadScale;
    const load = new LoadGenerator(plan.deployment, requestsPerSecond, () => probe.readyEdges);
    await probe.probe();
    probe.start();
    load.start();
    const { faults, operators } = await injectFaults(fleet, plan, options);
    const { commands, conflicts } = operators;
    const confirmed = operators.newestConfirmed?.generation ?? 0;
    const calmSince = performance.now();
    const hasSettled = await waitUntil(settleTimeoutMs, () => isSettled(fleet, confirmed));
    const calmMs = Math.round(performance.now() - calmSince);
    print(`settled ${hasSettled ? '' : 'NOT '}after ${calmMs} ms of calm`);
    const configurations = await readConfigurations(fleet);
    await delay(logFlushMs);
    await load.stop();
    probe.stop();
    const broken = brokenInvariantLines(folder);
    const ruleResults = [
      untimedResult(
        'invariants',
        broken.length === 0,
        broken.join('\n') || 'none was found broken',
      ),
      untimedResult(
        'in force everywhere',
        hasSettled,
        `the newest confirmed generation is ${confirmed}`,
      ),
      checkReadBack(configurations, operators),
      untimedResult(
        'one answer to one order',
        conflicts.length === 0,
        `${commands.length} orders, ${conflicts.length} with two answers`,
      ),
      ...checkRuns(load.records, await collectRuns(fleet)),
    ];
    print(ruleResultTable(ruleResults));
    return {
      ruleResults,
      faultCount: faults.length,
      overlapCount: countOverlaps(faults),
      commandCount: commands.length,
      confirmedCount: commands.filter(({ confirmations }) => confirmations > 0).length,
    };
  } finally {
    await fleet.stop();
  }
};
