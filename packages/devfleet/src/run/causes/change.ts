import * as v from 'valibot';
import type { Fleet } from '../../fleet/fleet.js';
import { operate } from '../cli.js';
import { changed, lookAt } from '../stage.js';
import type { Stage } from './cause.js';

export const apply = async (
  stage: Stage,
  name: string,
  waitlist: number,
): ReturnType<typeof operate> =>
  operate(stage.fleet.registries, [
    'apply',
    changed(stage.plan, stage.folder, name, waitlist),
    '--timeout',
    '10000',
    '--wait',
    '0',
    '--json',
  ]);

const accepted = v.object({ generation: v.number() });
export const generationIn = (text: string): number => {
  const read = v.safeParse(v.pipe(v.string(), v.parseJson(), accepted), text);
  return read.success ? read.output.generation : 0;
};
export const inForce = async (fleet: Fleet): Promise<number> =>
  (await lookAt(fleet))?.generation ?? 0;
