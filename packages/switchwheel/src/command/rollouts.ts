/** Command `rollouts`: rollouts of configuration generations and their targets. */

import { increment } from '@switchwheel/types';
import type { CommandOptions, CommandResult } from './command-result.js';
import { formatTable, listMember, memberOf, memberTexts, toText } from './json-text.js';
import { requestAndFormat } from './registry-request.js';

/** States of targets that are listed one by one, with the reason. */
const incompleteStates: ReadonlySet<string> = new Set([
  'failed',
  'skipped',
  'pending',
  'in_progress',
]);

const countByStatus = (targets: readonly unknown[]): string => {
  const counts = new Map<string, number>();
  for (const target of targets) increment(counts, toText(memberOf(target, 'status')));
  return [...counts].map(([status, count]) => `${count} ${status}`).join(', ');
};

const rolloutTable = (rollouts: readonly unknown[]): string =>
  formatTable(
    ['generation', 'status', 'wave', 'troubled', 'targets'],
    rollouts.map((rollout) => [
      ...memberTexts(rollout, ['generation', 'status']),
      `${Number(memberOf(rollout, 'wave')) + 1}/${toText(memberOf(rollout, 'waves'))}`,
      toText(memberOf(rollout, 'troubled')),
      countByStatus(listMember(rollout, 'targets')),
    ]),
  );

const incompleteTargets = (rollout: unknown): readonly (readonly string[])[] =>
  listMember(rollout, 'targets')
    .filter((target) => incompleteStates.has(toText(memberOf(target, 'status'))))
    .map((target) => [
      toText(memberOf(rollout, 'generation')),
      ...memberTexts(target, ['node', 'status', 'text']),
    ]);

/** Runs `rollouts`: lists rollouts, then the targets that are not done, if any. */
export const showRollouts = (options: CommandOptions): Promise<CommandResult> =>
  requestAndFormat(options, { method: 'GET', path: '/v1/rollouts' }, (body) => {
    const rollouts = listMember(body, 'rollouts');
    const table = rolloutTable(rollouts);
    const incomplete = rollouts.flatMap(incompleteTargets);
    return incomplete.length === 0
      ? table
      : `${table}\n\n${formatTable(['generation', 'node', 'status', 'reason'], incomplete)}`;
  });
