/** Guards against lost, repeated or altered requests and configurations during a sequence of fault scenarios. */

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readDeploymentPlan } from '../deployment/schema.js';
import { faultScenarios, inSequence } from './fault-scenarios.js';
import { runFaultScenario } from './fault-run.js';

const folder = mkdtempSync(join(tmpdir(), 'devfleet-faults-'));
process.on('exit', () => rmSync(folder, { recursive: true, force: true }));

void test('rules hold through network partitions, failing and lost disks, replaced registries and conflicting commands', async () => {
  const planResult = readDeploymentPlan(
    fileURLToPath(new URL('../../../../examples/carpatic/devfleet.json', import.meta.url)),
  );
  assert.ok(planResult.isOk);
  const plan = {
    ...planResult.value,
    deployment: { ...planResult.value.deployment, edges: 2, shields: 3 },
  };
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
    names.filter((name) => !faultScenarios.has(name)),
    [],
  );
  const report = await runFaultScenario(plan, 'sequence of scenarios', inSequence(names), {
    seconds: 10,
    loadScale: 0.1,
    folder,
    print: (text) => lines.push(text),
  });
  assert.deepEqual(
    report.ruleResults.filter((result) => !result.isHeld && !result.isTimed),
    [],
    lines.join('\n'),
  );
  assert.ok(
    report.ruleResults.length >= 11 &&
      report.records.filter((record) => record.outcome === 'result').length > 500,
  );
});
