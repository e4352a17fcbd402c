import { writeFileSync } from 'node:fs';
import meow from 'meow';
import { measure } from './measure.js';
import { type Factor, factors, readPlan } from './options.js';
import { type Row, newRow, tellCsv, tellJson, tellTable } from './report.js';

const cli = meow(
  `
  Usage
    $ npm run scale -- [flags]

  Hollow edges with a whole core, in one process and in simulated time. One factor
  is varied at a time; the first value of each list holds while another is varied.

  Flags
    --nodes LIST       edges (20)
    --origins LIST     runs of origins (20)
    --services LIST    services that the origins belong to (4)
    --registries LIST  registries (8)
    --purges LIST      purges a second (0)
    --stores N         stores (3)
    --areas N          areas (4)
    --seconds N        how long each fleet is looked at (2)
    --seed N           (1)
    --repeat N         take the median of this many seeds in a row (1)
    --loss             lose one registry, then all, and wait for the sessions
    --csv FILE         write the rows
    --json FILE        write all that was measured

  Exit codes
    0  measured    2  wrong use
`,
  {
    importMeta: import.meta,
    description: 'What each role spends as a fleet grows.',
    flags: {
      nodes: { type: 'string' },
      origins: { type: 'string' },
      services: { type: 'string' },
      registries: { type: 'string' },
      purges: { type: 'string' },
      stores: { type: 'number', default: 3 },
      areas: { type: 'number', default: 4 },
      seconds: { type: 'number', default: 2 },
      seed: { type: 'number', default: 1 },
      repeat: { type: 'number', default: 1 },
      loss: { type: 'boolean', default: false },
      csv: { type: 'string' },
      json: { type: 'string' },
    },
  },
);

const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};
const known = new Set([
  'nodes',
  'origins',
  'services',
  'registries',
  'purges',
  'stores',
  'areas',
  'seconds',
  'seed',
  'repeat',
  'loss',
  'csv',
  'json',
]);
const lists = new Map<Factor, string>();
for (const factor of factors) {
  const text = cli.flags[factor];
  if (text !== undefined) lists.set(factor, text);
}
const { seed, seconds, stores, areas, loss, repeat } = cli.flags;
const read = readPlan({ lists, seed, seconds, stores, areas, loss, repeat });
const faults = [
  ...Object.keys(cli.flags)
    .filter((name) => !known.has(name))
    .map((name) => `--${name}: no such flag`),
  ...cli.input.map((one) => `${one}: not a flag`),
  ...('faults' in read ? read.faults : []),
  ...(lists.size > 0
    ? []
    : [
        'name at least one factor to vary: --nodes, --origins, --services, --registries or --purges',
      ]),
];
if (faults.length > 0 || !('plan' in read)) {
  for (const line of faults) process.stderr.write(`scale: ${line}\n`);
  process.exit(2);
}

// Code that has just started is slow: one fleet goes first and is not counted.
const [first] = read.plan.runs;
if (first !== undefined) measure(first.trial);

const rows: Row[] = [];
for (const { factor, value, trial } of read.plan.runs) {
  const before = process.cpuUsage();
  const others = Array.from({ length: read.plan.repeat - 1 }, (_, at) =>
    measure({ ...trial, seed: trial.seed + at + 1 }),
  );
  rows.push(newRow(factor, value, measure(trial), others));
  const used = process.cpuUsage(before);
  process.stderr.write(
    `${factor} ${value}: ${Math.round((used.user + used.system) / 1e6)} s of processor time, ${Math.round(process.memoryUsage().rss / 1048576)} MB\n`,
  );
}
say(tellTable(rows));
if (cli.flags.csv !== undefined) writeFileSync(cli.flags.csv, `${tellCsv(rows)}\n`);
if (cli.flags.json !== undefined) writeFileSync(cli.flags.json, `${tellJson(rows)}\n`);
