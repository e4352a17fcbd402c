/**
 * Decides the steps of a configuration's rollout over the nodes.
 */

import * as v from 'valibot';
import type { TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  configurationHeader as headSchema,
  controlKeys,
  policy as policySchema,
} from '@switchwheel/configuration';

export const rolloutPolicyOf = (control: ControlState): v.InferOutput<typeof policySchema> => {
  const first = control.configuration?.offer.pieces[0];
  const text = first === undefined ? undefined : control.chunks.get(first);
  const read = text === undefined ? undefined : v.safeParse(headSchema, JSON.parse(text));
  return read?.success === true ? read.output.rollout : v.parse(policySchema, {});
};

/** Compare-and-set: a change of a rollout or a target counts only on the revision it was made from. */
export const onlyCurrentRevisions = (
  control: ControlState,
  puts: readonly TableMutation[],
): readonly TableMutation[] =>
  puts.filter(({ key, data }) => {
    if (data === null) return true;
    const old = key.startsWith('target/')
      ? control.targets.get(key)
      : key.startsWith('rollout/')
        ? [...control.rollouts.values()].find((one) => controlKeys.rollout(one.generation) === key)
        : undefined;
    if (old === undefined) return true;
    const read = v.safeParse(v.object({ rev: v.number() }), JSON.parse(data));
    return (
      read.success &&
      (read.output.rev === old.rev + 1 || (key.startsWith('rollout/') && read.output.rev === 0))
    );
  });
