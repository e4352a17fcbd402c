/** A fleet without faults serves every request. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toServiceName } from '@switchwheel/types';
import { SimulatedCallers } from '../processes/callers.js';
import { RuleChecker } from '../rules/rule-checker.js';
import { World } from '../world/world.js';

void test('a fleet without faults serves every request for longer than the origin timeout', () => {
  const world = new World({
    seed: 7,
    edges: 3,
    shields: 3,
    services: [
      { name: toServiceName('clips'), origins: 3, slots: 10, perSecond: undefined },
      { name: toServiceName('acts'), origins: 2, slots: 5, perSecond: 100 },
    ],
  });
  const callers = new SimulatedCallers(world, 60);
  const ruleChecker = new RuleChecker(world, callers);
  world.bootstrap();
  callers.start();
  world.runFor(14_000);
  world.apply(2);
  world.runFor(4000);
  callers.stop();
  world.runFor(4000);
  assert.deepEqual(ruleChecker.finish(), []);
  const failed = callers.requests.filter((request) => request.result?.kind !== 'result');
  assert.deepEqual(
    failed.map((request) => [request.id, request.path, Math.round(request.sentAt), request.result]),
    [],
  );
  assert.ok(callers.requests.length > 500);
});
