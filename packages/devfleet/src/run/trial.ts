import got from 'got';
import type { Plan } from '../deployment/schema.js';
import { Platform } from '../fleet/platform.js';
import { type Fleet, pause } from '../fleet/fleet.js';
import { Callers, type Seen } from '../load/callers.js';
import { latencyTable, reasonTable, verdictTable } from '../report/report.js';
import { collectRuns, judgeRuns } from '../report/rules.js';
import type { Cause } from './causes/cause.js';
import type { FullOptions, Report } from './full.js';
import { setUp } from './stage.js';

/** How long the calm before and after a failure is. */
const calmMs = 5000;

/** The longest any process's loop was held up, as the processes tell it. */
const worstLag = async (fleet: Fleet): Promise<string> => {
  let worst = { name: 'none', ms: 0 };
  for (const machine of fleet.machines) {
    for (const address of new Set([
      machine.kind === 'store' ? machine.admin : machine.admin,
      machine.kind === 'edge' ? machine.admin : machine.door,
    ])) {
      const reply = await got(`http://${address}/metrics`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: 1000 },
      }).catch(() => undefined);
      const ms = Number(/loop_lag_worst_ms ([\d.]+)/.exec(reply?.body ?? '')?.[1] ?? 0);
      if (ms > worst.ms)
        worst = {
          name: `${machine.name}${address === machine.door && machine.kind !== 'edge' ? '-registry' : ''}`,
          ms,
        };
    }
  }
  return `${worst.ms.toFixed(0)} ms (${worst.name})`;
};

/** Gaps: times in which no request that was sent got a result. */
const longestGap = (seen: readonly Seen[]): number => {
  const good = seen
    .filter((one) => one.kind === 'result')
    .map((one) => one.at + one.ms)
    .sort((one, two) => one - two);
  let gap = 0;
  for (let at = 1; at < good.length; at += 1)
    gap = Math.max(gap, (good[at] ?? 0) - (good[at - 1] ?? 0));
  return gap;
};

/** Causes one failure under load on real processes and tells what callers saw before and during it. */
export const runTrial = async (
  plan: Plan,
  name: string,
  cause: Cause,
  options: FullOptions,
): Promise<Report> => {
  const { say } = options;
  const fleet = await setUp(plan, options.folder, () => undefined, true);
  try {
    const platform = new Platform(fleet);
    const callers = new Callers(
      plan.deployment,
      plan.deployment.perSecond * options.scale,
      () => platform.ready,
    );
    await platform.look();
    platform.begin();
    callers.begin();
    await pause(calmMs);
    const lagBefore = await worstLag(fleet);
    const from = performance.now();
    const own = await cause({ fleet, plan, folder: options.folder, say, callers });
    await pause(calmMs);
    await callers.finish();
    platform.end();
    const before = callers.seen.filter((one) => one.at < from);
    const during = callers.seen.filter((one) => one.at >= from);
    say(`${name} at ${plan.deployment.name}, before:`);
    say(latencyTable(plan.deployment, before));
    say('from the failure on:');
    say(latencyTable(plan.deployment, during));
    say(reasonTable(during));
    say(
      `longest time without any result ${Math.round(longestGap(during))} ms (before ${Math.round(longestGap(before))} ms); worst loop lag before ${lagBefore}, after ${await worstLag(fleet)}`,
    );
    const verdicts = [...own, ...judgeRuns(callers.seen, await collectRuns(fleet))];
    say(verdictTable(verdicts));
    return { seen: callers.seen, verdicts };
  } finally {
    await fleet.stop();
  }
};
