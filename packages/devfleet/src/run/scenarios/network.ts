/** Scenarios of cut and slow links between machines. */

import { delay } from '../../fleet/wait.js';
import type { Machine } from '../../fleet/machine.js';
import { type ScenarioContext, coreMachines, serviceLeader } from './scenario.js';

const flapCount = 8;

/** Cuts some machines off from the others for a while. */
export const isolate =
  (
    durationMs: number,
    direction: 'both' | 'out' | 'in',
    chooseMachines: (context: ScenarioContext) => Promise<readonly Machine[]>,
  ) =>
  async (context: ScenarioContext): Promise<void> => {
    const { fleet, print } = context;
    const isolated = await chooseMachines(context);
    const rest = fleet.machines.filter((machine) => !isolated.includes(machine));
    if (direction !== 'in') fleet.links.cut(isolated, rest);
    if (direction !== 'out') fleet.links.cut(rest, isolated);
    print(`cut off (${direction}): ${isolated.map((machine) => machine.name).join(' ')}`);
    await delay(durationMs);
    fleet.links.heal();
    print('healed');
  };
/** Chooses the machine of one node. */
export const machineRunning =
  (findProcess: (context: ScenarioContext) => Promise<string>) =>
  async (context: ScenarioContext): Promise<readonly Machine[]> => [
    context.fleet.machine(await findProcess(context)),
  ];
/** Chooses every second machine of the core. */
export const halfOfCore = (context: ScenarioContext): Promise<readonly Machine[]> =>
  Promise.resolve(coreMachines(context).filter((_, at) => at % 2 === 0));
/** Chooses all edges. */
export const allEdges = ({ fleet }: ScenarioContext): Promise<readonly Machine[]> =>
  Promise.resolve(fleet.edges);

/** Cuts a service leader off again and again, each time briefly. */
export const flapServiceLeader = async (context: ScenarioContext): Promise<void> => {
  for (let turn = 0; turn < flapCount; turn += 1) {
    await isolate(300, 'both', machineRunning(serviceLeader))(context);
    await delay(400);
  }
};

/** Delays everything that machines send. */
export const slowLinks = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  fleet.links.setLag(60);
  print('everything that machines send takes 60 ms longer');
  await delay(5000);
  fleet.links.setLag(0);
};
