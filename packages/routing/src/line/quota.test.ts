import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Timestamp, toTimestamp, toServiceName } from '@switchwheel/types';
import type { Service } from '@switchwheel/configuration';
import { plainBounds } from './port.js';
import { Edges, Quota } from './quota.js';

const name = toServiceName('clips');
const service = (perSecond: number): Service => ({
  name,
  perSecond,
  probe: { path: '/health', everyMs: 500 },
  waitlist: 256,
});
const stepMs = 20;

interface Node {
  edges: Edges;
  quota: Quota;
}
const start = (many: number, now: Timestamp): Node => {
  const edges = new Edges();
  edges.note(many, now);
  return { edges, quota: new Quota(plainBounds, edges) };
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
          node?.quota.asked(name, now);
          asked.push(now);
          while (node?.quota.extra(name, now) === true) extra.push(now);
        }
      }
      const { extraWindowMs, extraShare, extraSlack } = plainBounds;
      let first = 0;
      let from = 0;
      extra.forEach((at, last) => {
        while (at - (extra[first] ?? 0) >= extraWindowMs) first += 1;
        while ((asked[from] ?? 0) <= at - extraWindowMs) from += 1;
        let to = from;
        while (to < asked.length && (asked[to] ?? 0) <= at) to += 1;
        assert.ok(
          last - first + 1 <= extraShare * (to - from) + extraSlack,
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
          while (node.quota.wait(service(perSecond), now) === 0) sent.push(now);
      }
      const { ceilingWindowMs, ceilingOver } = plainBounds;
      const most = (perSecond * ceilingWindowMs * ceilingOver) / 1000 + 5;
      assert.ok(
        worst(sent, ceilingWindowMs) <= most + Math.max(0, many - perSecond),
        `${worst(sent, ceilingWindowMs)} of ${most}`,
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
  const edges = new Edges();
  edges.note(10, toTimestamp(0));
  edges.note(3, toTimestamp(1000));
  assert.equal(edges.many, 10);
  edges.note(4, toTimestamp(40_000));
  assert.equal(edges.many, 4);
});
