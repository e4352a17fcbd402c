import { type NodeId, nextSeq, noSeq } from '@switchwheel/types';
import type { Put } from '@switchwheel/transport';
import {
  type Control,
  type NodeRow,
  type Rollout,
  type Target,
  keyOf,
  placeOf,
  samePlace,
  write,
} from '../control/control.js';
import type { Policy } from '../description/schema.js';

const active = (one: Rollout): boolean => one.status === 'pending' || one.status === 'running';
export const activeRollout = (control: Control): Rollout | undefined =>
  [...control.rollouts.values()]
    .filter(active)
    .sort((one, two) => two.generation - one.generation)[0];

/** In which wave each node goes: the order is by name, the shares are the policy's. */
const waveOf = (index: number, total: number, policy: Policy): number => {
  const place = (index + 1) / total;
  const found = policy.waves.findIndex((share) => place <= share + 1e-9);
  return found < 0 ? policy.waves.length - 1 : found;
};

const isRunner = (row: NodeRow): boolean => row.role === 'edge' || row.role === 'shield';

/**
 * The planner: assigns the stored description to every node, supersedes an older rollout and opens the new one.
 * It is the only creator of rollouts; what it returns is one write.
 */
export const plan = (control: Control, policy: Policy): readonly Put[] => {
  const stored = control.stored;
  if (stored === undefined) return [];
  const goal = placeOf(stored.offer);
  const puts: Put[] = [];
  const behind: (readonly [NodeId, NodeRow])[] = [];
  for (const [node, row] of [...control.nodes].sort(([one], [two]) => (one < two ? -1 : 1))) {
    if (!isRunner(row)) continue;
    // A node without a desired state is new: it gets its configuration at once.
    const next: NodeRow = { ...row, assigned: goal, desired: row.desired ?? goal };
    if (!samePlace(row.assigned, goal) || row.desired === undefined)
      puts.push(write(keyOf.node(node), next));
    if (!samePlace(next.desired, goal)) behind.push([node, next]);
  }
  const running = activeRollout(control);
  if (running !== undefined && running.generation < goal.generation) {
    puts.push(
      write(keyOf.rollout(running.generation), {
        ...running,
        status: 'superseded',
        rev: nextSeq(running.rev),
      }),
    );
  }
  const known = control.rollouts.get(goal.generation);
  if (behind.length === 0 || (known !== undefined && active(known))) {
    const late =
      known === undefined
        ? []
        : behind.filter(([node]) => !control.targets.has(keyOf.target(goal.generation, node)));
    puts.push(
      ...late.map(([node]) =>
        write(
          keyOf.target(goal.generation, node),
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
  puts.push(write(keyOf.rollout(goal.generation), opened));
  behind.forEach(([node], index) => {
    puts.push(
      write(
        keyOf.target(goal.generation, node),
        newTarget(node, goal.generation, waveOf(index, behind.length, policy)),
      ),
    );
  });
  return puts;
};

const newTarget = (node: NodeId, generation: Target['generation'], wave: number): Target => ({
  node,
  generation,
  wave,
  status: 'pending',
  text: '',
  rev: noSeq,
});
