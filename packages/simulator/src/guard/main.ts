/** Command line that removes guards one by one and reports the test that fails without each. */

import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import meow from 'meow';
import { type BuiltCopy, copyBuilt, guardError, removeGuard } from './built-copy.js';
import { type Guard, guards } from './list.js';

const cli = meow(
  `
  Usage
    $ npm run guards -- [flags]

  Removes guards from a copy of the built code one at a time, and reports which test fails.

  Flags
    --only TEXT   only guards whose name contains TEXT or whose rule is TEXT; may be repeated
    --at-once N   number of copies tested in parallel (default: 4)
    --storms      also run the random fault tests if no other test fails (slow)
    --list        only list the guards

  Exit codes
    0  every removal is detected by a test    1  some removal is not    2  usage error
`,
  {
    importMeta: import.meta,
    description: 'Mutation testing with hand-picked guards.',
    flags: {
      only: { type: 'string', isMultiple: true },
      atOnce: { type: 'number', default: 4 },
      storms: { type: 'boolean', default: false },
      list: { type: 'boolean', default: false },
    },
  },
);

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};
const root = fileURLToPath(new URL('../../../..', import.meta.url));
const filters = cli.flags.only ?? [];
const selectedGuards = guards.filter(
  (guard) =>
    filters.length === 0 ||
    filters.some((text) => guard.name.includes(text) || guard.rule === text),
);
const knownFlags = new Set(['only', 'atOnce', 'storms', 'list']);
const usageErrors = [
  ...Object.keys(cli.flags)
    .filter((name) => !knownFlags.has(name))
    .map((name) => `--${name}: unknown flag`),
  ...cli.input.map((argument) => `${argument}: unexpected argument`),
  ...(Number.isSafeInteger(cli.flags.atOnce) && cli.flags.atOnce >= 1 && cli.flags.atOnce <= 64
    ? []
    : ['--at-once must be an integer from 1 to 64']),
  ...filters
    .filter((text) => !guards.some((guard) => guard.name.includes(text) || guard.rule === text))
    .map((text) => `--only: no guard has ${text} in its name or as its rule`),
  ...selectedGuards.map((guard) => guardError(root, guard)).filter((error) => error !== undefined),
];
if (usageErrors.length > 0) {
  for (const line of usageErrors) process.stderr.write(`guards: ${line}\n`);
  process.exit(2);
}
if (cli.flags.list) {
  for (const guard of selectedGuards) printLine(`${guard.rule.padEnd(12)} ${guard.name}`);
  process.exit(0);
}

/** Test files without sockets, fastest first. */
const testFiles = [
  'proxy-core/dist/forwarding/forwarding.test.js',
  'proxy-core/dist/service-leader/service-leader.test.js',
  'proxy-core/dist/cache/cache.test.js',
  'simulator/dist/run/operators.test.js',
  'simulator/dist/run/request-deadlines.test.js',
  'simulator/dist/run/replication.test.js',
  'simulator/dist/run/origin-departure.test.js',
  'simulator/dist/run/failures.test.js',
  ...(cli.flags.storms ? ['simulator/dist/run/random-faults.test.js'] : []),
];
const testTimeoutMs = 600_000;

/** Runs a test file up to the first failure; returns the name of the failed test. */
const runFile = (copy: BuiltCopy, file: string): Promise<string | undefined> =>
  new Promise((resolve) => {
    const child = spawn(
      process.execPath,
      ['--test-reporter=tap', join(copy.root, 'packages', file)],
      { cwd: copy.root, stdio: ['ignore', 'pipe', 'ignore'] },
    );
    let output = '';
    let failedTest: string | undefined;
    const timeout = setTimeout(() => child.kill('SIGKILL'), testTimeoutMs);
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      failedTest ??= /^not ok \d+ - (.*)$/m.exec(output)?.[1];
      if (failedTest !== undefined) child.kill('SIGKILL');
    });
    child.on('close', () => {
      clearTimeout(timeout);
      // A test file that does not end counts as failed.
      resolve(
        failedTest ??
          (output.includes('\n# tests ') ? undefined : `${file} did not end within 10 min`),
      );
    });
  });

const runTests = async (copy: BuiltCopy): Promise<string | undefined> => {
  for (const file of testFiles) {
    const failedTest = await runFile(copy, file);
    if (failedTest !== undefined) return failedTest;
  }
  return undefined;
};

const queue = [...selectedGuards];
const undetectedGuards: Guard[] = [];
const runWorker = async (): Promise<void> => {
  const copy = copyBuilt(root);
  for (let guard = queue.shift(); guard !== undefined; guard = queue.shift()) {
    const restoreGuard = removeGuard(copy, guard);
    const failedTest = await runTests(copy);
    restoreGuard();
    if (failedTest === undefined) undetectedGuards.push(guard);
    printLine(
      `${guard.rule.padEnd(12)} ${guard.name}: ${failedTest === undefined ? 'NOT DETECTED' : `failed: ${failedTest}`}`,
    );
  }
  copy.remove();
};
await Promise.all(
  Array.from({ length: Math.min(cli.flags.atOnce, selectedGuards.length) }, runWorker),
);
printLine(
  undetectedGuards.length === 0
    ? `all ${selectedGuards.length} removals were detected by a test`
    : `${undetectedGuards.length} of ${selectedGuards.length} removals were not detected: ${undetectedGuards.map((guard) => guard.name).join('; ')}`,
);
process.exitCode = undetectedGuards.length > 0 ? 1 : 0;
