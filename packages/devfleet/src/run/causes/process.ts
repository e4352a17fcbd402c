import { pause, until } from '../../fleet/fleet.js';
import { operate } from '../cli.js';
import { patience } from '../stage.js';
import { type Cause, type Stage, core, primary, verdict } from './cause.js';
import { apply } from './change.js';

export const killAndBack =
  (find: (stage: Stage) => Promise<string>) =>
  async (stage: Stage): Promise<void> => {
    const name = await find(stage);
    const child = stage.fleet.child(name);
    await child.end('SIGKILL');
    stage.say(`killed ${name}`);
    await pause(2000);
    await child.start();
  };

export const freezeFor =
  (span: number, find: (stage: Stage) => Promise<string>) =>
  async (stage: Stage): Promise<void> => {
    const name = await find(stage);
    const child = stage.fleet.child(name);
    child.signal('SIGSTOP');
    stage.say(`froze ${name}`);
    await pause(span);
    child.signal('SIGCONT');
  };

export const killAll = async ({ fleet, say }: Stage): Promise<void> => {
  const all = fleet.machines.flatMap((one) => one.children);
  await Promise.all(all.map((one) => one.end('SIGKILL')));
  const since = performance.now();
  await Promise.all(all.map((one) => one.start()));
  const up = await fleet.allReady(20_000);
  say(
    `every process killed; ${up ? 'all edges ready' : 'NOT all edges ready'} ${Math.round(performance.now() - since)} ms after the start began`,
  );
};

export const stopInTurn = async ({ fleet, say }: Stage): Promise<void> => {
  for (const machine of fleet.machines) {
    const since = performance.now();
    const codes = await Promise.all(machine.children.map((one) => one.end('SIGTERM')));
    const span = Math.round(performance.now() - since);
    if (span > 6000 || codes.some((one) => one !== 0))
      say(`${machine.name} took ${span} ms to stop, exit codes ${codes.join(' ')}`);
    await Promise.all(machine.children.map((one) => one.start()));
    await pause(300);
  }
  say(`${fleet.machines.length} machines stopped and started in turn`);
};

export const loseArea = async (stage: Stage): Promise<void> => {
  const name = await primary(stage);
  const { area } = stage.fleet.machine(name);
  const lost = stage.fleet.machines
    .filter((one) => one.area === area)
    .flatMap((one) => one.children);
  await Promise.all(lost.map((one) => one.end('SIGKILL')));
  stage.say(`lost the area ${area}: ${lost.map((one) => one.name).join(' ')}`);
  await pause(4000);
  await Promise.all(lost.map((one) => one.start()));
};

/** The control machines that are found first are replaced: each seed's registry is gone for a while, one after the other. */
export const swapRegistries: Cause = async (stage) => {
  const { say } = stage;
  let taken = 0;
  for (const machine of core(stage).slice(0, 3)) {
    const child = machine.children.find((one) => one.name.endsWith('-registry'));
    if (child === undefined) continue;
    const others = core(stage)
      .filter((one) => one !== machine)
      .map((one) => one.door);
    const out = await until(
      patience,
      async () => (await operate(others, ['voter', 'remove', child.name])).code === 0,
    );
    await child.end('SIGKILL');
    await pause(1000);
    await child.start();
    const back = await until(
      patience,
      async () => (await operate(others, ['voter', 'add', child.name])).code === 0,
    );
    if (out && back) taken += 1;
    say(`${child.name} was unseated, replaced and seated again`);
  }
  const done = await apply(stage, 'swapped.json', 350);
  return [
    verdict(
      'first-found registries are swapped',
      taken === 3 && done.code === 0,
      `${taken} of 3 swapped; a description after that: exit code ${done.code}`,
    ),
  ];
};
