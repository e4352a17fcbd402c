/** The short form of the soak: one seed, a few seconds of overlapping troubles on real processes. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readPlan } from '../deployment/schema.js';
import { soak } from './soak.js';

const folder = mkdtempSync(join(tmpdir(), 'soak-'));
process.on('exit', () => rmSync(folder, { recursive: true, force: true }));

void test('real processes under overlapping kills, pauses, cuts, lost answers and racing orders: invariants hold, and what was confirmed is in force after', async () => {
  const read = readPlan(
    fileURLToPath(new URL('../../../../examples/carpatic/devfleet.json', import.meta.url)),
  );
  assert.ok(read.isOk);
  const plan = { ...read.value, deployment: { ...read.value.deployment, edges: 2, shields: 3 } };
  const lines: string[] = [];
  const report = await soak(plan, {
    seed: 20,
    spanMs: 12_000,
    scale: 0.1,
    folder,
    say: (text) => lines.push(text),
  });
  const broken = report.verdicts.filter((one) => !one.held && !one.timed);
  assert.deepEqual(broken, [], lines.join('\n'));
  assert.ok(
    report.overlaps >= 3 && report.confirmed >= 3,
    JSON.stringify({ ...report, verdicts: [] }),
  );
});
