import * as v from 'valibot';
import type { Fleet } from '../../fleet/fleet.js';
import { runOperatorCommand } from '../operator-command.js';
import { writeChangedConfiguration, readFleetView } from '../fleet-setup.js';
import type { ScenarioContext } from './scenario.js';

export const applyChange = async (
  stage: ScenarioContext,
  fileName: string,
  queueLimit: number,
): ReturnType<typeof runOperatorCommand> =>
  runOperatorCommand(stage.fleet.registries, [
    'apply',
    writeChangedConfiguration(stage.plan, stage.folder, fileName, queueLimit),
    '--timeout',
    '10000',
    '--wait',
    '0',
    '--json',
  ]);

const acceptanceSchema = v.object({ generation: v.number() });
export const generationIn = (text: string): number => {
  const read = v.safeParse(v.pipe(v.string(), v.parseJson(), acceptanceSchema), text);
  return read.success ? read.output.generation : 0;
};
export const generationInForce = async (fleet: Fleet): Promise<number> =>
  (await readFleetView(fleet))?.generation ?? 0;
