/** Entry point of `devfleet`: validates the command line and runs one command. */

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
    $ devfleet run FILE    start the deployment, send its load, check the rules, print a report
    $ devfleet fail FILE --cause NAME
                           run one fault scenario under load, print client outcomes before and during it
    $ devfleet soak FILE --seed N --runs N
                           inject overlapping faults under load and concurrent operator commands, seed by seed
    $ devfleet up FILE     start the deployment and keep it running until interrupted

  Flags
    --seconds N    seconds of load, or of fault injection in a soak, 1 to 3600 (30)
    --scale X      factor for the request rate, over 0 and up to 20 (1)
    --edges N      number of edges, in place of the deployment's
    --shields N    number of shields, in place of the deployment's
    --cause NAME   fault scenario: ${[...faultScenarios.keys()].join(', ')}
    --seed N       first seed of a soak (1)
    --runs N       number of consecutive seeds in a soak (1)
    --folder DIR   folder for data and logs; its contents are deleted first (.devfleet)

  Exit codes
    0  every rule held    1  a rule was broken, or the fleet did not start    2  invalid command line
`,
  {
    importMeta: import.meta,
    description: 'Runs a development fleet with stub origins on one machine.',
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

const exitWithUsageError = (message: string): never => {
  process.stderr.write(`devfleet: ${message}\n`);
  process.exit(2);
};
const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Returns the deployment with the numbers of edges and shields set by the flags. */
const withSizeFlags = (plan: DeploymentPlan): DeploymentPlan => ({
  ...plan,
  deployment: {
    ...plan.deployment,
    edges: cli.flags.edges ?? plan.deployment.edges,
    shields: cli.flags.shields ?? plan.deployment.shields,
  },
});

/** Fraction of a deployment's load that a soak sends. */
const soakLoadScale = 0.1;

/** Runs the soak of each seed; returns whether all of them passed. */
const runSoaks = async (plan: DeploymentPlan, folder: string): Promise<boolean> => {
  let haveAllPassed = true;
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
    haveAllPassed &&= summary.isPassed;
  }
  return haveAllPassed;
};

const isWholeNumber = (raw: number, min: number): boolean =>
  Number.isSafeInteger(raw) && raw >= min;

const commands: ReadonlySet<string | undefined> = new Set(['run', 'up', 'fail', 'soak']);

/** Returns the message for the first invalid flag; undefined if all are valid. */
const flagError = (): string | undefined => {
  const { cause, seconds, seed, runs, scale } = cli.flags;
  if (!faultScenarios.has(cause))
    return `--cause ${cause}: must be one of ${[...faultScenarios.keys()].join(', ')}`;
  if (!(seconds >= 1 && seconds <= 3600)) return '--seconds: must be from 1 to 3600';
  if (!isWholeNumber(seed, 0)) return '--seed: must be a non-negative integer';
  if (!isWholeNumber(runs, 1)) return '--runs: must be a positive integer';
  if (!(scale > 0 && scale <= 20)) return '--scale: must be over 0 and at most 20';
  return undefined;
};

const terminationSignals = ['SIGINT', 'SIGTERM'] as const;

/** Starts a deployment and keeps it running until the process is signalled. */
const runUntilInterrupted = async (plan: DeploymentPlan, folder: string): Promise<void> => {
  const fleet = await startFleet(plan, folder, print);
  for (const signal of terminationSignals)
    process.removeAllListeners(signal).on(signal, () => process.exit(0));
  print(`registries: ${fleet.registries.join(',')}`);
  print(`edges: ${fleet.edges.map((edge) => edge.httpAddress).join(' ')}`);
};

/** Runs a command and exits with its exit code; returns only for `up`. */
const runCommand = async (
  name: string | undefined,
  plan: DeploymentPlan,
  folder: string,
): Promise<void> => {
  const { cause, seconds, scale } = cli.flags;
  const options = { seconds, loadScale: scale, folder, print };
  const exitWith = (hasPassed: boolean): never => process.exit(hasPassed ? 0 : 1);
  const areAllRulesHeld = ({ ruleResults }: RunReport): boolean =>
    ruleResults.every(({ isHeld }) => isHeld);
  const scenario = faultScenarios.get(cause);
  if (name === 'soak') exitWith(await runSoaks(plan, folder));
  if (name === 'fail' && scenario !== undefined)
    exitWith(areAllRulesHeld(await runFaultScenario(plan, cause, scenario, options)));
  if (name === 'run') exitWith(areAllRulesHeld(await runUnderLoad(plan, options)));
  await runUntilInterrupted(plan, folder);
};

const [command, file] = cli.input;
if (!commands.has(command)) cli.showHelp(2);
else if (file === undefined) exitWithUsageError('FILE is required: name a deployment file');
else {
  const invalidFlag = flagError();
  if (invalidFlag !== undefined) exitWithUsageError(invalidFlag);
  const plan = readDeploymentPlan(file);
  if (plan.isErr) exitWithUsageError(plan.error.join('\n'));
  else {
    for (const signal of terminationSignals) process.on(signal, () => process.exit(1));
    try {
      await runCommand(command, withSizeFlags(plan.value), resolve(cli.flags.folder));
    } catch (error) {
      process.stderr.write(
        `devfleet: ${error instanceof Error ? error.message : 'unexpected error'}\n`,
      );
      process.exit(1);
    }
  }
}
