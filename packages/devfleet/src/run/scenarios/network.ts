import { type Machine, delay } from '../../fleet/fleet.js';
import { type ScenarioContext, coreMachines, serviceLeader } from './scenario.js';

/** Cuts some machines off from the others for a while. */
export const isolate =
  (
    durationMs: number,
    direction: 'both' | 'out' | 'in',
    chooseMachines: (stage: ScenarioContext) => Promise<readonly Machine[]>,
  ) =>
  async (stage: ScenarioContext): Promise<void> => {
    const { fleet, print } = stage;
    const side = await chooseMachines(stage);
    const rest = fleet.machines.filter((one) => !side.includes(one));
    if (direction !== 'in') fleet.cutLinks(side, rest);
    if (direction !== 'out') fleet.cutLinks(rest, side);
    print(`cut off (${direction}): ${side.map((one) => one.name).join(' ')}`);
    await delay(durationMs);
    fleet.healLinks();
    print('healed');
  };
export const machineRunning =
  (findProcess: (stage: ScenarioContext) => Promise<string>) =>
  async (stage: ScenarioContext): Promise<readonly Machine[]> => [
    stage.fleet.machine(await findProcess(stage)),
  ];
export const halfOfCore = (stage: ScenarioContext): Promise<readonly Machine[]> =>
  Promise.resolve(coreMachines(stage).filter((_, at) => at % 2 === 0));
export const allEdges = ({ fleet }: ScenarioContext): Promise<readonly Machine[]> =>
  Promise.resolve(fleet.edges);

export const flapServiceLeader = async (stage: ScenarioContext): Promise<void> => {
  for (let turn = 0; turn < 8; turn += 1) {
    await isolate(300, 'both', machineRunning(serviceLeader))(stage);
    await delay(400);
  }
};

export const slowLinks = async ({ fleet, print }: ScenarioContext): Promise<void> => {
  fleet.setLag(60);
  print('everything that machines send takes 60 ms longer');
  await delay(5000);
  fleet.setLag(0);
};
