/** The rules on unsafe requests and response bodies, checked against the origins' own records. */

import got from 'got';
import * as v from 'valibot';
import { increment } from '@switchwheel/types';
import type { Fleet } from '../fleet/fleet.js';
import type { RequestRecord } from '../load/request-record.js';
import { type RuleResult, untimedResult } from './report.js';

const recordsTimeoutMs = 5000;

const runsReplySchema = v.object({
  ran: v.array(v.tuple([v.string(), v.number()])),
  served: v.number(),
  rejected: v.number(),
  lastRun: v.number(),
  stamps: v.array(v.number()),
});

/** How often each unsafe request ran, by its id, from the records of all origins that are up. */
export const collectRuns = async (fleet: Fleet): Promise<ReadonlyMap<string, number>> => {
  const all = new Map<string, number>();
  for (const origin of fleet.origins) {
    if (!origin.process.isRunning) continue;
    const reply = await got(`http://${origin.controlAddress}/ran`, {
      retry: { limit: 0 },
      timeout: { request: recordsTimeoutMs },
    });
    for (const [id, count] of v.parse(runsReplySchema, JSON.parse(reply.body)).ran)
      increment(all, id, count);
  }
  return all;
};

/** Checks that nothing ran twice, nothing rejected ran, and every body was the origin's. */
export const checkRuns = (
  records: readonly RequestRecord[],
  runs: ReadonlyMap<string, number>,
): readonly RuleResult[] => {
  const ranTwice = [...runs].filter(([, count]) => count > 1);
  const unsafe = records.filter(({ traffic }) => traffic.unsafe);
  const count = (outcome: string): number =>
    unsafe.filter((record) => record.outcome === outcome).length;
  const rejectedButRan = unsafe.filter(
    ({ outcome, id }) => (outcome === 'rejected' || outcome === 'unready') && runs.has(id),
  );
  const confirmedButLost = unsafe.filter(
    ({ outcome, id }) => outcome === 'result' && !runs.has(id),
  );
  const damaged = records.filter(
    ({ bodyMatches, outcome }) => bodyMatches === 'no' && outcome === 'result',
  );
  const readCount = records.filter(({ bodyMatches }) => bodyMatches === 'yes').length;
  return [
    untimedResult(
      'R1 at most once',
      ranTwice.length === 0,
      `${runs.size} unsafe requests ran, ${ranTwice.length} more than once`,
    ),
    untimedResult(
      'R2 refused is unrun',
      rejectedButRan.length === 0,
      `${count('rejected')} told refused, ${rejectedButRan.length} of them ran; ${count('unknown')} told unknown; ${confirmedButLost.length} told done that no origin noted`,
    ),
    untimedResult(
      'R3 whole answers',
      damaged.length === 0 && confirmedButLost.length === 0,
      `${readCount} answers read, ${damaged.length} unlike the origin's`,
    ),
  ];
};
