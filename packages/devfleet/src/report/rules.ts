/** Rules on unsafe requests and response bodies, checked against the origins' records. */

import got from 'got';
import * as v from 'valibot';
import { increment } from '@switchwheel/types';
import type { Fleet } from '../fleet/fleet.js';
import type { RequestRecord } from '../load/request-record.js';
import { type RuleResult, untimedResult } from './report.js';

const runsTimeoutMs = 5000;

const runsReplySchema = v.object({
  ran: v.array(v.tuple([v.string(), v.number()])),
  served: v.number(),
  rejected: v.number(),
  lastRun: v.number(),
  stamps: v.array(v.number()),
});

/** Collects how often each unsafe request ran, by request id, from all running origins. */
export const collectRuns = async (fleet: Fleet): Promise<ReadonlyMap<string, number>> => {
  const runs = new Map<string, number>();
  for (const origin of fleet.origins) {
    if (!origin.process.isRunning) continue;
    const reply = await got(`http://${origin.controlAddress}/ran`, {
      retry: { limit: 0 },
      timeout: { request: runsTimeoutMs },
    });
    for (const [id, count] of v.parse(runsReplySchema, JSON.parse(reply.body)).ran)
      increment(runs, id, count);
  }
  return runs;
};

/** Checks that no unsafe request ran twice, no rejected one ran, and every body equals the origin's. */
export const checkRuns = (
  records: readonly RequestRecord[],
  runs: ReadonlyMap<string, number>,
): readonly RuleResult[] => {
  const repeated = [...runs].filter(([, count]) => count > 1);
  const unsafe = records.filter(({ traffic }) => traffic.unsafe);
  const count = (outcome: string): number =>
    unsafe.filter((record) => record.outcome === outcome).length;
  const rejectedButRan = unsafe.filter(
    ({ outcome, id }) => (outcome === 'rejected' || outcome === 'unready') && runs.has(id),
  );
  const confirmedButLost = unsafe.filter(
    ({ outcome, id }) => outcome === 'result' && !runs.has(id),
  );
  const differing = records.filter(
    ({ bodyMatches, outcome }) => bodyMatches === 'no' && outcome === 'result',
  );
  const matchingCount = records.filter(({ bodyMatches }) => bodyMatches === 'yes').length;
  return [
    untimedResult(
      'R1 unsafe requests run at most once',
      repeated.length === 0,
      `${runs.size} unsafe requests ran, ${repeated.length} more than once`,
    ),
    untimedResult(
      'R2 rejected requests do not run',
      rejectedButRan.length === 0,
      `${count('rejected')} unsafe requests rejected, ${rejectedButRan.length} rejected or unready ones ran; ${count('unknown')} with unknown outcome; ${confirmedButLost.length} confirmed but not recorded by an origin`,
    ),
    untimedResult(
      'R3 responses match the origin',
      differing.length === 0 && confirmedButLost.length === 0,
      `${matchingCount} response bodies match the origin's, ${differing.length} differ`,
    ),
  ];
};
