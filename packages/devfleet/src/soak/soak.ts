/**
 * A soak of real processes: a whole fleet under load and racing orders, while troubles overlap; then calm, and what must
 * hold by then. The invariants that the programs check on themselves are read from their logs, which outlive kills.
 */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import got from 'got';
import * as v from 'valibot';
import type { Plan } from '../deployment/schema.js';
import { type Fleet, pause, until } from '../fleet/fleet.js';
import { Platform } from '../fleet/platform.js';
import { Callers } from '../load/callers.js';
import { type Verdict, verdictTable } from '../report/report.js';
import { collectRuns, judgeRuns } from '../report/rules.js';
import { lookAt, setUp } from '../run/stage.js';
import { Chance } from './chance.js';
import { Operators } from './operators.js';
import { TroubleMaker, countOverlaps, drawTroubles } from './troubles.js';

export interface SoakOptions {
  readonly seed: number;
  /** How long troubles come, in milliseconds. */
  readonly spanMs: number;
  /** Which part of the deployment's requests a second is sent. */
  readonly scale: number;
  readonly folder: string;
  readonly say: (text: string) => void;
}

export interface SoakReport {
  readonly verdicts: readonly Verdict[];
  readonly troubles: number;
  readonly overlaps: number;
  readonly orders: number;
  readonly confirmed: number;
}

/** How long after the last trouble all must be in force again; no verdict hangs on a machine's speed within it. */
const settleMs = 30_000;
const brokenInvariant = 'an invariant is broken';
const described = v.looseObject({ generation: v.number(), description: v.unknown() });

const verdict = (rule: string, held: boolean, text: string): Verdict => ({
  rule,
  held,
  text,
  timed: false,
});

/** Lines of all logs that tell of a broken invariant. */
const brokenInvariants = (folder: string): readonly string[] => {
  const logs = join(folder, 'log');
  return readdirSync(logs).flatMap((name) =>
    readFileSync(join(logs, name), 'utf8')
      .split('\n')
      .filter((line) => line.includes(brokenInvariant))
      .map((line) => `${name}: ${line.slice(0, 300)}`),
  );
};

/** Whether every node runs the newest generation, and it is at least the newest that was confirmed. */
const isSettled = async (fleet: Fleet, confirmed: number): Promise<boolean> => {
  const view = await lookAt(fleet);
  if (view === undefined || view.generation < confirmed) return false;
  const runners = view.nodes.filter((one) => one.role === 'edge' || one.role === 'shield');
  const isAll = runners.length === fleet.machines.filter((one) => one.kind !== 'store').length;
  return isAll && runners.every((one) => one.open && one.generation === view.generation);
};

/** Reads the description back from each registry. */
const readBack = (fleet: Fleet): Promise<readonly unknown[]> =>
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

const judgeReads = (reads: readonly unknown[], operators: Operators): Verdict => {
  const newest = operators.newest;
  const faults = reads.flatMap((raw) => {
    const read = v.safeParse(described, raw);
    if (!read.success) return ['no answer'];
    const { generation, description } = read.output;
    if (generation < (newest?.generation ?? 0)) return [`generation ${generation}`];
    const isNewest = newest !== undefined && generation === newest.generation;
    const same =
      !isNewest || canonical(description) === canonical(operators.describe(newest.content));
    return same ? [] : [`other content under ${generation}`];
  });
  return verdict(
    'the newest confirmed description is read back',
    faults.length === 0,
    `${reads.length} registries asked for ${newest?.generation ?? 0}: ${faults.length === 0 ? 'all tell it' : faults.join('; ')}`,
  );
};

/** A text that is the same for equal values, whatever the order of members. */
const canonical = (raw: unknown): string =>
  JSON.stringify(raw, (_, value: unknown) =>
    typeof value === 'object' && value !== null && !Array.isArray(value)
      ? Object.fromEntries(Object.entries(value).sort(([one], [two]) => (one < two ? -1 : 1)))
      : value,
  );

/** Plays one seed. */
export const soak = async (plan: Plan, options: SoakOptions): Promise<SoakReport> => {
  const { seed, spanMs, folder, say } = options;
  const chance = new Chance(seed);
  const fleet = await setUp(plan, folder, () => undefined, true);
  try {
    const platform = new Platform(fleet);
    const rate = plan.deployment.perSecond * options.scale;
    const callers = new Callers(plan.deployment, rate, () => platform.ready);
    const troubles = drawTroubles(chance, fleet.machines, spanMs);
    const operators = new Operators(plan, fleet.registries, new Chance(seed + 1));
    await platform.look();
    platform.begin();
    callers.begin();
    const work = operators.work();
    await new TroubleMaker(fleet, say).play(troubles);
    operators.stop();
    await work;
    const confirmed = operators.newest?.generation ?? 0;
    const since = performance.now();
    const settled = await until(settleMs, () => isSettled(fleet, confirmed));
    say(
      `settled ${settled ? '' : 'NOT '}after ${Math.round(performance.now() - since)} ms of calm`,
    );
    const reads = await readBack(fleet);
    await pause(500);
    await callers.finish();
    platform.end();
    const broken = brokenInvariants(folder);
    const verdicts = [
      verdict('invariants', broken.length === 0, broken.join('\n') || 'none was found broken'),
      verdict('in force everywhere', settled, `the newest confirmed generation is ${confirmed}`),
      judgeReads(reads, operators),
      verdict(
        'one answer to one order',
        operators.disagreements.length === 0,
        `${operators.orders.length} orders, ${operators.disagreements.length} with two answers`,
      ),
      ...judgeRuns(callers.seen, await collectRuns(fleet)),
    ];
    say(verdictTable(verdicts));
    return {
      verdicts,
      troubles: troubles.length,
      overlaps: countOverlaps(troubles),
      orders: operators.orders.length,
      confirmed: operators.orders.filter((one) => one.confirmations > 0).length,
    };
  } finally {
    await fleet.stop();
  }
};
