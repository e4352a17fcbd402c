import got from 'got';
import * as v from 'valibot';
import { increment } from '@switchwheel/types';
import type { Fleet } from '../fleet/fleet.js';
import type { RequestRecord } from '../load/load-generator.js';
import type { RuleResult } from './report.js';

const runsReplySchema = v.object({
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
    if (!origin.process.isRunning) continue;
    const reply = await got(`http://${origin.controlAddress}/ran`, {
      retry: { limit: 0 },
      timeout: { request: 5000 },
    });
    for (const [id, many] of v.parse(runsReplySchema, JSON.parse(reply.body)).ran)
      increment(all, id, many);
  }
  return all;
};

/** Checks the rules about what ran and what callers were told, against the origins' own notes. */
export const checkRuns = (
  records: readonly RequestRecord[],
  runs: ReadonlyMap<string, number>,
): readonly RuleResult[] => {
  const twice = [...runs].filter(([, many]) => many > 1);
  const unsafe = records.filter((one) => one.traffic.unsafe);
  const refused = unsafe.filter(
    (one) => (one.outcome === 'rejected' || one.outcome === 'unready') && runs.has(one.id),
  );
  const lostDone = unsafe.filter((one) => one.outcome === 'result' && !runs.has(one.id));
  const torn = records.filter((one) => one.bodyMatches === 'no' && one.outcome === 'result');
  return [
    {
      isTimed: false,
      rule: 'R1 at most once',
      isHeld: twice.length === 0,
      text: `${runs.size} unsafe requests ran, ${twice.length} more than once`,
    },
    {
      isTimed: false,
      rule: 'R2 refused is unrun',
      isHeld: refused.length === 0,
      text: `${unsafe.filter((one) => one.outcome === 'rejected').length} told refused, ${refused.length} of them ran; ${unsafe.filter((one) => one.outcome === 'unknown').length} told unknown; ${lostDone.length} told done that no origin noted`,
    },
    {
      isTimed: false,
      rule: 'R3 whole answers',
      isHeld: torn.length === 0 && lostDone.length === 0,
      text: `${records.filter((one) => one.bodyMatches === 'yes').length} answers read, ${torn.length} unlike the origin's`,
    },
  ];
};
