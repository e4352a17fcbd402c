/**
 * Rollout planner: when a configuration is stored, assigns it to every node, supersedes an older
 * rollout and starts a new one. Only the planner creates rollouts; `progress.ts` advances them.
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

/** Tolerance for rounding errors in comparisons of decimal shares. */
const shareTolerance = 1e-9;

const isActive = ({ status }: Rollout): boolean => status === 'pending' || status === 'running';

/** The active rollout, that of the newest generation if there are several. */
export const activeRollout = (control: ControlState): Rollout | undefined =>
  [...control.rollouts.values()]
    .filter(isActive)
    .sort((left, right) => right.generation - left.generation)[0];

/** Wave of the target at an index among a rollout's targets, which are sorted by node name. */
const waveOf = (index: number, total: number, { waves }: RolloutPolicy): number => {
  const reachedShare = (index + 1) / total;
  const wave = waves.findIndex((share) => reachedShare <= share + shareTolerance);
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

/** Assigns a version to all nodes that run configurations, and lists the nodes whose desired version differs. */
const assign = (
  control: ControlState,
  version: ConfigVersion,
): { readonly puts: readonly TableMutation[]; readonly outdatedNodes: readonly NodeId[] } => {
  const puts: TableMutation[] = [];
  const outdatedNodes: NodeId[] = [];
  const byName = [...control.nodes].sort(([left], [right]) => (left < right ? -1 : 1));
  for (const [node, record] of byName) {
    if (!runsConfiguration(record)) continue;
    // A new node has no desired version yet and gets the configuration without a rollout.
    const next: NodeRecord = { ...record, assigned: version, desired: record.desired ?? version };
    if (!isSameVersion(record.assigned, version) || record.desired === undefined)
      puts.push(putRecord(controlKeys.node(node), next));
    if (!isSameVersion(next.desired, version)) outdatedNodes.push(node);
  }
  return { puts, outdatedNodes };
};

const supersede = (control: ControlState, version: ConfigVersion): readonly TableMutation[] => {
  const running = activeRollout(control);
  if (running === undefined || running.generation >= version.generation) return [];
  const superseded = { ...running, status: 'superseded', rev: nextSeq(running.rev) };
  return [putRecord(controlKeys.rollout(running.generation), superseded)];
};

/** Adds nodes that joined during a rollout to its current wave. */
const joinRollout = (
  control: ControlState,
  { generation, wave }: Rollout,
  outdatedNodes: readonly NodeId[],
): readonly TableMutation[] =>
  outdatedNodes
    .filter((node) => !control.targets.has(controlKeys.target(generation, node)))
    .map((node) => newTarget(node, generation, wave));

const startRollout = (
  version: ConfigVersion,
  policy: RolloutPolicy,
  before: Rollout | undefined,
  outdatedNodes: readonly NodeId[],
): readonly TableMutation[] => {
  const { generation } = version;
  const rollout: Rollout = {
    ...version,
    status: 'running',
    wave: 0,
    waves: policy.waves.length,
    policy,
    troubled: before?.troubled ?? false,
    rev: noSeq,
  };
  const targets = outdatedNodes.map((node, index) =>
    newTarget(node, generation, waveOf(index, outdatedNodes.length, policy)),
  );
  return [putRecord(controlKeys.rollout(generation), rollout), ...targets];
};

/** Mutations for the stored configuration: assignments, and a rollout if nodes have to change. */
export const planRollout = (
  control: ControlState,
  policy: RolloutPolicy,
): readonly TableMutation[] => {
  if (control.configuration === undefined) return [];
  const version = configVersionOf(control.configuration.offer);
  const { puts, outdatedNodes } = assign(control, version);
  const superseding = supersede(control, version);
  const existingRollout = control.rollouts.get(version.generation);
  if (existingRollout !== undefined && (outdatedNodes.length === 0 || isActive(existingRollout)))
    return [...puts, ...superseding, ...joinRollout(control, existingRollout, outdatedNodes)];
  if (outdatedNodes.length === 0) return [...puts, ...superseding];
  return [
    ...puts,
    ...superseding,
    ...startRollout(version, policy, existingRollout, outdatedNodes),
  ];
};
