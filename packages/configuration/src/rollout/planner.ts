/**
 * The planner: when a configuration is stored, it assigns it to every node, supersedes an older
 * rollout and starts a new one. It is the only creator of rollouts; `progress.ts` moves them on.
 */

import { type NodeId, nextSeq, noSeq } from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import {
  type ConfigVersion,
  type ControlState,
  type NodeRecord,
  type Rollout,
  type RolloutTarget,
  configVersionOf,
  controlKeys,
  isSameVersion,
  putRecord,
} from '../control-state/control-state.js';
import type { RolloutPolicy } from '../document/schema.js';

/** Sums of decimal shares are compared with this tolerance. */
const shareTolerance = 1e-9;

const isActive = ({ status }: Rollout): boolean => status === 'pending' || status === 'running';

/** The rollout that is not ended, of the newest generation if there are several. */
export const activeRollout = (control: ControlState): Rollout | undefined =>
  [...control.rollouts.values()]
    .filter(isActive)
    .sort((one, two) => two.generation - one.generation)[0];

/** The wave of a node: nodes are ordered by name, the shares are the policy's. */
const waveOf = (index: number, total: number, { waves }: RolloutPolicy): number => {
  const part = (index + 1) / total;
  const wave = waves.findIndex((share) => part <= share + shareTolerance);
  return wave < 0 ? waves.length - 1 : wave;
};

const runsConfiguration = ({ role }: NodeRecord): boolean => role === 'edge' || role === 'shield';

const newTarget = (
  node: NodeId,
  generation: RolloutTarget['generation'],
  wave: number,
): TableMutation =>
  putRecord(controlKeys.target(generation, node), {
    node,
    generation,
    wave,
    status: 'pending',
    text: '',
    rev: noSeq,
  } satisfies RolloutTarget);

/** Assigns a version to all nodes that run configurations, and lists those that are to run another one so far. */
const assign = (
  control: ControlState,
  goal: ConfigVersion,
): { readonly puts: readonly TableMutation[]; readonly behind: readonly NodeId[] } => {
  const puts: TableMutation[] = [];
  const behind: NodeId[] = [];
  const byName = [...control.nodes].sort(([one], [two]) => (one < two ? -1 : 1));
  for (const [node, record] of byName) {
    if (!runsConfiguration(record)) continue;
    // A node without a desired version is new: it gets its configuration at once.
    const next: NodeRecord = { ...record, assigned: goal, desired: record.desired ?? goal };
    if (!isSameVersion(record.assigned, goal) || record.desired === undefined)
      puts.push(putRecord(controlKeys.node(node), next));
    if (!isSameVersion(next.desired, goal)) behind.push(node);
  }
  return { puts, behind };
};

const supersede = (control: ControlState, goal: ConfigVersion): readonly TableMutation[] => {
  const running = activeRollout(control);
  if (running === undefined || running.generation >= goal.generation) return [];
  const superseded = { ...running, status: 'superseded', rev: nextSeq(running.rev) };
  return [putRecord(controlKeys.rollout(running.generation), superseded)];
};

/** Nodes that came while the rollout is active join its current wave. */
const joinRollout = (
  control: ControlState,
  { generation, wave }: Rollout,
  behind: readonly NodeId[],
): readonly TableMutation[] =>
  behind
    .filter((node) => !control.targets.has(controlKeys.target(generation, node)))
    .map((node) => newTarget(node, generation, wave));

const startRollout = (
  goal: ConfigVersion,
  policy: RolloutPolicy,
  before: Rollout | undefined,
  behind: readonly NodeId[],
): readonly TableMutation[] => {
  const { generation } = goal;
  const rollout: Rollout = {
    ...goal,
    status: 'running',
    wave: 0,
    waves: policy.waves.length,
    policy,
    troubled: before?.troubled ?? false,
    rev: noSeq,
  };
  const targets = behind.map((node, index) =>
    newTarget(node, generation, waveOf(index, behind.length, policy)),
  );
  return [putRecord(controlKeys.rollout(generation), rollout), ...targets];
};

/** What to write for the stored configuration: assignments, and a rollout if nodes have to change. */
export const planRollout = (
  control: ControlState,
  policy: RolloutPolicy,
): readonly TableMutation[] => {
  if (control.configuration === undefined) return [];
  const goal = configVersionOf(control.configuration.offer);
  const { puts, behind } = assign(control, goal);
  const superseding = supersede(control, goal);
  const known = control.rollouts.get(goal.generation);
  if (known !== undefined && (behind.length === 0 || isActive(known)))
    return [...puts, ...superseding, ...joinRollout(control, known, behind)];
  if (behind.length === 0) return [...puts, ...superseding];
  return [...puts, ...superseding, ...startRollout(goal, policy, known, behind)];
};
