/** The shares of all edges together keep the limits. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Timestamp, toTimestamp, toServiceName } from '@switchwheel/types';
import type { Service } from '@switchwheel/configuration';
import { defaultEdgeLimits } from '../router/ports.js';
import { EdgeCount, QuotaShare } from './quota-share.js';

const name = toServiceName('clips');
const service = (perSecond: number): Service => ({
  name,
  perSecond,
  probe: { path: '/health', everyMs: 500 },
  waitlist: 256,
});
const stepMs = 20;

interface Node {
  edges: EdgeCount;
  quota: QuotaShare;
}
const start = (many: number, now: Timestamp): Node => {
  const edges = new EdgeCount();
  edges.record(many, now);
  return { edges, quota: new QuotaShare(defaultEdgeLimits, edges) };
};

/** The most that falls into any window. */
const worst = (times: readonly number[], windowMs: number): number => {
  let most = 0;
  let first = 0;
  times.forEach((at, last) => {
    while (at - (times[first] ?? 0) >= windowMs) first += 1;
    most = Math.max(most, last - first + 1);
  });
  return most;
};

const fleet = fc.record({
  many: fc.integer({ min: 1, max: 14 }),
  perStep: fc.integer({ min: 1, max: 12 }),
  restarts: fc.array(fc.integer({ min: 0, max: 999 }), { maxLength: 6 }),
  seed: fc.integer({ min: 1, max: 1e6 }),
});

void test('the extra legs of all edges together keep the rule in every window, whoever restarts', () => {
  fc.assert(
    fc.property(fleet, ({ many, perStep, restarts, seed }) => {
      const nodes = Array.from({ length: many }, () => start(many, toTimestamp(0)));
      const asked: number[] = [];
      const extra: number[] = [];
      for (let step = 0; step < 1000; step += 1) {
        const now = toTimestamp(step * stepMs);
        if (restarts.includes(step)) nodes[step % many] = start(many, now);
        for (let one = 0; one < perStep; one += 1) {
          const node = nodes[(step * 7 + one * seed) % many];
          node?.quota.recordRequest(name, now);
          asked.push(now);
          while (node?.quota.takeExtraAttempt(name, now) === true) extra.push(now);
        }
      }
      const { extraAttemptWindowMs, extraAttemptRatio, extraAttemptSlack } = defaultEdgeLimits;
      let first = 0;
      let from = 0;
      extra.forEach((at, last) => {
        while (at - (extra[first] ?? 0) >= extraAttemptWindowMs) first += 1;
        while ((asked[from] ?? 0) <= at - extraAttemptWindowMs) from += 1;
        let to = from;
        while (to < asked.length && (asked[to] ?? 0) <= at) to += 1;
        assert.ok(
          last - first + 1 <= extraAttemptRatio * (to - from) + extraAttemptSlack,
          'within a share of the requests and the slack',
        );
      });
    }),
    { seed: 11, numRuns: 40 },
  );
});

void test('what all edges send together keeps the ceiling in every window, whoever restarts', () => {
  fc.assert(
    fc.property(fleet, fc.integer({ min: 5, max: 900 }), ({ many, restarts }, perSecond) => {
      const nodes = Array.from({ length: many }, () => start(many, toTimestamp(0)));
      const sent: number[] = [];
      for (let step = 0; step < 800; step += 1) {
        const now = toTimestamp(step * stepMs);
        if (restarts.includes(step)) nodes[step % many] = start(many, now);
        for (const node of nodes)
          while (node.quota.takeOrWaitMs(service(perSecond), now) === 0) sent.push(now);
      }
      const { rateLimitWindowMs, rateLimitOverageFactor } = defaultEdgeLimits;
      const most = (perSecond * rateLimitWindowMs * rateLimitOverageFactor) / 1000 + 5;
      assert.ok(
        worst(sent, rateLimitWindowMs) <= most + Math.max(0, many - perSecond),
        `${worst(sent, rateLimitWindowMs)} of ${most}`,
      );
      // And the rate is used: what is asked for all the time is sent nearly at the rate.
      assert.ok(
        sent.length >= 0.9 * perSecond * 15 - many * 2,
        'the quota is no smaller than it must be',
      );
    }),
    { seed: 12, numRuns: 40 },
  );
});

void test('an edge counts the most edges it saw of late: those that are no longer seen may still use their part', () => {
  const edges = new EdgeCount();
  edges.record(10, toTimestamp(0));
  edges.record(3, toTimestamp(1000));
  assert.equal(edges.count, 10);
  edges.record(4, toTimestamp(40_000));
  assert.equal(edges.count, 4);
});
