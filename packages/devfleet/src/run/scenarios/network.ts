/** Fault scenarios of cut and slow links between machines. */

import { delay } from '../../fleet/wait.js';
import type { Machine } from '../../fleet/machine.js';
import { type ScenarioContext, coreMachines, serviceLeader } from './scenario.js';

const flapCount = 8;

/** Partitions chosen machines from all others for a time, in one or both directions. */
export const isolate =
  (
    durationMs: number,
    direction: 'both' | 'out' | 'in',
    chooseMachines: (context: ScenarioContext) => Promise<readonly Machine[]>,
  ) =>
  async (context: ScenarioContext): Promise<void> => {
    const { fleet, print } = context;
    const isolated = await chooseMachines(context);
    const others = fleet.machines.filter((machine) => !isolated.includes(machine));
    if (direction !== 'in') fleet.links.cut(isolated, others);
    if (direction !== 'out') fleet.links.cut(others, isolated);
    print(`network partition (${direction}): ${isolated.map((machine) => machine.name).join(' ')}`);
    await delay(durationMs);
    fleet.links.heal();
    print('network partition healed');
  };
/** Chooses the machine of a process. */
export const machineRunning =
  (findProcess: (context: ScenarioContext) => Promise<string>) =>
  async (context: ScenarioContext): Promise<readonly Machine[]> => [
    context.fleet.machine(await findProcess(context)),
  ];
/** Chooses every second machine of the core. */
export const halfOfCore = (context: ScenarioContext): Promise<readonly Machine[]> =>
  Promise.resolve(coreMachines(context).filter((_, index) => index % 2 === 0));
/** Chooses all edges. */
export const allEdges = ({ fleet }: ScenarioContext): Promise<readonly Machine[]> =>
  Promise.resolve(fleet.edges);

/** Partitions a service leader repeatedly, for 300 ms each time. */
export const flapServiceLeader = async (context: ScenarioContext): Promise<void> => {
  for (let index = 0; index < flapCount; index += 1) {
    await isolate(300, 'both', machineRunning(serviceLeader))(context);
    await delay(400);
  }
};

/** Delays all messages of all machines by 60 ms for five seconds. */
export const slowLinks = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  fleet.links.setLag(60);
  print('all links delayed by 60 ms');
  await delay(5000);
  fleet.links.setLag(0);
};
