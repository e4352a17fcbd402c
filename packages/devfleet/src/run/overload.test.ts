/** Guards against rejected requests that ran anyway when an edge gets far more requests than its origins can process. */

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
  const planResult = readDeploymentPlan(planFile);
  assert.ok(planResult.isOk);
  const deployment = { ...planResult.value.deployment, edges: 1, shields: 1 };
  fleet = await startFleet({ ...planResult.value, deployment }, folder, () => undefined);
  const first = fleet.edges[0];
  assert.ok(first !== undefined);
  edge = first;
});
after(async () => {
  await fleet.stop();
  rmSync(folder, { recursive: true, force: true });
});

void test('under overload, excess requests are rejected with Retry-After and none of them runs', async () => {
  const replies = await Promise.all(
    Array.from({ length: 900 }, (_, index) =>
      sendToEdge(edge, `/consent/${index}`, {
        method: 'POST',
        body: 'x',
        headers: { 'x-request-id': `flood-${index}` },
      }),
    ),
  );
  const refused = replies.flatMap((reply, id) => (reply.statusCode === 503 ? [{ reply, id }] : []));
  assert.ok(refused.length > 0 && replies.some((reply) => reply.statusCode === 200));
  assert.ok(
    refused.every(
      ({ reply }) =>
        errorKindOf(reply.rawBody) === 'rejected' && Number(reply.headers['retry-after']) >= 1,
    ),
  );
  const runs = await collectRuns(fleet);
  assert.deepEqual(
    refused.filter(({ id }) => runs.has(`flood-${id}`)),
    [],
  );
  assert.ok([...runs.values()].every((count) => count === 1));
});
