/** Short soak of one seed: guards against broken invariants and lost configurations under overlapping faults. */

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readDeploymentPlan } from '../deployment/schema.js';
import { runSoak } from './soak.js';

const folder = mkdtempSync(join(tmpdir(), 'soak-'));
process.on('exit', () => rmSync(folder, { recursive: true, force: true }));

void test('invariants hold and confirmed configurations take effect under overlapping faults, lost replies and concurrent commands', async () => {
  const planResult = readDeploymentPlan(
    fileURLToPath(new URL('../../../../examples/carpatic/devfleet.json', import.meta.url)),
  );
  assert.ok(planResult.isOk);
  const plan = {
    ...planResult.value,
    deployment: { ...planResult.value.deployment, edges: 2, shields: 3 },
  };
  const lines: string[] = [];
  const report = await runSoak(plan, {
    seed: 20,
    faultsDurationMs: 12_000,
    loadScale: 0.1,
    folder,
    print: (text) => lines.push(text),
  });
  const brokenResults = report.ruleResults.filter((result) => !result.isHeld && !result.isTimed);
  assert.deepEqual(brokenResults, [], lines.join('\n'));
  assert.ok(
    report.overlapCount >= 3 && report.confirmedCount >= 3,
    JSON.stringify({ ...report, ruleResults: [] }),
  );
});
