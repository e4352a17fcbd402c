/** Entry point of `npm run model-check`: parses the command line, runs a search and prints its report. */

import meow from 'meow';
import { type Invariant, invariants } from './cluster/invariants.js';
import { runScenario } from './explore/run.js';
import { type SearchReport, printScenario, search } from './explore/search.js';
import { shrink } from './explore/shrink.js';
import { searchForSeededBugs } from './seeded-bugs/hunt.js';
import { seededBugs } from './seeded-bugs/list.js';

const cli = meow(
  `
  Usage
    $ npm run model-check -- [flags]

  Searches schedules of faults in the control plane for violations of invariants, shrinks and prints them.

  Flags
    --states N      approximate maximum number of states (1000000)
    --depth N       length in milliseconds of the window in which deviations start (800)
    --faults N      maximum number of deviations in a random walk (6)
    --members A..B  cluster sizes (3..5)
    --seed N        seed of the random source (1)
    --ignore TEXT   name of an invariant that is not checked; may be repeated
    --first         stop at the first violation
    --bugs          search with each of the seeded bugs in turn
    --only TEXT     with --bugs: only bugs whose name contains this text
    --part I/N      with --bugs: only the I-th of N parts of the list

  Exit codes
    0  no violation found (with --bugs: every bug found)    1  otherwise    2  invalid command line
`,
  {
    importMeta: import.meta,
    description: 'Model checker for the state machines of stores and registries.',
    flags: {
      states: { type: 'number', default: 1_000_000 },
      depth: { type: 'number', default: 800 },
      faults: { type: 'number', default: 6 },
      members: { type: 'string', default: '3..5' },
      seed: { type: 'number', default: 1 },
      ignore: { type: 'string', isMultiple: true },
      first: { type: 'boolean', default: false },
      bugs: { type: 'boolean', default: false },
      only: { type: 'string', default: '' },
      part: { type: 'string', default: '1/1' },
    },
  },
);

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const membersOf = (text: string): readonly number[] => {
  const [low, high] = text.split('..').map(Number);
  const min = low ?? 3;
  const max = high ?? min;
  return Array.from({ length: max - min + 1 }, (_, index) => min + index);
};

const ignoredOf = (names: readonly string[]): ReadonlySet<Invariant> =>
  new Set(invariants.filter((invariant) => names.includes(invariant)));

const printReport = (report: SearchReport, ignored: ReadonlySet<Invariant>): void => {
  const { flags } = cli;
  print(
    `bounds: ${flags.states} states, deviations start within ${flags.depth} ms, at most ${flags.faults} in a walk, ${flags.members} members, seed ${flags.seed}`,
  );
  for (const [members, complete] of report.complete)
    print(
      `single deviations with ${members} members: ${complete ? 'every placement tried' : 'bound on states reached'}`,
    );
  print(`runs: ${report.placements} placements, ${report.walks} random walks`);
  print(`confirmed writes checked: ${report.confirmedWrites}`);
  for (const invariant of ignored) print(`not checked: ${invariant}`);
  const printed = new Set<Invariant>();
  for (const { scenario, violation, states } of report.found) {
    if (printed.has(violation.invariant)) continue;
    printed.add(violation.invariant);
    const smallest = shrink(scenario, violation.invariant);
    const others = new Set(invariants.filter((invariant) => invariant !== violation.invariant));
    print(
      `violation after ${states} states: ${runScenario(smallest, others).violation?.text ?? ''}`,
    );
    print(`violated: ${violation.invariant}`);
    print(`schedule: ${printScenario(smallest)}`);
  }
  print(`states: ${report.found[0]?.states ?? report.states}`);
};

const boundArguments = (): readonly string[] => {
  const { flags } = cli;
  return [
    ...['--states', String(flags.states), '--depth', String(flags.depth)],
    ...['--faults', String(flags.faults), '--members', flags.members, '--seed', String(flags.seed)],
    ...(flags.ignore ?? []).flatMap((name) => ['--ignore', name]),
  ];
};

const checkSeededBugs = async (): Promise<void> => {
  const [part = 1, partCount = 1] = cli.flags.part.split('/').map(Number);
  const bugs = seededBugs.filter(
    (bug, index) => bug.name.includes(cli.flags.only) && index % partCount === part - 1,
  );
  let missedCount = 0;
  await searchForSeededBugs(bugs, boundArguments(), ({ bug, invariant, states, scenario }) => {
    if (invariant === undefined) missedCount += 1;
    print(`${bug.name} | ${invariant ?? 'NOT FOUND'} | ${states} states`);
    if (scenario !== undefined) print(`  ${scenario}`);
  });
  print(`${bugs.length - missedCount} of ${bugs.length} seeded bugs found`);
  process.exitCode = missedCount > 0 ? 1 : 0;
};

if (cli.flags.bugs) await checkSeededBugs();
else {
  const { states, depth, faults, members, seed, first } = cli.flags;
  const ignored = ignoredOf(cli.flags.ignore ?? []);
  const report = search({
    states,
    depth,
    faults,
    members: membersOf(members),
    seed,
    ignored,
    stopAtFirst: first,
  });
  printReport(report, ignored);
  process.exitCode = report.found.length > 0 ? 1 : 0;
}
