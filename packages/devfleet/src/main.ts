import { join, resolve } from 'node:path';
import meow from 'meow';
import { type Plan, readPlan } from './deployment/schema.js';
import { causes } from './run/causes.js';
import { setUp } from './run/stage.js';
import { runFull } from './run/full.js';
import { runTrial } from './run/trial.js';
import { soak } from './soak/soak.js';

const cli = meow(
  `
  Usage
    $ devfleet run FILE    start the deployment, drive its load, check the rules, print figures
    $ devfleet fail FILE --cause NAME
                           cause one failure under load, print what callers saw before and during it
    $ devfleet soak FILE --seed N --runs N
                           overlapping troubles on a small fleet under load and racing orders, seed after seed
    $ devfleet up FILE     start the deployment and leave it running until interrupted

  Flags
    --seconds N    how long to drive the load (30)
    --scale X      multiply the requests a second (1)
    --edges N      start this many edges instead
    --shields N    start this many shields instead
    --cause NAME   ${[...causes.keys()].join(', ')}
    --seed N       the first seed of a soak (1)
    --runs N       how many seeds a soak plays, one after another (1)
    --folder DIR   where data and logs go (.devfleet)

  Exit codes
    0  every rule held    1  a rule was broken, or the fleet did not come up    2  wrong use
`,
  {
    importMeta: import.meta,
    description: 'A whole fleet with stand-ins on one machine.',
    version: '0.1.0',
    flags: {
      seconds: { type: 'number', default: 30 },
      scale: { type: 'number', default: 1 },
      edges: { type: 'number' },
      shields: { type: 'number' },
      folder: { type: 'string', default: '.devfleet' },
      cause: { type: 'string', default: 'none' },
      seed: { type: 'number', default: 1 },
      runs: { type: 'number', default: 1 },
    },
  },
);

const quit = (fault: string): never => {
  process.stderr.write(`devfleet: ${fault}\n`);
  process.exit(2);
};
const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const shrink = (plan: Plan): Plan => ({
  ...plan,
  deployment: {
    ...plan.deployment,
    edges: cli.flags.edges ?? plan.deployment.edges,
    shields: cli.flags.shields ?? plan.deployment.shields,
  },
});

/** The part of a deployment's load that a soak sends. */
const soakScale = 0.1;

/** Plays seeds one after another; says whether every rule held in all of them. */
const soakSeeds = async (plan: Plan, folder: string): Promise<boolean> => {
  let held = true;
  for (let seed = cli.flags.seed; seed < cli.flags.seed + cli.flags.runs; seed += 1) {
    say(`seed ${seed}`);
    const spanMs = cli.flags.seconds * 1000;
    const { verdicts, troubles, overlaps, orders, confirmed } = await soak(plan, {
      seed,
      spanMs,
      scale: soakScale * cli.flags.scale,
      folder: join(folder, `soak-${seed}`),
      say,
    });
    const broken = verdicts.filter((one) => !one.held && !one.timed);
    held &&= broken.length === 0;
    say(
      `seed ${seed}: ${broken.length === 0 ? 'all held' : `BROKEN ${broken.map((one) => one.rule).join(', ')}`}; ${troubles} troubles, ${overlaps} begun beside another, ${confirmed} of ${orders} orders confirmed`,
    );
  }
  return held;
};

const isWhole = (raw: number, least: number): boolean => Number.isSafeInteger(raw) && raw >= least;

const commands: ReadonlySet<string | undefined> = new Set(['run', 'up', 'fail', 'soak']);
const [command, file] = cli.input;
const cause = causes.get(cli.flags.cause);
if (!commands.has(command)) cli.showHelp(2);
else if (file === undefined) quit('which deployment file?');
else if (cause === undefined)
  quit(`--cause ${cli.flags.cause}: one of ${[...causes.keys()].join(', ')}`);
else if (!(cli.flags.seconds >= 1 && cli.flags.seconds <= 3600)) quit('--seconds: from 1 to 3600');
else if (!isWhole(cli.flags.seed, 0)) quit('--seed: a whole number');
else if (!isWhole(cli.flags.runs, 1)) quit('--runs: a whole number from 1');
else if (!(cli.flags.scale > 0 && cli.flags.scale <= 20)) quit('--scale: over 0, at most 20');
else {
  const read = readPlan(file);
  if (read.isErr) quit(read.error.join('\n'));
  else {
    const folder = resolve(cli.flags.folder);
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1));
    try {
      if (command === 'soak') process.exit((await soakSeeds(shrink(read.value), folder)) ? 0 : 1);
      if (command === 'fail') {
        const report = await runTrial(shrink(read.value), cli.flags.cause, cause, {
          seconds: cli.flags.seconds,
          scale: cli.flags.scale,
          folder,
          say,
        });
        process.exit(report.verdicts.every((one) => one.held) ? 0 : 1);
      }
      if (command === 'run') {
        const report = await runFull(shrink(read.value), {
          seconds: cli.flags.seconds,
          scale: cli.flags.scale,
          folder,
          say,
        });
        process.exit(report.verdicts.every((one) => one.held) ? 0 : 1);
      }
      const fleet = await setUp(shrink(read.value), folder, say);
      for (const signal of ['SIGINT', 'SIGTERM'] as const)
        process.removeAllListeners(signal).on(signal, () => process.exit(0));
      say(`registries: ${fleet.registries.join(',')}`);
      say(`edges: ${fleet.edges.map((one) => one.door).join(' ')}`);
    } catch (problem) {
      process.stderr.write(
        `devfleet: ${problem instanceof Error ? problem.message : 'broke down'}\n`,
      );
      process.exit(1);
    }
  }
}
