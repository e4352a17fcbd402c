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
  void test(`${name}, scaled down: real processes from the command line through rollout to callers, the rules checked by the origins' notes`, async () => {
    const read = readDeploymentPlan(example(name));
    assert.ok(read.isOk);
    const plan = { ...read.value, deployment: { ...read.value.deployment, edges: 2, shields: 3 } };
    const folder = mkdtempSync(join(tmpdir(), 'devfleet-'));
    try {
      const report = await runUnderLoad(plan, {
        seconds: 5,
        loadScale: 0.15,
        folder,
        print: () => undefined,
      });
      // What hangs on how fast a busy machine is has no say here; what must hold on any machine does.
      assert.deepEqual(
        report.ruleResults.filter((one) => !one.isTimed && !one.isHeld),
        [],
      );
      for (const kind of ['R1', 'R2', 'R3', 'R4', 'R7'])
        assert.ok(
          report.ruleResults.some((one) => one.rule.startsWith(kind)),
          kind,
        );
      const results = report.records.filter((one) => one.outcome === 'result');
      assert.ok(
        results.length > report.records.length / 2,
        `${results.length} of ${report.records.length} requests got a result`,
      );
      assert.ok(
        results.some((one) => one.answeredBy === 'edge') &&
          results.some((one) => one.answeredBy === 'origin'),
      );
      assert.ok(
        report.records.some((one) => one.revision === 1),
        'the new revision was seen after the purge',
      );
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  });
}
