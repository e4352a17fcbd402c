/** What the clients of an edge get when far more requests come than its origins can take. */

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readDeploymentPlan } from '../deployment/schema.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { collectRuns } from '../report/rules.js';
import { errorKindOf, sendToEdge } from './edge-request.test-support.js';
import { startFleet } from './fleet-setup.js';

const planFile = fileURLToPath(
  new URL('../../../../examples/mallgyeol/devfleet.json', import.meta.url),
);
const folder = mkdtempSync(join(tmpdir(), 'devfleet-'));
let fleet: Fleet;
let edge: Machine;

before(async () => {
  const read = readDeploymentPlan(planFile);
  assert.ok(read.isOk);
  const deployment = { ...read.value.deployment, edges: 1, shields: 1 };
  fleet = await startFleet({ ...read.value, deployment }, folder, () => undefined);
  const first = fleet.edges[0];
  assert.ok(first !== undefined);
  edge = first;
});
after(async () => {
  await fleet.stop();
  rmSync(folder, { recursive: true, force: true });
});

void test('under overload requests are rejected with a time to retry, and nothing rejected ran', async () => {
  const answers = await Promise.all(
    Array.from({ length: 900 }, (_, at) =>
      sendToEdge(edge, `/consent/${at}`, {
        method: 'POST',
        body: 'x',
        headers: { 'x-request-id': `flood-${at}` },
      }),
    ),
  );
  const rejected = answers.flatMap((one, at) => (one.statusCode === 503 ? [{ one, at }] : []));
  assert.ok(rejected.length > 0 && answers.some((one) => one.statusCode === 200));
  assert.ok(
    rejected.every(
      ({ one }) =>
        errorKindOf(one.rawBody) === 'rejected' && Number(one.headers['retry-after']) >= 1,
    ),
  );
  const ran = await collectRuns(fleet);
  assert.deepEqual(
    rejected.filter(({ at }) => ran.has(`flood-${at}`)),
    [],
  );
  assert.ok([...ran.values()].every((many) => many === 1));
});
