import got from 'got';
import * as v from 'valibot';
import { increment } from '@switchwheel/types';
import type { Plan } from '../deployment/schema.js';
import { type Fleet, pause, until } from '../fleet/fleet.js';
import { Callers, type Seen } from '../load/callers.js';
import { type Verdict, latencyTable, reasonTable, verdictTable } from '../report/report.js';
import { collectRuns, judgeRuns } from '../report/rules.js';
import { operate } from './cli.js';
import { changed, lookAt, patience, setUp } from './stage.js';

export interface FullOptions {
  readonly seconds: number;
  readonly scale: number;
  readonly folder: string;
  readonly say: (text: string) => void;
}

const accepted = v.object({ generation: v.optional(v.number()), purge: v.optional(v.number()) });

/** Applies a generation and tells how long until every node in touch had it in force. */
const applyNow = async (
  fleet: Fleet,
  file: string,
  say: (text: string) => void,
): Promise<Verdict> => {
  const done = await operate(fleet.registries, ['apply', file, '--wait', '0', '--json']);
  const at = performance.now();
  if (done.code !== 0)
    return {
      timed: false,
      rule: 'R4 in force within 2 s',
      held: false,
      text: `not accepted: ${done.out}${done.fault}`,
    };
  const generation = v.parse(accepted, JSON.parse(done.out)).generation ?? 0;
  const spread = await until(patience, async () => {
    const view = await lookAt(fleet);
    const nodes =
      view?.nodes.filter((one) => one.open && (one.role === 'edge' || one.role === 'shield')) ?? [];
    return nodes.length > 0 && nodes.every((one) => one.generation >= generation);
  });
  const span = Math.round(performance.now() - at);
  say(`generation ${generation} in force everywhere ${span} ms after it was accepted`);
  return {
    timed: spread,
    rule: 'R4 in force within 2 s',
    held: spread && span <= 2000,
    text: `generation ${generation}: ${span} ms after the answer`,
  };
};

/** Changes objects at the origins, purges them, and tells which rule to hold callers' reads to. */
const purgeNow = async (
  fleet: Fleet,
  plan: Plan,
): Promise<{ readonly at: number; readonly prefix: string; readonly code: number }> => {
  const traffic = plan.deployment.traffic.find((one) => one.tagged) ?? plan.deployment.traffic[0];
  const prefix = traffic?.prefix ?? '/';
  for (const origin of fleet.origins)
    await got.post(`http://${origin.control}/revision`, {
      json: { path: '*', revision: 1 },
      retry: { limit: 0 },
    });
  const tags = Array.from({ length: 20 }, (_, at) => ['--tag', `t${at}`]).flat();
  const done = await operate(fleet.registries, ['purge', ...tags]);
  return { at: performance.now(), prefix, code: done.code };
};

/** What a run came to. */
export interface Report {
  readonly seen: readonly Seen[];
  readonly verdicts: readonly Verdict[];
}

/** The main job: a whole deployment under its load, with a new generation and a purge meanwhile, every rule checked. */
export const runFull = async (plan: Plan, options: FullOptions): Promise<Report> => {
  const { say } = options;
  say(
    `${plan.deployment.name}: ${plan.deployment.edges} edges, ${plan.deployment.shields} shields, ${plan.deployment.stores} stores; ${Math.round(plan.deployment.perSecond * options.scale)} requests a second for ${options.seconds} s`,
  );
  const fleet = await setUp(plan, options.folder, say);
  try {
    const callers = new Callers(
      plan.deployment,
      plan.deployment.perSecond * options.scale,
      () => fleet.edges,
    );
    const begun = performance.now();
    callers.begin();
    await pause(options.seconds * 300);
    const verdicts: Verdict[] = [
      await applyNow(fleet, changed(plan, options.folder, 'second.json', 300), say),
    ];
    await pause(options.seconds * 200);
    const purge = await purgeNow(fleet, plan);
    await pause(Math.max(0, options.seconds * 1000 - (performance.now() - begun)));
    await callers.finish();
    const stale = callers.seen.filter(
      (one) => one.path.startsWith(purge.prefix) && one.at > purge.at + 2000 && one.revision === 0,
    );
    verdicts.push({
      timed: purge.code === 0,
      rule: 'R7 purged is not served 2 s on',
      held: purge.code === 0 && stale.length === 0,
      text: `${callers.seen.filter((one) => one.path.startsWith(purge.prefix) && one.at > purge.at + 2000).length} reads more than 2 s after the purge, ${stale.length} of the old revision`,
    });
    verdicts.push(...judgeRuns(callers.seen, await collectRuns(fleet)));
    say(latencyTable(plan.deployment, callers.seen));
    const froms = new Map<string, number>();
    for (const one of callers.seen) increment(froms, one.from === '' ? '-' : one.from);
    say(
      `${callers.seen.length} requests; told by ${[...froms].map(([from, many]) => `${from} ${many}`).join(', ')}`,
    );
    say(reasonTable(callers.seen));
    say(verdictTable(verdicts));
    return { seen: callers.seen, verdicts };
  } finally {
    await fleet.stop();
  }
};
