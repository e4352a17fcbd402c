import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readPlan } from '../deployment/schema.js';
import { causes, inRow } from './causes.js';
import { runTrial } from './trial.js';

const folder = mkdtempSync(join(tmpdir(), 'causes-'));
process.on('exit', () => rmSync(folder, { recursive: true, force: true }));

void test("real processes through cuts, ailing and lost disks, swapped registries and quarrelling operators: the origins' notes agree with what callers were told", async () => {
  const read = readPlan(
    fileURLToPath(new URL('../../../../examples/carpatic/devfleet.json', import.meta.url)),
  );
  assert.ok(read.isOk);
  const plan = { ...read.value, deployment: { ...read.value.deployment, edges: 2, shields: 3 } };
  const lines: string[] = [];
  const names = [
    'collide',
    'invalid-configuration',
    'full-disk',
    'stalled-disk',
    'lose-power',
    'lose-disk',
    'isolate-keeper',
    'deaf-keeper',
    'split-core',
    'swap-registries',
    'reuse-address',
  ];
  assert.deepEqual(
    names.filter((one) => !causes.has(one)),
    [],
  );
  const report = await runTrial(plan, 'a row of causes', inRow(names), {
    seconds: 10,
    scale: 0.1,
    folder,
    say: (text) => lines.push(text),
  });
  assert.deepEqual(
    report.verdicts.filter((one) => !one.held && !one.timed),
    [],
    lines.join('\n'),
  );
  assert.ok(
    report.verdicts.length >= 11 && report.seen.filter((one) => one.kind === 'result').length > 500,
  );
});
