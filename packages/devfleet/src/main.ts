/** The program `devfleet`: reads and checks the command line, and runs one command. */

import { join, resolve } from 'node:path';
import meow from 'meow';
import { type DeploymentPlan, readDeploymentPlan } from './deployment/schema.js';
import { faultScenarios } from './run/fault-scenarios.js';
import { startFleet } from './run/fleet-setup.js';
import { runUnderLoad } from './run/load-run.js';
import { runFaultScenario } from './run/fault-run.js';
import type { RunReport } from './run/run-report.js';
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

/** The deployment with as many edges and shields as the flags ask for. */
const withSizeFlags = (plan: DeploymentPlan): DeploymentPlan => ({
  ...plan,
  deployment: {
    ...plan.deployment,
    edges: cli.flags.edges ?? plan.deployment.edges,
    shields: cli.flags.shields ?? plan.deployment.shields,
  },
});

/** The share of a deployment's load that a soak sends. */
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

/** What is wrong with the flags; undefined if nothing is. */
const flagFault = (): string | undefined => {
  const { cause, seconds, seed, runs, scale } = cli.flags;
  if (!faultScenarios.has(cause))
    return `--cause ${cause}: one of ${[...faultScenarios.keys()].join(', ')}`;
  if (!(seconds >= 1 && seconds <= 3600)) return '--seconds: from 1 to 3600';
  if (!isWholeNumber(seed, 0)) return '--seed: a whole number';
  if (!isWholeNumber(runs, 1)) return '--runs: a whole number from 1';
  if (!(scale > 0 && scale <= 20)) return '--scale: over 0, at most 20';
  return undefined;
};

const endSignals = ['SIGINT', 'SIGTERM'] as const;

/** Starts a deployment and leaves it running until a signal ends it. */
const runUntilInterrupted = async (plan: DeploymentPlan, folder: string): Promise<void> => {
  const fleet = await startFleet(plan, folder, print);
  for (const signal of endSignals)
    process.removeAllListeners(signal).on(signal, () => process.exit(0));
  print(`registries: ${fleet.registries.join(',')}`);
  print(`edges: ${fleet.edges.map((edge) => edge.httpAddress).join(' ')}`);
};

/** Runs a command and exits with its code; returns only from `up`. */
const runCommand = async (
  name: string | undefined,
  plan: DeploymentPlan,
  folder: string,
): Promise<void> => {
  const { cause, seconds, scale } = cli.flags;
  const options = { seconds, loadScale: scale, folder, print };
  const exitWith = (areHeld: boolean): never => process.exit(areHeld ? 0 : 1);
  const areAllHeld = ({ ruleResults }: RunReport): boolean =>
    ruleResults.every(({ isHeld }) => isHeld);
  const scenario = faultScenarios.get(cause);
  if (name === 'soak') exitWith(await runSoaks(plan, folder));
  if (name === 'fail' && scenario !== undefined)
    exitWith(areAllHeld(await runFaultScenario(plan, cause, scenario, options)));
  if (name === 'run') exitWith(areAllHeld(await runUnderLoad(plan, options)));
  await runUntilInterrupted(plan, folder);
};

const [command, file] = cli.input;
if (!commands.has(command)) cli.showHelp(2);
else if (file === undefined) exitWithWrongUse('which deployment file?');
else {
  const fault = flagFault();
  if (fault !== undefined) exitWithWrongUse(fault);
  const plan = readDeploymentPlan(file);
  if (plan.isErr) exitWithWrongUse(plan.error.join('\n'));
  else {
    for (const signal of endSignals) process.on(signal, () => process.exit(1));
    try {
      await runCommand(command, withSizeFlags(plan.value), resolve(cli.flags.folder));
    } catch (problem) {
      process.stderr.write(
        `devfleet: ${problem instanceof Error ? problem.message : 'broke down'}\n`,
      );
      process.exit(1);
    }
  }
}
