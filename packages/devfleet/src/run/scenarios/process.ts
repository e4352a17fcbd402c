/** Fault scenarios of processes that are killed, paused, restarted or replaced. */

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

/** Stop duration of a machine above which it is reported. */
const maxStopMs = 6000;

/** Kills a process and restarts it two seconds later. */
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

/** Pauses a process by SIGSTOP for a time. */
export const freeze =
  (durationMs: number, findProcess: (context: ScenarioContext) => Promise<string>) =>
  async (context: ScenarioContext): Promise<void> => {
    const name = await findProcess(context);
    const process = context.fleet.process(name);
    process.signal('SIGSTOP');
    context.print(`paused ${name}`);
    await delay(durationMs);
    process.signal('SIGCONT');
  };

/** Kills all processes of all machines at once and restarts them. */
export const killAllProcesses = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  const processes = fleet.machines.flatMap((machine) => machine.processes);
  await Promise.all(processes.map((process) => process.stop('SIGKILL')));
  const startedAt = performance.now();
  await Promise.all(processes.map((process) => process.start()));
  const areReady = await fleet.waitUntilEdgesReady(20_000);
  print(
    `every process killed; ${areReady ? 'all edges ready' : 'NOT all edges ready'} ${Math.round(performance.now() - startedAt)} ms after the restart began`,
  );
};

/** Restarts every machine in turn. */
export const restartInTurn = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  for (const machine of fleet.machines) {
    const startedAt = performance.now();
    const exitCodes = await Promise.all(
      machine.processes.map((process) => process.stop('SIGTERM')),
    );
    const elapsedMs = Math.round(performance.now() - startedAt);
    if (elapsedMs > maxStopMs || exitCodes.some((exitCode) => exitCode !== 0))
      print(`${machine.name} took ${elapsedMs} ms to stop, exit codes ${exitCodes.join(' ')}`);
    await Promise.all(machine.processes.map((process) => process.start()));
    await delay(300);
  }
  print(`restarted ${fleet.machines.length} machines in turn`);
};

/** Kills every process in the primary's zone and restarts them four seconds later. */
export const loseZone = async (context: ScenarioContext): Promise<void> => {
  const name = await primaryStore(context);
  const { zone } = context.fleet.machine(name);
  const killed = context.fleet.machines
    .filter((machine) => machine.zone === zone)
    .flatMap((machine) => machine.processes);
  await Promise.all(killed.map((process) => process.stop('SIGKILL')));
  context.print(`killed zone ${zone}: ${killed.map((process) => process.name).join(' ')}`);
  await delay(4000);
  await Promise.all(killed.map((process) => process.start()));
};

const seedCount = 3;

/** Removes the registry of each seed from the electorate, restarts it and adds it again, one at a time. */
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
    print(`${process.name} was removed from the voters, restarted and added again`);
  }
  const reply = await applyChange(context, 'replaced.json', 350);
  return [
    untimedResult(
      'the registries of all seeds are replaced',
      replacedCount === seedCount && reply.exitCode === 0,
      `${replacedCount} of ${seedCount} replaced; exit code of a change afterwards: ${reply.exitCode}`,
    ),
  ];
};
