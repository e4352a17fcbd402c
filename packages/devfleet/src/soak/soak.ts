/**
 * Soak of a development fleet: overlapping faults under load and concurrent configuration changes, then a check that the
 * fleet recovered. Violations of the invariants that the processes check themselves are read from their logs.
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

/** Options of the run of one seed. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the fault injection. */
  readonly faultsDurationMs: number;
  /** Factor for the deployment's request rate. */
  readonly loadScale: number;
  readonly folder: string;
  readonly print: (text: string) => void;
}

/** Time limit after the last fault for the newest configuration to be in force on every proxy. */
const settleTimeoutMs = 30_000;
/** Time for the processes to write their last log lines. */
const logFlushMs = 500;
/** Log message of the processes for a broken invariant; must match their wording. */
const brokenInvariantMessage = 'an invariant is broken';
const configurationReplySchema = v.looseObject({
  generation: v.number(),
  description: v.unknown(),
});

/** Returns the lines of all logs that report a broken invariant. */
const brokenInvariantLines = (folder: string): readonly string[] => {
  const logs = join(folder, 'log');
  return readdirSync(logs).flatMap((name) =>
    readFileSync(join(logs, name), 'utf8')
      .split('\n')
      .filter((line) => line.includes(brokenInvariantMessage))
      .map((line) => `${name}: ${line.slice(0, 300)}`),
  );
};

/** Whether every proxy is connected and runs the newest generation, and that is not below the newest confirmed one. */
const isSettled = async (fleet: Fleet, confirmedGeneration: number): Promise<boolean> => {
  const view = await readFleetView(fleet);
  if (view === undefined || view.generation < confirmedGeneration) return false;
  const proxies = view.nodes.filter((node) => node.role === 'edge' || node.role === 'shield');
  const areAllKnown =
    proxies.length === fleet.machines.filter((machine) => machine.kind !== 'store').length;
  return areAllKnown && proxies.every((node) => node.open && node.generation === view.generation);
};

/** Reads the configuration from each registry; undefined for those that fail. */
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

/** Checks that each registry returns the newest confirmed configuration or a later generation. */
const checkReadBack = (replies: readonly unknown[], operators: RacingOperators): RuleResult => {
  const newest = operators.newestConfirmed;
  const mismatches = replies.flatMap((raw) => {
    const parsed = v.safeParse(configurationReplySchema, raw);
    if (!parsed.success) return ['no valid response'];
    const { generation, description } = parsed.output;
    if (generation < (newest?.generation ?? 0)) return [`older generation ${generation}`];
    const isNewest = newest !== undefined && generation === newest.generation;
    const isExpected =
      !isNewest ||
      canonicalJson(description) === canonicalJson(operators.configurationWith(newest.content));
    return isExpected ? [] : [`different content in generation ${generation}`];
  });
  return untimedResult(
    'registries return the newest confirmed configuration',
    mismatches.length === 0,
    `${replies.length} registries, newest confirmed generation ${newest?.generation ?? 0}: ${mismatches.length === 0 ? 'all return it or a later one' : mismatches.join('; ')}`,
  );
};

/** Serializes a value as JSON with sorted members, so that equal values give equal texts. */
const canonicalJson = (raw: unknown): string =>
  JSON.stringify(raw, (_, value: unknown) =>
    typeof value === 'object' && value !== null && !Array.isArray(value)
      ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
      : value,
  );

/** Injects faults and submits configuration changes until the last fault is repaired; returns both. */
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

/** Runs one seed of a soak and prints its rule results. */
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
    const confirmedGeneration = operators.newestConfirmed?.generation ?? 0;
    const faultsEndedAt = performance.now();
    const hasSettled = await waitUntil(settleTimeoutMs, () =>
      isSettled(fleet, confirmedGeneration),
    );
    const settleMs = Math.round(performance.now() - faultsEndedAt);
    print(`settled: ${hasSettled ? '' : 'NOT '}within ${settleMs} ms after the last fault`);
    const configurations = await readConfigurations(fleet);
    await delay(logFlushMs);
    await load.stop();
    probe.stop();
    const violations = brokenInvariantLines(folder);
    const ruleResults = [
      untimedResult(
        'invariants',
        violations.length === 0,
        violations.join('\n') || 'no violation was logged',
      ),
      untimedResult(
        'newest configuration in force on every proxy',
        hasSettled,
        `newest confirmed generation ${confirmedGeneration}`,
      ),
      checkReadBack(configurations, operators),
      untimedResult(
        'all confirmations of a command name the same generation',
        conflicts.length === 0,
        `${commands.length} commands, ${conflicts.length} conflicting confirmations`,
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
