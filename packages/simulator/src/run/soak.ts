import meow from 'meow';
import { increment } from '@switchwheel/types';
import { type HistoryCoverageGoal, historyCoverageGoals } from '../history/checker.js';
import { type CoverageGoal, addCounts, coverageGoals } from '../rules/coverage.js';
import {
  type RandomFaultOptions,
  type RandomFaultReport,
  runRandomFaults,
} from './random-faults.js';

const cli = meow(
  `
  Usage
    $ npm run soak -- [flags]

  Flags
    --seed N      the first seed (by chance; it is printed)
    --runs N      how many seeds, one after another (20)
    --steps N     faults in each run (25)
    --only NAME   only faults whose names begin so; repeat for more
    --trace       print what is done to the fleet
    --shrink      leave faults out of a failing run until it no longer fails

  Exit codes
    0  every rule held    1  a rule was broken    2  wrong use
`,
  {
    importMeta: import.meta,
    description: 'Random long runs of the simulator.',
    flags: {
      seed: { type: 'number' },
      runs: { type: 'number', default: 20 },
      steps: { type: 'number', default: 25 },
      only: { type: 'string', isMultiple: true },
      trace: { type: 'boolean', default: false },
      shrink: { type: 'boolean', default: false },
    },
  },
);

const whole = (raw: number, low: number, high: number): boolean =>
  Number.isSafeInteger(raw) && raw >= low && raw <= high;
const known = new Set(['seed', 'runs', 'steps', 'only', 'trace', 'shrink']);
const fault = [
  ...Object.keys(cli.flags)
    .filter((name) => !known.has(name))
    .map((name) => `--${name}: no such flag`),
  ...cli.input.map((one) => `${one}: not a flag`),
  ...(cli.flags.seed === undefined || whole(cli.flags.seed, 0, 4294967295)
    ? []
    : ['--seed: a whole number from 0 to 4294967295']),
  ...(whole(cli.flags.runs, 1, 1_000_000) ? [] : ['--runs: a whole number from 1']),
  ...(whole(cli.flags.steps, 0, 100_000) ? [] : ['--steps: a whole number from 0']),
];
if (fault.length > 0) {
  for (const line of fault) process.stderr.write(`soak: ${line}\n`);
  process.exit(2);
}

const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Leaves faults out one by one for as long as the run still fails. */
const shrink = (options: RandomFaultOptions, report: RandomFaultReport): ReadonlySet<number> => {
  let skip = new Set(options.skippedFaults);
  for (const step of report.causedFaults) {
    const tried = new Set([...skip, step]);
    if (runRandomFaults({ ...options, skippedFaults: tried }).violations.length > 0) skip = tried;
  }
  return skip;
};

const first = cli.flags.seed ?? Math.floor(Math.random() * 4294967296);
const total = new Map<string, number>();
const tried = new Map<CoverageGoal, number>();
const historyTried = new Map<HistoryCoverageGoal, number>();
let requests = 0;
let results = 0;
let failing = 0;
const began = performance.now();
for (let run = 0; run < cli.flags.runs; run += 1) {
  const options: RandomFaultOptions = {
    seed: (first + run) >>> 0,
    faultCount: cli.flags.steps,
    namePrefixes: cli.flags.only ?? [],
    skippedFaults: new Set(),
    ...(cli.flags.trace ? { trace: say } : {}),
  };
  const report = runRandomFaults(options);
  addCounts(tried, report.coverage);
  for (const [point, many] of report.historyCoverage) increment(historyTried, point, many);
  requests += report.requests;
  results += report.results;
  for (const [name, many] of report.faults) increment(total, name, many);
  if (report.violations.length === 0) continue;
  failing += 1;
  say(`seed ${options.seed}, ${options.faultCount} steps:`);
  for (const line of report.violations.slice(0, 3)) say(`  ${line}`);
  if (report.violations.length > 3) say(`  and ${report.violations.length - 3} more`);
  if (cli.flags.shrink) {
    const skip = shrink(
      {
        seed: options.seed,
        faultCount: options.faultCount,
        namePrefixes: options.namePrefixes,
        skippedFaults: new Set(),
      },
      report,
    );
    const left = report.causedFaults.filter((step) => !skip.has(step));
    say(`  still fails with only steps ${left.join(', ')}:`);
    runRandomFaults({
      seed: options.seed,
      faultCount: options.faultCount,
      namePrefixes: options.namePrefixes,
      skippedFaults: skip,
      trace: (text) => say(`    ${text}`),
    });
  }
}
say(
  `seeds ${first} to ${(first + cli.flags.runs - 1) >>> 0}, ${cli.flags.steps} faults each, ${Math.round((performance.now() - began) / 1000)} s: ${failing} of ${cli.flags.runs} runs broke a rule`,
);
say(
  `${requests} requests, ${results} with a result; faults: ${[...total]
    .sort()
    .map(([name, many]) => `${name} ${many}`)
    .join(', ')}`,
);
for (const name of coverageGoals) say(`${String(tried.get(name) ?? 0).padStart(8)}  ${name}`);
for (const point of historyCoverageGoals)
  say(`${String(historyTried.get(point) ?? 0).padStart(8)}  history: ${point}`);
process.exitCode = failing > 0 ? 1 : 0;
