/** The command line of the model checker. */

import meow from 'meow';
import { type Invariant, invariants } from './cluster/invariants.js';
import { runScenario } from './explore/run.js';
import { type SearchReport, printScenario, search } from './explore/search.js';
import { shrink } from './explore/shrink.js';
import { huntSeededBugs } from './seeded-bugs/hunt.js';
import { seededBugs } from './seeded-bugs/list.js';

const cli = meow(
  `
  Usage
    $ npm run model-check -- [flags]

  Searches schedules of the control side for one that breaks an invariant, shrinks and prints it.

  Flags
    --states N      how many states at most (1000000)
    --depth N       within how many milliseconds deviations begin (800)
    --faults N      how many deviations a random walk has at most (6)
    --members A..B  how many machines the cluster has (3..5)
    --seed N        where the random choices begin (1)
    --ignore TEXT   an invariant that is not judged; repeat for more
    --first         end with the first violation
    --bugs          take the guards of the list out one by one, and search without each
    --only TEXT     with --bugs: only those with this in their name
    --part I/N      with --bugs: only the I-th of N parts of the list

  Exit codes
    0  nothing found (with --bugs: each found)    1  otherwise    2  wrong use
`,
  {
    importMeta: import.meta,
    description: 'A model checker over the state machines of stores and registries.',
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

const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const membersOf = (text: string): readonly number[] => {
  const [low, high] = text.split('..').map(Number);
  const from = low ?? 3;
  const to = high ?? from;
  return Array.from({ length: to - from + 1 }, (_, at) => from + at);
};

const ignoredOf = (texts: readonly string[]): ReadonlySet<Invariant> =>
  new Set(invariants.filter((one) => texts.includes(one)));

const printReport = (report: SearchReport, ignored: ReadonlySet<Invariant>): void => {
  const { flags } = cli;
  say(
    `bounds: ${flags.states} states, deviations within ${flags.depth} ms, at most ${flags.faults} at once, ${flags.members} members, seed ${flags.seed}`,
  );
  for (const [members, complete] of report.complete)
    say(
      `single deviations with ${members} members: ${complete ? 'every placement tried' : 'bound of states reached'}`,
    );
  say(`runs: ${report.placements} placements, ${report.walks} random walks`);
  say(`confirmed writes judged: ${report.confirmedWrites}`);
  for (const one of ignored) say(`not judged: ${one}`);
  const seen = new Set<Invariant>();
  for (const { scenario, violation, states } of report.found) {
    if (seen.has(violation.invariant)) continue;
    seen.add(violation.invariant);
    const smallest = shrink(scenario, violation.invariant);
    const others = new Set(invariants.filter((one) => one !== violation.invariant));
    say(`found after ${states} states: ${runScenario(smallest, others).violation?.text ?? ''}`);
    say(`violated: ${violation.invariant}`);
    say(`schedule: ${printScenario(smallest)}`);
  }
  say(`states: ${report.found[0]?.states ?? report.states}`);
};

const boundArguments = (): readonly string[] => {
  const { flags } = cli;
  return [
    ...['--states', String(flags.states), '--depth', String(flags.depth)],
    ...['--faults', String(flags.faults), '--members', flags.members, '--seed', String(flags.seed)],
    ...(flags.ignore ?? []).flatMap((one) => ['--ignore', one]),
  ];
};

const hunt = async (): Promise<void> => {
  const [part = 1, parts = 1] = cli.flags.part.split('/').map(Number);
  const chosen = seededBugs.filter(
    (one, at) => one.name.includes(cli.flags.only) && at % parts === part - 1,
  );
  let missed = 0;
  await huntSeededBugs(chosen, boundArguments(), ({ bug, invariant, states, scenario }) => {
    if (invariant === undefined) missed += 1;
    say(`${bug.name} | ${invariant ?? 'NOT FOUND'} | ${states} states`);
    if (scenario !== undefined) say(`  ${scenario}`);
  });
  say(`${chosen.length - missed} of ${chosen.length} seeded bugs found`);
  process.exitCode = missed > 0 ? 1 : 0;
};

if (cli.flags.bugs) await hunt();
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
