/** Guards the rules under load against regressions, on the example deployments with fewer machines. */

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'node:test';
import { readDeploymentPlan } from '../deployment/schema.js';
import { runUnderLoad } from './load-run.js';

const example = (name: string): string =>
  fileURLToPath(new URL(`../../../../examples/${name}/devfleet.json`, import.meta.url));

for (const name of ['mallgyeol', 'carpatic']) {
  void test(`every rule holds for ${name}, scaled down, under load with a rollout and a purge`, async () => {
    const planResult = readDeploymentPlan(example(name));
    assert.ok(planResult.isOk);
    const plan = {
      ...planResult.value,
      deployment: { ...planResult.value.deployment, edges: 2, shields: 3 },
    };
    const folder = mkdtempSync(join(tmpdir(), 'devfleet-'));
    try {
      const report = await runUnderLoad(plan, {
        seconds: 5,
        loadScale: 0.15,
        folder,
        print: () => undefined,
      });
      // Results that depend on the speed of the machine are ignored.
      assert.deepEqual(
        report.ruleResults.filter((result) => !result.isTimed && !result.isHeld),
        [],
      );
      for (const ruleNumber of ['R1', 'R2', 'R3', 'R4', 'R7'])
        assert.ok(
          report.ruleResults.some((result) => result.rule.startsWith(ruleNumber)),
          ruleNumber,
        );
      const results = report.records.filter((record) => record.outcome === 'result');
      assert.ok(
        results.length > report.records.length / 2,
        `${results.length} of ${report.records.length} requests got a result`,
      );
      assert.ok(
        results.some((record) => record.answeredBy === 'edge') &&
          results.some((record) => record.answeredBy === 'origin'),
      );
      assert.ok(
        report.records.some((record) => record.revision === 1),
        'no response had the new revision after the purge',
      );
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  });
}
