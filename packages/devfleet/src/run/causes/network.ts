import { type Machine, pause } from '../../fleet/fleet.js';
import { type Stage, core, keeper } from './cause.js';

/** Cuts some machines off from the others for a while. */
export const isolated =
  (
    span: number,
    way: 'both' | 'out' | 'in',
    choose: (stage: Stage) => Promise<readonly Machine[]>,
  ) =>
  async (stage: Stage): Promise<void> => {
    const { fleet, say } = stage;
    const side = await choose(stage);
    const rest = fleet.machines.filter((one) => !side.includes(one));
    if (way !== 'in') fleet.cut(side, rest);
    if (way !== 'out') fleet.cut(rest, side);
    say(`cut off (${way}): ${side.map((one) => one.name).join(' ')}`);
    await pause(span);
    fleet.heal();
    say('healed');
  };
export const machineOf =
  (find: (stage: Stage) => Promise<string>) =>
  async (stage: Stage): Promise<readonly Machine[]> => [stage.fleet.machine(await find(stage))];
export const halfCore = (stage: Stage): Promise<readonly Machine[]> =>
  Promise.resolve(core(stage).filter((_, at) => at % 2 === 0));
export const allEdges = ({ fleet }: Stage): Promise<readonly Machine[]> =>
  Promise.resolve(fleet.edges);

export const flap = async (stage: Stage): Promise<void> => {
  for (let turn = 0; turn < 8; turn += 1) {
    await isolated(300, 'both', machineOf(keeper))(stage);
    await pause(400);
  }
};

export const slowLinks = async ({ fleet, say }: Stage): Promise<void> => {
  fleet.lag(60);
  say('everything that machines send takes 60 ms longer');
  await pause(5000);
  fleet.lag(0);
};
