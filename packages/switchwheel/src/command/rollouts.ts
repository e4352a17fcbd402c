/** Command `rollouts`: rollouts of configuration generations and their targets. */

import { increment } from '@switchwheel/types';
import type { CommandOptions, CommandResult } from './command-result.js';
import { formatTable, listProperty, propertyOf, propertyTexts, toText } from './json-text.js';
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
  for (const target of targets) increment(counts, toText(propertyOf(target, 'status')));
  return [...counts].map(([status, count]) => `${count} ${status}`).join(', ');
};

const rolloutTable = (rollouts: readonly unknown[]): string =>
  formatTable(
    ['generation', 'status', 'wave', 'troubled', 'targets'],
    rollouts.map((rollout) => [
      ...propertyTexts(rollout, ['generation', 'status']),
      `${Number(propertyOf(rollout, 'wave')) + 1}/${toText(propertyOf(rollout, 'waves'))}`,
      toText(propertyOf(rollout, 'troubled')),
      countByStatus(listProperty(rollout, 'targets')),
    ]),
  );

const incompleteTargets = (rollout: unknown): readonly (readonly string[])[] =>
  listProperty(rollout, 'targets')
    .filter((target) => incompleteStates.has(toText(propertyOf(target, 'status'))))
    .map((target) => [
      toText(propertyOf(rollout, 'generation')),
      ...propertyTexts(target, ['node', 'status', 'text']),
    ]);

/** Runs `rollouts`: lists rollouts, then the targets that are not done, if any. */
export const showRollouts = (options: CommandOptions): Promise<CommandResult> =>
  requestAndFormat(options, { method: 'GET', path: '/v1/rollouts' }, (body) => {
    const rollouts = listProperty(body, 'rollouts');
    const table = rolloutTable(rollouts);
    const incomplete = rollouts.flatMap(incompleteTargets);
    return incomplete.length === 0
      ? table
      : `${table}\n\n${formatTable(['generation', 'node', 'status', 'reason'], incomplete)}`;
  });
