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

const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};
const root = fileURLToPath(new URL('../../../..', import.meta.url));
const only = cli.flags.only ?? [];
const chosen = guards.filter(
  (one) => only.length === 0 || only.some((text) => one.name.includes(text) || one.rule === text),
);
const known = new Set(['only', 'atOnce', 'storms', 'list']);
const faults = [
  ...Object.keys(cli.flags)
    .filter((name) => !known.has(name))
    .map((name) => `--${name}: no such flag`),
  ...cli.input.map((one) => `${one}: not a flag`),
  ...(Number.isSafeInteger(cli.flags.atOnce) && cli.flags.atOnce >= 1 && cli.flags.atOnce <= 64
    ? []
    : ['--at-once: a whole number from 1 to 64']),
  ...only
    .filter((text) => !guards.some((one) => one.name.includes(text) || one.rule === text))
    .map((text) => `--only: no guard is named ${text}`),
  ...chosen.map((one) => guardError(root, one)).filter((one) => one !== undefined),
];
if (faults.length > 0) {
  for (const line of faults) process.stderr.write(`guards: ${line}\n`);
  process.exit(2);
}
if (cli.flags.list) {
  for (const one of chosen) say(`${one.rule.padEnd(12)} ${one.name}`);
  process.exit(0);
}

/** The tests that run without sockets, the quick ones first: those of single machines and the simulator's. */
const files = [
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
const span = 600_000;

/** Runs one file of tests up to the first that goes red; gives its name. */
const runFile = (copy: BuiltCopy, file: string): Promise<string | undefined> =>
  new Promise((done) => {
    const child = spawn(
      process.execPath,
      ['--test-reporter=tap', join(copy.root, 'packages', file)],
      { cwd: copy.root, stdio: ['ignore', 'pipe', 'ignore'] },
    );
    let text = '';
    let red: string | undefined;
    const late = setTimeout(() => child.kill('SIGKILL'), span);
    child.stdout.on('data', (part: Buffer) => {
      text += part.toString();
      red ??= /^not ok \d+ - (.*)$/m.exec(text)?.[1];
      if (red !== undefined) child.kill('SIGKILL');
    });
    child.on('close', () => {
      clearTimeout(late);
      // One that ends no more is noticed as well.
      done(red ?? (text.includes('\n# tests ') ? undefined : `${file} did not end`));
    });
  });

const run = async (copy: BuiltCopy): Promise<string | undefined> => {
  for (const file of files) {
    const red = await runFile(copy, file);
    if (red !== undefined) return red;
  }
  return undefined;
};

const waiting = [...chosen];
const missed: Guard[] = [];
const work = async (): Promise<void> => {
  const copy = copyBuilt(root);
  for (let guard = waiting.shift(); guard !== undefined; guard = waiting.shift()) {
    const back = removeGuard(copy, guard);
    const red = await run(copy);
    back();
    if (red === undefined) missed.push(guard);
    say(
      `${guard.rule.padEnd(12)} ${guard.name}: ${red === undefined ? 'NOTHING NOTICES' : `red: ${red}`}`,
    );
  }
  copy.remove();
};
await Promise.all(Array.from({ length: Math.min(cli.flags.atOnce, chosen.length) }, work));
say(
  missed.length === 0
    ? `all ${chosen.length} guards are missed by some test`
    : `${missed.length} of ${chosen.length} guards are missed by none: ${missed.map((one) => one.name).join('; ')}`,
);
process.exitCode = missed.length > 0 ? 1 : 0;
