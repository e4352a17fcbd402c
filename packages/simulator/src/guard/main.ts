/** The command line that takes guards out one by one and names the test that goes red. */

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

  Takes guards out of a built copy one at a time, and tells which tests go red without them.

  Flags
    --only TEXT   only guards with this in their name or rule; repeat for more
    --at-once N   how many copies run side by side (4)
    --storms      let random storms look too, where nothing else notices (slow)
    --list        only name them

  Exit codes
    0  every guard is missed by some test    1  one is not    2  wrong use
`,
  {
    importMeta: import.meta,
    description: 'What the tests notice.',
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
    .map((name) => `--${name}: no such flag`),
  ...cli.input.map((argument) => `${argument}: not a flag`),
  ...(Number.isSafeInteger(cli.flags.atOnce) && cli.flags.atOnce >= 1 && cli.flags.atOnce <= 64
    ? []
    : ['--at-once: a whole number from 1 to 64']),
  ...filters
    .filter((text) => !guards.some((guard) => guard.name.includes(text) || guard.rule === text))
    .map((text) => `--only: no guard is named ${text}`),
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

/** The tests that run without sockets, the quick ones first: those of single machines and the simulator's. */
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

/** Runs one file of tests up to the first that goes red; gives its name. */
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
      // One that ends no more is noticed as well.
      resolve(failedTest ?? (output.includes('\n# tests ') ? undefined : `${file} did not end`));
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
      `${guard.rule.padEnd(12)} ${guard.name}: ${failedTest === undefined ? 'NOTHING NOTICES' : `red: ${failedTest}`}`,
    );
  }
  copy.remove();
};
await Promise.all(
  Array.from({ length: Math.min(cli.flags.atOnce, selectedGuards.length) }, runWorker),
);
printLine(
  undetectedGuards.length === 0
    ? `all ${selectedGuards.length} guards are missed by some test`
    : `${undetectedGuards.length} of ${selectedGuards.length} guards are missed by none: ${undetectedGuards.map((guard) => guard.name).join('; ')}`,
);
process.exitCode = undetectedGuards.length > 0 ? 1 : 0;
