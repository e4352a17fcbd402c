/** Configuration changes that scenarios submit during a fault. */

import * as v from 'valibot';
import { runOperatorCommand } from '../operator-command.js';
import { writeChangedConfiguration } from '../configuration-file.js';
import type { ScenarioContext } from './scenario.js';

/** Applies the configuration with a different queue limit, without waiting for the rollout. */
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
/** Parses the generation from the output of `apply --json`; 0 if there is none. */
export const generationIn = (text: string): number => {
  const parsed = v.safeParse(v.pipe(v.string(), v.parseJson(), acceptanceSchema), text);
  return parsed.success ? parsed.output.generation : 0;
};
