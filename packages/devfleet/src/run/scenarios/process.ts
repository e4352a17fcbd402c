/** Scenarios of processes that are killed, paused, restarted and replaced. */

import { delay, waitUntil } from '../../fleet/wait.js';
import { runOperatorCommand } from '../operator-command.js';
import { stepTimeoutMs } from '../fleet-setup.js';
import { untimedResult } from '../../report/report.js';
import {
  type FaultScenario,
  type ScenarioContext,
  coreMachines,
  primaryStore,
} from './scenario.js';
import { applyChange } from './configuration-change.js';

/** A machine that takes longer than this to stop is reported. */
const maxStopMs = 6000;

/** Kills a process and starts it again two seconds later. */
export const killAndRestart =
  (findProcess: (context: ScenarioContext) => Promise<string>) =>
  async (context: ScenarioContext): Promise<void> => {
    const name = await findProcess(context);
    const process = context.fleet.process(name);
    await process.stop('SIGKILL');
    context.print(`killed ${name}`);
    await delay(2000);
    await process.start();
  };

/** Pauses a process for a while. */
export const freeze =
  (durationMs: number, findProcess: (context: ScenarioContext) => Promise<string>) =>
  async (context: ScenarioContext): Promise<void> => {
    const name = await findProcess(context);
    const process = context.fleet.process(name);
    process.signal('SIGSTOP');
    context.print(`froze ${name}`);
    await delay(durationMs);
    process.signal('SIGCONT');
  };

/** Kills every process at once and starts all again. */
export const killAllProcesses = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  const all = fleet.machines.flatMap((machine) => machine.processes);
  await Promise.all(all.map((process) => process.stop('SIGKILL')));
  const since = performance.now();
  await Promise.all(all.map((process) => process.start()));
  const areReady = await fleet.waitUntilEdgesReady(20_000);
  print(
    `every process killed; ${areReady ? 'all edges ready' : 'NOT all edges ready'} ${Math.round(performance.now() - since)} ms after the start began`,
  );
};

/** Stops and starts one machine after the other. */
export const restartInTurn = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  for (const machine of fleet.machines) {
    const since = performance.now();
    const codes = await Promise.all(machine.processes.map((process) => process.stop('SIGTERM')));
    const elapsedMs = Math.round(performance.now() - since);
    if (elapsedMs > maxStopMs || codes.some((code) => code !== 0))
      print(`${machine.name} took ${elapsedMs} ms to stop, exit codes ${codes.join(' ')}`);
    await Promise.all(machine.processes.map((process) => process.start()));
    await delay(300);
  }
  print(`${fleet.machines.length} machines stopped and started in turn`);
};

/** Kills every process in the primary's zone for a while. */
export const loseZone = async (context: ScenarioContext): Promise<void> => {
  const name = await primaryStore(context);
  const { zone } = context.fleet.machine(name);
  const lost = context.fleet.machines
    .filter((machine) => machine.zone === zone)
    .flatMap((machine) => machine.processes);
  await Promise.all(lost.map((process) => process.stop('SIGKILL')));
  context.print(`lost the area ${zone}: ${lost.map((process) => process.name).join(' ')}`);
  await delay(4000);
  await Promise.all(lost.map((process) => process.start()));
};

const seedCount = 3;

/** Removes each seed's registry from the voters, restarts it and adds it again, one after the other. */
export const replaceRegistries: FaultScenario = async (context) => {
  const { print } = context;
  let replacedCount = 0;
  for (const machine of coreMachines(context).slice(0, seedCount)) {
    const process = machine.processes.find((candidate) => candidate.name.endsWith('-registry'));
    if (process === undefined) continue;
    const others = coreMachines(context)
      .filter((other) => other !== machine)
      .map((other) => other.httpAddress);
    const wasRemoved = await waitUntil(
      stepTimeoutMs,
      async () =>
        (await runOperatorCommand(others, ['voter', 'remove', process.name])).exitCode === 0,
    );
    await process.stop('SIGKILL');
    await delay(1000);
    await process.start();
    const wasAdded = await waitUntil(
      stepTimeoutMs,
      async () => (await runOperatorCommand(others, ['voter', 'add', process.name])).exitCode === 0,
    );
    if (wasRemoved && wasAdded) replacedCount += 1;
    print(`${process.name} was unseated, replaced and seated again`);
  }
  const reply = await applyChange(context, 'swapped.json', 350);
  return [
    untimedResult(
      'first-found registries are swapped',
      replacedCount === seedCount && reply.exitCode === 0,
      `${replacedCount} of ${seedCount} swapped; a description after that: exit code ${reply.exitCode}`,
    ),
  ];
};
