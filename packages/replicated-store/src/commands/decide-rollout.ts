/**
 * Decides the steps of a configuration rollout across the nodes.
 */

import * as v from 'valibot';
import type { Timestamp } from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  configurationHeader as headerSchema,
  controlKeys,
  planRollout,
  rolloutPolicy as policySchema,
  tickRollout,
} from '@switchwheel/configuration';
import { type Decision, noChange } from './decision.js';
import type { StoreState } from '../state/state.js';

const revisioned = v.object({ rev: v.number() });

/** Rollout policy of the configuration in force; the default policy if its header is missing or invalid. */
const rolloutPolicyOf = (control: ControlState): v.InferOutput<typeof policySchema> => {
  const headerHash = control.configuration?.offer.pieces[0];
  const text = headerHash === undefined ? undefined : control.chunks.get(headerHash);
  const header = text === undefined ? undefined : v.safeParse(headerSchema, JSON.parse(text));
  return header?.success === true ? header.output.rollout : v.parse(policySchema, {});
};

/** Compare-and-set: keeps changes of rollouts and targets only if they are based on the current revision. */
const onlyCurrentRevisions = (
  control: ControlState,
  puts: readonly TableMutation[],
): readonly TableMutation[] =>
  puts.filter(({ key, data }) => {
    if (data === null) return true;
    const current = key.startsWith('target/')
      ? control.targets.get(key)
      : key.startsWith('rollout/')
        ? [...control.rollouts.values()].find(
            (rollout) => controlKeys.rollout(rollout.generation) === key,
          )
        : undefined;
    if (current === undefined) return true;
    const parsed = v.safeParse(revisioned, JSON.parse(data));
    return (
      parsed.success &&
      (parsed.output.rev === current.rev + 1 ||
        (key.startsWith('rollout/') && parsed.output.rev === 0))
    );
  });

/** Plans the rollout of the configuration in force over the known nodes. */
export const decideRolloutPlan = (control: ControlState): Decision => ({
  ...noChange,
  puts: onlyCurrentRevisions(control, planRollout(control, rolloutPolicyOf(control))),
});

/** Advances the open rollout according to the reports of its nodes. */
export const decideRolloutAdvance = (
  state: StoreState,
  control: ControlState,
  now: Timestamp,
): Decision => {
  const result = tickRollout(control, state.targetStatusSince, state.rolloutOpenedAt, now);
  return {
    ...noChange,
    puts: onlyCurrentRevisions(control, result.puts),
    targetStatusSince: result.statusSince,
    rolloutOpenedAt: result.openedAt,
  };
};
