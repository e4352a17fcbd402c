/** Rules of origins, checked at the end of a run: departures (R6), extra attempts (R8), rate limits (R9), bad releases (R10). */

import type { SimulatedOrigin } from '../processes/origin.js';
import type { FinishedRun } from './finished-run.js';
import { propagationLimitMs } from './limits.js';
import type { ViolationLog } from './violation-log.js';

type OriginAttempt = SimulatedOrigin['attempts'][number];

/** Window over which the rate limit is checked. */
const rateWindowMs = 5000;
/** Seconds of the configured rate that may be sent within that window. */
const rateWindowSeconds = 5.5;
/** Window over which extra attempts are counted. */
const extraWindowMs = 10_000;
/** Number of failures after which a bad release must be rejected, and the time allowed for that. */
const failuresUntilRejected = 50;
const badReleaseLimitMs = 5000;

/** Highest number of the times that lie within one window. */
const maxCountWithin = (times: readonly number[], windowMs: number): number => {
  const sorted = [...times].sort((left, right) => left - right);
  let highestCount = 0;
  let windowStart = 0;
  for (const [index, time] of sorted.entries()) {
    while ((sorted[windowStart] ?? 0) <= time - windowMs) windowStart += 1;
    highestCount = Math.max(highestCount, index - windowStart + 1);
  }
  return highestCount;
};

/** Checks R6, R8, R9 and R10 on the records of the origins. */
export const checkOrigins = (run: FinishedRun): void => {
  const { world, violations } = run;
  for (const origin of world.origins) {
    const departureKnownAt = origin.departureKnownAt;
    if (departureKnownAt === undefined) continue;
    const lateArrivals = origin.arrivalTimes.filter(
      (arrivedAt) => arrivedAt > departureKnownAt + propagationLimitMs,
    );
    if (lateArrivals.length > 0)
      violations.add(
        'R6',
        `${origin.instance} got ${lateArrivals.length} requests up to ${Math.round((lateArrivals.at(-1) ?? 0) - departureKnownAt)} ms after its departure was confirmed`,
      );
  }
  for (const service of world.layout.services) {
    const serviceOrigins = world.origins.filter((instance) => instance.service === service.name);
    if (service.perSecond !== undefined) {
      const highestCount = maxCountWithin(
        serviceOrigins.flatMap((instance) => instance.receiveTimes),
        rateWindowMs,
      );
      if (highestCount > service.perSecond * rateWindowSeconds)
        violations.add(
          'R9',
          `${service.name} was sent ${highestCount} requests and health checks in 5 s, its rate limit is ${service.perSecond} per second`,
        );
    }
    checkExtraAttempts(
      violations,
      service.name,
      serviceOrigins.flatMap((instance) => instance.attempts),
    );
  }
  checkBadReleases(run);
};

/** R8: in any ten seconds, extra attempts are at most 20% of the first attempts, plus 60. */
const checkExtraAttempts = (
  violations: ViolationLog,
  service: string,
  attempts: readonly OriginAttempt[],
): void => {
  const sorted = [...attempts].sort((left, right) => left.at - right.at);
  const seenRequests = new Set<string>();
  const markedAttempts = sorted.map((attempt) => {
    const isExtra = seenRequests.has(attempt.request);
    seenRequests.add(attempt.request);
    return { at: attempt.at, isExtra };
  });
  let windowStart = 0;
  let extraAttempts = 0;
  let firstAttempts = 0;
  for (const attempt of markedAttempts) {
    if (attempt.isExtra) extraAttempts += 1;
    else firstAttempts += 1;
    for (
      let expired = markedAttempts[windowStart];
      expired !== undefined && expired.at <= attempt.at - extraWindowMs;
      expired = markedAttempts[windowStart]
    ) {
      if (expired.isExtra) extraAttempts -= 1;
      else firstAttempts -= 1;
      windowStart += 1;
    }
    if (extraAttempts > firstAttempts / 5 + 60) {
      violations.add(
        'R8',
        `${service}: ${extraAttempts} extra attempts beside ${firstAttempts} first attempts in 10 s, up to ${Math.round(attempt.at)}`,
      );
      return;
    }
  }
};

/** R10: a bad release gets few requests, and none once its rejection is due. */
const checkBadReleases = ({ world, violations, badReleases }: FinishedRun): void => {
  for (const release of badReleases) {
    const releaseOrigins = world.origins.filter((origin) => origin.release === release);
    const service = releaseOrigins[0]?.service;
    const firstArrivalAt = Math.min(...releaseOrigins.flatMap((origin) => origin.arrivalTimes));
    const serviceArrivals = world.origins
      .filter((origin) => origin.service === service)
      .flatMap((origin) => origin.arrivalTimes)
      .filter((arrivedAt) => arrivedAt >= firstArrivalAt).length;
    const releaseArrivals = releaseOrigins.reduce(
      (sum, origin) => sum + origin.arrivalTimes.length,
      0,
    );
    if (releaseArrivals > serviceArrivals / 10 + 55)
      violations.add(
        'R10',
        `the bad release ${release} got ${releaseArrivals} of ${serviceArrivals} requests`,
      );
    const rejectionDueAt = releaseOrigins
      .flatMap((origin) => origin.failureTimes)
      .sort((left, right) => left - right)[failuresUntilRejected - 1];
    if (
      rejectionDueAt !== undefined &&
      releaseOrigins.some((origin) =>
        origin.arrivalTimes.some((arrivedAt) => arrivedAt > rejectionDueAt + badReleaseLimitMs),
      )
    )
      violations.add('R10', `${release} got requests more than 5 s after its 50th failure`);
  }
};
