import { join, resolve } from 'node:path';
import meow from 'meow';
import { type DeploymentPlan, readDeploymentPlan } from './deployment/schema.js';
import { faultScenarios } from './run/fault-scenarios.js';
import { startFleet } from './run/fleet-setup.js';
import { runUnderLoad } from './run/load-run.js';
import { runFaultScenario } from './run/fault-run.js';
import { runSoak } from './soak/soak.js';
import { summarizeSoak } from './soak/soak-report.js';

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
    --cause NAME   ${[...faultScenarios.keys()].join(', ')}
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

const exitWithWrongUse = (message: string): never => {
  process.stderr.write(`devfleet: ${message}\n`);
  process.exit(2);
};
const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const withSizeFlags = (plan: DeploymentPlan): DeploymentPlan => ({
  ...plan,
  deployment: {
    ...plan.deployment,
    edges: cli.flags.edges ?? plan.deployment.edges,
    shields: cli.flags.shields ?? plan.deployment.shields,
  },
});

/** The part of a deployment's load that a soak sends. */
const soakLoadScale = 0.1;

/** Plays seeds one after another; returns whether all of them are passed. */
const runSoaks = async (plan: DeploymentPlan, folder: string): Promise<boolean> => {
  let areAllPassed = true;
  for (let seed = cli.flags.seed; seed < cli.flags.seed + cli.flags.runs; seed += 1) {
    print(`seed ${seed}`);
    const report = await runSoak(plan, {
      seed,
      faultsDurationMs: cli.flags.seconds * 1000,
      loadScale: soakLoadScale * cli.flags.scale,
      folder: join(folder, `soak-${seed}`),
      print,
    });
    const summary = summarizeSoak(seed, report);
    print(summary.text);
    areAllPassed &&= summary.isPassed;
  }
  return areAllPassed;
};

const isWholeNumber = (raw: number, min: number): boolean =>
  Number.isSafeInteger(raw) && raw >= min;

const commands: ReadonlySet<string | undefined> = new Set(['run', 'up', 'fail', 'soak']);
const [command, file] = cli.input;
const scenario = faultScenarios.get(cli.flags.cause);
if (!commands.has(command)) cli.showHelp(2);
else if (file === undefined) exitWithWrongUse('which deployment file?');
else if (scenario === undefined)
  exitWithWrongUse(`--cause ${cli.flags.cause}: one of ${[...faultScenarios.keys()].join(', ')}`);
else if (!(cli.flags.seconds >= 1 && cli.flags.seconds <= 3600))
  exitWithWrongUse('--seconds: from 1 to 3600');
else if (!isWholeNumber(cli.flags.seed, 0)) exitWithWrongUse('--seed: a whole number');
else if (!isWholeNumber(cli.flags.runs, 1)) exitWithWrongUse('--runs: a whole number from 1');
else if (!(cli.flags.scale > 0 && cli.flags.scale <= 20))
  exitWithWrongUse('--scale: over 0, at most 20');
else {
  const read = readDeploymentPlan(file);
  if (read.isErr) exitWithWrongUse(read.error.join('\n'));
  else {
    const folder = resolve(cli.flags.folder);
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1));
    try {
      if (command === 'soak')
        process.exit((await runSoaks(withSizeFlags(read.value), folder)) ? 0 : 1);
      if (command === 'fail') {
        const report = await runFaultScenario(
          withSizeFlags(read.value),
          cli.flags.cause,
          scenario,
          {
            seconds: cli.flags.seconds,
            loadScale: cli.flags.scale,
            folder,
            print,
          },
        );
        process.exit(report.ruleResults.every((one) => one.isHeld) ? 0 : 1);
      }
      if (command === 'run') {
        const report = await runUnderLoad(withSizeFlags(read.value), {
          seconds: cli.flags.seconds,
          loadScale: cli.flags.scale,
          folder,
          print,
        });
        process.exit(report.ruleResults.every((one) => one.isHeld) ? 0 : 1);
      }
      const fleet = await startFleet(withSizeFlags(read.value), folder, print);
      for (const signal of ['SIGINT', 'SIGTERM'] as const)
        process.removeAllListeners(signal).on(signal, () => process.exit(0));
      print(`registries: ${fleet.registries.join(',')}`);
      print(`edges: ${fleet.edges.map((one) => one.httpAddress).join(' ')}`);
    } catch (problem) {
      process.stderr.write(
        `devfleet: ${problem instanceof Error ? problem.message : 'broke down'}\n`,
      );
      process.exit(1);
    }
  }
}
