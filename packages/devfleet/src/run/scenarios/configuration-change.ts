/** Configuration changes that scenarios submit while a fault lasts. */

import * as v from 'valibot';
import { runOperatorCommand } from '../operator-command.js';
import { writeChangedConfiguration } from '../configuration-file.js';
import type { ScenarioContext } from './scenario.js';

/** Applies the configuration with another queue limit; does not wait for the rollout. */
export const applyChange = async (
  context: ScenarioContext,
  fileName: string,
  queueLimit: number,
): ReturnType<typeof runOperatorCommand> =>
  runOperatorCommand(context.fleet.registries, [
    'apply',
    writeChangedConfiguration(context.plan, context.folder, fileName, queueLimit),
    '--timeout',
    '10000',
    '--wait',
    '0',
    '--json',
  ]);

const acceptanceSchema = v.object({ generation: v.number() });
/** The generation that `apply --json` reports; 0 if it was not accepted. */
export const generationIn = (text: string): number => {
  const read = v.safeParse(v.pipe(v.string(), v.parseJson(), acceptanceSchema), text);
  return read.success ? read.output.generation : 0;
};
