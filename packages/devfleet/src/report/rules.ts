import got from 'got';
import * as v from 'valibot';
import { increment } from '@switchwheel/types';
import type { Fleet } from '../fleet/fleet.js';
import type { Seen } from '../load/callers.js';
import type { Verdict } from './report.js';

const ranForm = v.object({
  ran: v.array(v.tuple([v.string(), v.number()])),
  served: v.number(),
  rejected: v.number(),
  lastRun: v.number(),
  stamps: v.array(v.number()),
});

/** What all origins wrote down of the unsafe requests they ran. */
export const collectRuns = async (fleet: Fleet): Promise<ReadonlyMap<string, number>> => {
  const all = new Map<string, number>();
  for (const origin of fleet.origins) {
    if (!origin.child.running) continue;
    const reply = await got(`http://${origin.control}/ran`, {
      retry: { limit: 0 },
      timeout: { request: 5000 },
    });
    for (const [id, many] of v.parse(ranForm, JSON.parse(reply.body)).ran) increment(all, id, many);
  }
  return all;
};

/** Checks the rules about what ran and what callers were told, against the origins' own notes. */
export const judgeRuns = (
  seen: readonly Seen[],
  runs: ReadonlyMap<string, number>,
): readonly Verdict[] => {
  const twice = [...runs].filter(([, many]) => many > 1);
  const unsafe = seen.filter((one) => one.traffic.unsafe);
  const refused = unsafe.filter(
    (one) => (one.kind === 'rejected' || one.kind === 'unready') && runs.has(one.id),
  );
  const lostDone = unsafe.filter((one) => one.kind === 'result' && !runs.has(one.id));
  const torn = seen.filter((one) => one.whole === 'no' && one.kind === 'result');
  return [
    {
      timed: false,
      rule: 'R1 at most once',
      held: twice.length === 0,
      text: `${runs.size} unsafe requests ran, ${twice.length} more than once`,
    },
    {
      timed: false,
      rule: 'R2 refused is unrun',
      held: refused.length === 0,
      text: `${unsafe.filter((one) => one.kind === 'rejected').length} told refused, ${refused.length} of them ran; ${unsafe.filter((one) => one.kind === 'unknown').length} told unknown; ${lostDone.length} told done that no origin noted`,
    },
    {
      timed: false,
      rule: 'R3 whole answers',
      held: torn.length === 0 && lostDone.length === 0,
      text: `${seen.filter((one) => one.whole === 'yes').length} answers read, ${torn.length} unlike the origin's`,
    },
  ];
};
