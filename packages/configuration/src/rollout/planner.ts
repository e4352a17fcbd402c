import { type NodeId, nextSeq, noSeq } from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  type NodeRecord,
  type Rollout,
  type RolloutTarget,
  controlKeys,
  configVersionOf,
  isSameVersion,
  putRecord,
} from '../control-state/control-state.js';
import type { RolloutPolicy } from '../document/schema.js';

const isActive = (one: Rollout): boolean => one.status === 'pending' || one.status === 'running';
export const activeRollout = (control: ControlState): Rollout | undefined =>
  [...control.rollouts.values()]
    .filter(isActive)
    .sort((one, two) => two.generation - one.generation)[0];

/** In which wave each node goes: the order is by name, the shares are the policy's. */
const waveOf = (index: number, total: number, policy: RolloutPolicy): number => {
  const place = (index + 1) / total;
  const found = policy.waves.findIndex((share) => place <= share + 1e-9);
  return found < 0 ? policy.waves.length - 1 : found;
};

const runsConfiguration = (row: NodeRecord): boolean =>
  row.role === 'edge' || row.role === 'shield';

/**
 * The planner: assigns the stored description to every node, supersedes an older rollout and opens the new one.
 * It is the only creator of rollouts; what it returns is one write.
 */
export const planRollout = (
  control: ControlState,
  policy: RolloutPolicy,
): readonly TableMutation[] => {
  const stored = control.configuration;
  if (stored === undefined) return [];
  const goal = configVersionOf(stored.offer);
  const puts: TableMutation[] = [];
  const behind: (readonly [NodeId, NodeRecord])[] = [];
  for (const [node, row] of [...control.nodes].sort(([one], [two]) => (one < two ? -1 : 1))) {
    if (!runsConfiguration(row)) continue;
    // A node without a desired state is new: it gets its configuration at once.
    const next: NodeRecord = { ...row, assigned: goal, desired: row.desired ?? goal };
    if (!isSameVersion(row.assigned, goal) || row.desired === undefined)
      puts.push(putRecord(controlKeys.node(node), next));
    if (!isSameVersion(next.desired, goal)) behind.push([node, next]);
  }
  const running = activeRollout(control);
  if (running !== undefined && running.generation < goal.generation) {
    puts.push(
      putRecord(controlKeys.rollout(running.generation), {
        ...running,
        status: 'superseded',
        rev: nextSeq(running.rev),
      }),
    );
  }
  const known = control.rollouts.get(goal.generation);
  if (behind.length === 0 || (known !== undefined && isActive(known))) {
    const late =
      known === undefined
        ? []
        : behind.filter(
            ([node]) => !control.targets.has(controlKeys.target(goal.generation, node)),
          );
    puts.push(
      ...late.map(([node]) =>
        putRecord(
          controlKeys.target(goal.generation, node),
          newTarget(node, goal.generation, known?.wave ?? 0),
        ),
      ),
    );
    return puts;
  }
  const opened: Rollout = {
    ...goal,
    status: 'running',
    wave: 0,
    waves: policy.waves.length,
    policy,
    troubled: known?.troubled ?? false,
    rev: noSeq,
  };
  puts.push(putRecord(controlKeys.rollout(goal.generation), opened));
  behind.forEach(([node], index) => {
    puts.push(
      putRecord(
        controlKeys.target(goal.generation, node),
        newTarget(node, goal.generation, waveOf(index, behind.length, policy)),
      ),
    );
  });
  return puts;
};

const newTarget = (
  node: NodeId,
  generation: RolloutTarget['generation'],
  wave: number,
): RolloutTarget => ({
  node,
  generation,
  wave,
  status: 'pending',
  text: '',
  rev: noSeq,
});
