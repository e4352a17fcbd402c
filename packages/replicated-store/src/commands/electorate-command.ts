/**
 * Operators' changes of the electorate, by one member at a time.
 */

import * as v from 'valibot';
import { nextSeq } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import { electorateBody } from './command-bodies.js';

export const changedElectorate = (
  old: Electorate,
  body: v.InferOutput<typeof electorateBody>,
): Electorate | undefined => {
  const without = old.members.filter(
    (one) => one.node !== body.remove && one.node !== body.add?.node,
  );
  const members = body.add === undefined ? without : [...without, body.add];
  const delta = members.length - old.members.length;
  const moved = body.add !== undefined && delta === 0;
  if (members.length === 0 || (delta === 0 && !moved)) return undefined;
  return { serial: nextSeq(old.serial), members };
};
