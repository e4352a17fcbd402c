/** The short form of the soak: one seed, a few seconds of overlapping troubles on real processes. */
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

void test('real processes under overlapping kills, pauses, cuts, lost answers and racing orders: invariants hold, and what was confirmed is in force after', async () => {
  const read = readDeploymentPlan(
    fileURLToPath(new URL('../../../../examples/carpatic/devfleet.json', import.meta.url)),
  );
  assert.ok(read.isOk);
  const plan = { ...read.value, deployment: { ...read.value.deployment, edges: 2, shields: 3 } };
  const lines: string[] = [];
  const report = await runSoak(plan, {
    seed: 20,
    faultsDurationMs: 12_000,
    loadScale: 0.1,
    folder,
    print: (text) => lines.push(text),
  });
  const broken = report.ruleResults.filter((one) => !one.isHeld && !one.isTimed);
  assert.deepEqual(broken, [], lines.join('\n'));
  assert.ok(
    report.overlapCount >= 3 && report.confirmedCount >= 3,
    JSON.stringify({ ...report, ruleResults: [] }),
  );
});
