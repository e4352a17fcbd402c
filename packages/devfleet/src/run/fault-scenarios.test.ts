import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readDeploymentPlan } from '../deployment/schema.js';
import { faultScenarios, inSequence } from './fault-scenarios.js';
import { runFaultScenario } from './fault-run.js';

const folder = mkdtempSync(join(tmpdir(), 'causes-'));
process.on('exit', () => rmSync(folder, { recursive: true, force: true }));

void test("real processes through cuts, ailing and lost disks, swapped registries and quarrelling operators: the origins' notes agree with what callers were told", async () => {
  const read = readDeploymentPlan(
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
    names.filter((one) => !faultScenarios.has(one)),
    [],
  );
  const report = await runFaultScenario(plan, 'a row of causes', inSequence(names), {
    seconds: 10,
    loadScale: 0.1,
    folder,
    print: (text) => lines.push(text),
  });
  assert.deepEqual(
    report.ruleResults.filter((one) => !one.isHeld && !one.isTimed),
    [],
    lines.join('\n'),
  );
  assert.ok(
    report.ruleResults.length >= 11 &&
      report.records.filter((one) => one.outcome === 'result').length > 500,
  );
});
