import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toServiceName } from '@switchwheel/types';
import { SimCallers } from '../cast/callers.js';
import { Rules } from '../rules/rules.js';
import { World } from '../world/world.js';

void test('a calm fleet serves everything and goes on doing so for longer than an origin may be silent', () => {
  const world = new World({
    seed: 7,
    edges: 3,
    shields: 3,
    services: [
      { name: toServiceName('clips'), origins: 3, slots: 10, perSecond: undefined },
      { name: toServiceName('acts'), origins: 2, slots: 5, perSecond: 100 },
    ],
  });
  const callers = new SimCallers(world, 60);
  const rules = new Rules(world, callers);
  world.form();
  callers.begin();
  world.run(14_000);
  world.apply(2);
  world.run(4000);
  callers.end();
  world.run(4000);
  assert.deepEqual(rules.finish(), []);
  const failed = callers.asked.filter((one) => one.result?.kind !== 'result');
  assert.deepEqual(
    failed.map((one) => [one.id, one.path, Math.round(one.sentAt), one.result]),
    [],
  );
  assert.ok(callers.asked.length > 500);
});
