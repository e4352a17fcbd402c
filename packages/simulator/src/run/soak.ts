/** Command line for long random runs: iterates over seeds, counts coverage and shrinks failing runs. */

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
    --seed N      first seed (default: random; it is printed)
    --runs N      number of consecutive seeds (default: 20)
    --steps N     number of faults per run (default: 25)
    --only NAME   only faults whose name starts with NAME; may be repeated
    --trace       print each injected fault and its end
    --shrink      leave out faults of a failing run while it still fails

  Exit codes
    0  no violation    1  a rule was violated    2  usage error
`,
  {
    importMeta: import.meta,
    description: 'Long random runs of the simulator.',
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

const isIntegerInRange = (value: number, min: number, max: number): boolean =>
  Number.isSafeInteger(value) && value >= min && value <= max;
const knownFlags = new Set(['seed', 'runs', 'steps', 'only', 'trace', 'shrink']);
const usageErrors = [
  ...Object.keys(cli.flags)
    .filter((name) => !knownFlags.has(name))
    .map((name) => `--${name}: unknown flag`),
  ...cli.input.map((argument) => `${argument}: unexpected argument`),
  ...(cli.flags.seed === undefined || isIntegerInRange(cli.flags.seed, 0, 4294967295)
    ? []
    : ['--seed must be an integer from 0 to 4294967295']),
  ...(isIntegerInRange(cli.flags.runs, 1, 1_000_000)
    ? []
    : ['--runs must be an integer from 1 to 1000000']),
  ...(isIntegerInRange(cli.flags.steps, 0, 100_000)
    ? []
    : ['--steps must be an integer from 0 to 100000']),
];
if (usageErrors.length > 0) {
  for (const line of usageErrors) process.stderr.write(`soak: ${line}\n`);
  process.exit(2);
}

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Returns the faults that can be left out while the run still fails, tried one by one. */
const shrink = (options: RandomFaultOptions, report: RandomFaultReport): ReadonlySet<number> => {
  let skippedFaults = new Set(options.skippedFaults);
  for (const number of report.injectedFaultNumbers) {
    const candidate = new Set([...skippedFaults, number]);
    if (runRandomFaults({ ...options, skippedFaults: candidate }).violations.length > 0)
      skippedFaults = candidate;
  }
  return skippedFaults;
};

const firstSeed = cli.flags.seed ?? Math.floor(Math.random() * 4294967296);
const faultCounts = new Map<string, number>();
const coverage = new Map<CoverageGoal, number>();
const historyCoverage = new Map<HistoryCoverageGoal, number>();
let requests = 0;
let results = 0;
let failedRuns = 0;
const startedAt = performance.now();
for (let run = 0; run < cli.flags.runs; run += 1) {
  const options: RandomFaultOptions = {
    seed: (firstSeed + run) >>> 0,
    faultCount: cli.flags.steps,
    namePrefixes: cli.flags.only ?? [],
    skippedFaults: new Set(),
    ...(cli.flags.trace ? { trace: printLine } : {}),
  };
  const report = runRandomFaults(options);
  addCounts(coverage, report.coverage);
  for (const [goal, count] of report.historyCoverage) increment(historyCoverage, goal, count);
  requests += report.requestCount;
  results += report.resultCount;
  for (const [name, count] of report.faultCounts) increment(faultCounts, name, count);
  if (report.violations.length === 0) continue;
  failedRuns += 1;
  printLine(`seed ${options.seed}, ${options.faultCount} faults:`);
  for (const line of report.violations.slice(0, 3)) printLine(`  ${line}`);
  if (report.violations.length > 3) printLine(`  and ${report.violations.length - 3} more`);
  if (cli.flags.shrink) {
    const skippedFaults = shrink(
      {
        seed: options.seed,
        faultCount: options.faultCount,
        namePrefixes: options.namePrefixes,
        skippedFaults: new Set(),
      },
      report,
    );
    const remaining = report.injectedFaultNumbers.filter((number) => !skippedFaults.has(number));
    printLine(`  still fails with only the faults ${remaining.join(', ')}:`);
    runRandomFaults({
      seed: options.seed,
      faultCount: options.faultCount,
      namePrefixes: options.namePrefixes,
      skippedFaults,
      trace: (text) => printLine(`    ${text}`),
    });
  }
}
printLine(
  `seeds ${firstSeed} to ${(firstSeed + cli.flags.runs - 1) >>> 0}, ${cli.flags.steps} faults each, ${Math.round((performance.now() - startedAt) / 1000)} s: ${failedRuns} of ${cli.flags.runs} runs violated a rule`,
);
printLine(
  `${requests} requests, ${results} with a response; faults: ${[...faultCounts]
    .sort()
    .map(([name, count]) => `${name} ${count}`)
    .join(', ')}`,
);
for (const name of coverageGoals)
  printLine(`${String(coverage.get(name) ?? 0).padStart(8)}  ${name}`);
for (const goal of historyCoverageGoals)
  printLine(`${String(historyCoverage.get(goal) ?? 0).padStart(8)}  history: ${goal}`);
process.exitCode = failedRuns > 0 ? 1 : 0;
