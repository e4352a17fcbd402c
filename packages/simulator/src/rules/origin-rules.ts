/** Rules of origins over a whole run: departures (R6), extra attempts (R8), rate limits (R9), bad releases (R10). */

import type { SimulatedOrigin } from '../processes/origin.js';
import type { FinishedRun } from './finished-run.js';
import { propagationLimitMs } from './limits.js';
import type { ViolationLog } from './violation-log.js';

type OriginAttempt = SimulatedOrigin['attempts'][number];

/** The window over which a rate limit is judged. */
const rateWindowMs = 5000;
/** For how many seconds' worth of its rate a service may be sent requests in that window. */
const rateWindowSeconds = 5.5;
/** The window over which extra attempts are judged. */
const extraWindowMs = 10_000;
/** Attempts of a bad release after which it must be known as bad, and how long that may take. */
const failuresUntilBad = 50;
const badReleaseLimitMs = 5000;

/** The most of these times that lie in any one window. */
const maxCountWithin = (times: readonly number[], windowMs: number): number => {
  const sorted = [...times].sort((one, two) => one - two);
  let most = 0;
  let first = 0;
  for (const [at, time] of sorted.entries()) {
    while ((sorted[first] ?? 0) <= time - windowMs) first += 1;
    most = Math.max(most, at - first + 1);
  }
  return most;
};

/** R6, R8, R9, R10 from the origins' own records. */
export const checkOrigins = (run: FinishedRun): void => {
  const { world, violations } = run;
  for (const origin of world.origins) {
    const departureKnownAt = origin.departureKnownAt;
    if (departureKnownAt === undefined) continue;
    const late = origin.arrivalTimes.filter((at) => at > departureKnownAt + propagationLimitMs);
    if (late.length > 0)
      violations.add(
        'R6',
        `${origin.instance} got ${late.length} requests up to ${Math.round((late.at(-1) ?? 0) - departureKnownAt)} ms after it was known to leave`,
      );
  }
  for (const service of world.layout.services) {
    const own = world.origins.filter((one) => one.service === service.name);
    if (service.perSecond !== undefined) {
      const most = maxCountWithin(
        own.flatMap((one) => one.receiveTimes),
        rateWindowMs,
      );
      if (most > service.perSecond * rateWindowSeconds)
        violations.add(
          'R9',
          `${service.name} was sent ${most} in 5 s, its ceiling is ${service.perSecond} a second`,
        );
    }
    checkExtraAttempts(
      violations,
      service.name,
      own.flatMap((one) => one.attempts),
    );
  }
  checkReleases(run);
};

/** In any ten seconds, tries beyond the first are at most a fifth of the traffic and sixty. */
const checkExtraAttempts = (
  violations: ViolationLog,
  service: string,
  attempts: readonly OriginAttempt[],
): void => {
  const sorted = [...attempts].sort((one, two) => one.at - two.at);
  const seen = new Set<string>();
  const rows = sorted.map((one) => {
    const extra = seen.has(one.request);
    seen.add(one.request);
    return { at: one.at, extra };
  });
  let first = 0;
  let extra = 0;
  let traffic = 0;
  for (const row of rows) {
    if (row.extra) extra += 1;
    else traffic += 1;
    for (
      let old = rows[first];
      old !== undefined && old.at <= row.at - extraWindowMs;
      old = rows[first]
    ) {
      if (old.extra) extra -= 1;
      else traffic -= 1;
      first += 1;
    }
    if (extra > traffic / 5 + 60) {
      violations.add(
        'R8',
        `${service}: ${extra} extra tries beside ${traffic} in ten seconds, up to ${Math.round(row.at)}`,
      );
      return;
    }
  }
};

/** R10: a bad release gets few requests, and none soon after it was found bad. */
const checkReleases = ({ world, violations, badReleases }: FinishedRun): void => {
  for (const release of badReleases) {
    const own = world.origins.filter((one) => one.release === release);
    const service = own[0]?.service;
    const first = Math.min(...own.flatMap((one) => one.arrivalTimes));
    const all = world.origins
      .filter((one) => one.service === service)
      .flatMap((one) => one.arrivalTimes)
      .filter((at) => at >= first).length;
    const got = own.reduce((sum, one) => sum + one.arrivalTimes.length, 0);
    if (got > all / 10 + 55)
      violations.add('R10', `the bad release ${release} got ${got} of ${all} requests`);
    const bad = own.flatMap((one) => one.failureTimes).sort((left, right) => left - right)[
      failuresUntilBad - 1
    ];
    if (
      bad !== undefined &&
      own.some((one) => one.arrivalTimes.some((at) => at > bad + badReleaseLimitMs))
    )
      violations.add('R10', `${release} got requests more than 5 s after its fiftieth bad answer`);
  }
};
