import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'node:test';
import { readPlan } from '../deployment/schema.js';
import { runFull } from './full.js';

const example = (name: string): string =>
  fileURLToPath(new URL(`../../../../examples/${name}/devfleet.json`, import.meta.url));

for (const name of ['mallgyeol', 'carpatic']) {
  void test(`${name}, scaled down: real processes from the command line through rollout to callers, the rules checked by the origins' notes`, async () => {
    const read = readPlan(example(name));
    assert.ok(read.isOk);
    const plan = { ...read.value, deployment: { ...read.value.deployment, edges: 2, shields: 3 } };
    const folder = mkdtempSync(join(tmpdir(), 'devfleet-'));
    try {
      const report = await runFull(plan, { seconds: 5, scale: 0.15, folder, say: () => undefined });
      // What hangs on how fast a busy machine is has no say here; what must hold on any machine does.
      assert.deepEqual(
        report.verdicts.filter((one) => !one.timed && !one.held),
        [],
      );
      for (const kind of ['R1', 'R2', 'R3', 'R4', 'R7'])
        assert.ok(
          report.verdicts.some((one) => one.rule.startsWith(kind)),
          kind,
        );
      const results = report.seen.filter((one) => one.kind === 'result');
      assert.ok(
        results.length > report.seen.length / 2,
        `${results.length} of ${report.seen.length} requests got a result`,
      );
      assert.ok(
        results.some((one) => one.from === 'edge') && results.some((one) => one.from === 'origin'),
      );
      assert.ok(
        report.seen.some((one) => one.revision === 1),
        'the new revision was seen after the purge',
      );
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  });
}
