/**
 * A soak of real processes: a whole fleet under load and racing orders, while troubles overlap; then calm, and what must
 * hold by then. The invariants that the programs check on themselves are read from their logs, which outlive kills.
 */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import got from 'got';
import * as v from 'valibot';
import type { DeploymentPlan } from '../deployment/schema.js';
import { type Fleet, delay, waitUntil } from '../fleet/fleet.js';
import { ReadinessProbe } from '../fleet/readiness-probe.js';
import { LoadGenerator } from '../load/load-generator.js';
import { type RuleResult, ruleResultTable } from '../report/report.js';
import { collectRuns, checkRuns } from '../report/rules.js';
import { readFleetView, startFleet } from '../run/fleet-setup.js';
import { SeededRandom } from './seeded-random.js';
import { RacingOperators } from './racing-operators.js';
import type { SoakReport } from './soak-report.js';
import { FaultInjector, countOverlaps, drawFaults } from './random-faults.js';

export interface SoakOptions {
  readonly seed: number;
  /** How long troubles come, in milliseconds. */
  readonly faultsDurationMs: number;
  /** Which part of the deployment's requests a second is sent. */
  readonly loadScale: number;
  readonly folder: string;
  readonly print: (text: string) => void;
}

/** How long after the last trouble all must be in force again; no verdict hangs on a machine's speed within it. */
const settleTimeoutMs = 30_000;
const brokenInvariantMessage = 'an invariant is broken';
const configurationReplySchema = v.looseObject({
  generation: v.number(),
  description: v.unknown(),
});

const verdict = (rule: string, held: boolean, text: string): RuleResult => ({
  rule,
  isHeld: held,
  text,
  isTimed: false,
});

/** Lines of all logs that tell of a broken invariant. */
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
  const runners = view.nodes.filter((one) => one.role === 'edge' || one.role === 'shield');
  const isAll = runners.length === fleet.machines.filter((one) => one.kind !== 'store').length;
  return isAll && runners.every((one) => one.open && one.generation === view.generation);
};

/** Reads the description back from each registry. */
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

const checkReadBack = (replies: readonly unknown[], operators: RacingOperators): RuleResult => {
  const newest = operators.newestConfirmed;
  const faults = replies.flatMap((raw) => {
    const read = v.safeParse(configurationReplySchema, raw);
    if (!read.success) return ['no answer'];
    const { generation, description } = read.output;
    if (generation < (newest?.generation ?? 0)) return [`generation ${generation}`];
    const isNewest = newest !== undefined && generation === newest.generation;
    const same =
      !isNewest ||
      canonicalJson(description) === canonicalJson(operators.configurationWith(newest.content));
    return same ? [] : [`other content under ${generation}`];
  });
  return verdict(
    'the newest confirmed description is read back',
    faults.length === 0,
    `${replies.length} registries asked for ${newest?.generation ?? 0}: ${faults.length === 0 ? 'all tell it' : faults.join('; ')}`,
  );
};

/** A text that is the same for equal values, whatever the order of members. */
const canonicalJson = (raw: unknown): string =>
  JSON.stringify(raw, (_, value: unknown) =>
    typeof value === 'object' && value !== null && !Array.isArray(value)
      ? Object.fromEntries(Object.entries(value).sort(([one], [two]) => (one < two ? -1 : 1)))
      : value,
  );

/** Plays one seed. */
export const runSoak = async (plan: DeploymentPlan, options: SoakOptions): Promise<SoakReport> => {
  const { seed, faultsDurationMs, folder, print } = options;
  const chance = new SeededRandom(seed);
  const fleet = await startFleet(plan, folder, () => undefined, true);
  try {
    const platform = new ReadinessProbe(fleet);
    const rate = plan.deployment.perSecond * options.loadScale;
    const callers = new LoadGenerator(plan.deployment, rate, () => platform.readyEdges);
    const troubles = drawFaults(chance, fleet.machines, faultsDurationMs);
    const operators = new RacingOperators(plan, fleet.registries, new SeededRandom(seed + 1));
    await platform.probe();
    platform.start();
    callers.start();
    const work = operators.run();
    await new FaultInjector(fleet, print).run(troubles);
    operators.stop();
    await work;
    const confirmed = operators.newestConfirmed?.generation ?? 0;
    const since = performance.now();
    const settled = await waitUntil(settleTimeoutMs, () => isSettled(fleet, confirmed));
    print(
      `settled ${settled ? '' : 'NOT '}after ${Math.round(performance.now() - since)} ms of calm`,
    );
    const reads = await readConfigurations(fleet);
    await delay(500);
    await callers.stop();
    platform.stop();
    const broken = brokenInvariantLines(folder);
    const verdicts = [
      verdict('invariants', broken.length === 0, broken.join('\n') || 'none was found broken'),
      verdict('in force everywhere', settled, `the newest confirmed generation is ${confirmed}`),
      checkReadBack(reads, operators),
      verdict(
        'one answer to one order',
        operators.conflicts.length === 0,
        `${operators.commands.length} orders, ${operators.conflicts.length} with two answers`,
      ),
      ...checkRuns(callers.records, await collectRuns(fleet)),
    ];
    print(ruleResultTable(verdicts));
    return {
      ruleResults: verdicts,
      faultCount: troubles.length,
      overlapCount: countOverlaps(troubles),
      commandCount: operators.commands.length,
      confirmedCount: operators.commands.filter((one) => one.confirmations > 0).length,
    };
  } finally {
    await fleet.stop();
  }
};
