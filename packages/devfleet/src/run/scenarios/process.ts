import { delay, waitUntil } from '../../fleet/fleet.js';
import { runOperatorCommand } from '../operator-command.js';
import { stepTimeoutMs } from '../fleet-setup.js';
import {
  type FaultScenario,
  type ScenarioContext,
  coreMachines,
  primaryStore,
  untimedResult,
} from './scenario.js';
import { applyChange } from './configuration-change.js';

export const killAndRestart =
  (findProcess: (stage: ScenarioContext) => Promise<string>) =>
  async (stage: ScenarioContext): Promise<void> => {
    const name = await findProcess(stage);
    const child = stage.fleet.process(name);
    await child.stop('SIGKILL');
    stage.print(`killed ${name}`);
    await delay(2000);
    await child.start();
  };

export const freeze =
  (durationMs: number, findProcess: (stage: ScenarioContext) => Promise<string>) =>
  async (stage: ScenarioContext): Promise<void> => {
    const name = await findProcess(stage);
    const child = stage.fleet.process(name);
    child.signal('SIGSTOP');
    stage.print(`froze ${name}`);
    await delay(durationMs);
    child.signal('SIGCONT');
  };

export const killAllProcesses = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  const all = fleet.machines.flatMap((one) => one.processes);
  await Promise.all(all.map((one) => one.stop('SIGKILL')));
  const since = performance.now();
  await Promise.all(all.map((one) => one.start()));
  const up = await fleet.waitUntilEdgesReady(20_000);
  print(
    `every process killed; ${up ? 'all edges ready' : 'NOT all edges ready'} ${Math.round(performance.now() - since)} ms after the start began`,
  );
};

export const restartInTurn = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  for (const machine of fleet.machines) {
    const since = performance.now();
    const codes = await Promise.all(machine.processes.map((one) => one.stop('SIGTERM')));
    const span = Math.round(performance.now() - since);
    if (span > 6000 || codes.some((one) => one !== 0))
      print(`${machine.name} took ${span} ms to stop, exit codes ${codes.join(' ')}`);
    await Promise.all(machine.processes.map((one) => one.start()));
    await delay(300);
  }
  print(`${fleet.machines.length} machines stopped and started in turn`);
};

export const loseZone = async (stage: ScenarioContext): Promise<void> => {
  const name = await primaryStore(stage);
  const { zone } = stage.fleet.machine(name);
  const lost = stage.fleet.machines
    .filter((one) => one.zone === zone)
    .flatMap((one) => one.processes);
  await Promise.all(lost.map((one) => one.stop('SIGKILL')));
  stage.print(`lost the area ${zone}: ${lost.map((one) => one.name).join(' ')}`);
  await delay(4000);
  await Promise.all(lost.map((one) => one.start()));
};

/** The control machines that are found first are replaced: each seed's registry is gone for a while, one after the other. */
export const replaceRegistries: FaultScenario = async (stage) => {
  const { print } = stage;
  let taken = 0;
  for (const machine of coreMachines(stage).slice(0, 3)) {
    const child = machine.processes.find((one) => one.name.endsWith('-registry'));
    if (child === undefined) continue;
    const others = coreMachines(stage)
      .filter((one) => one !== machine)
      .map((one) => one.httpAddress);
    const out = await waitUntil(
      stepTimeoutMs,
      async () =>
        (await runOperatorCommand(others, ['voter', 'remove', child.name])).exitCode === 0,
    );
    await child.stop('SIGKILL');
    await delay(1000);
    await child.start();
    const back = await waitUntil(
      stepTimeoutMs,
      async () => (await runOperatorCommand(others, ['voter', 'add', child.name])).exitCode === 0,
    );
    if (out && back) taken += 1;
    print(`${child.name} was unseated, replaced and seated again`);
  }
  const done = await applyChange(stage, 'swapped.json', 350);
  return [
    untimedResult(
      'first-found registries are swapped',
      taken === 3 && done.exitCode === 0,
      `${taken} of 3 swapped; a description after that: exit code ${done.exitCode}`,
    ),
  ];
};
