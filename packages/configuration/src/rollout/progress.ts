import { type Timestamp, nextSeq } from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  type NodeRecord,
  type Rollout,
  type RolloutTarget,
  controlKeys,
  isSameVersion,
  putRecord,
} from '../control-state/control-state.js';
import { activeRollout } from './planner.js';

/** How long a started target may take before it counts as failed. */
export const applyTimeoutMs = 5000;
/** How long a pending target that is not in touch is waited for before it is skipped. */
export const offlineGraceMs = 10_000;

/** When a target was first seen in its status: only a cache, made anew by a new primary. */
export type StatusSince = ReadonlyMap<
  string,
  { readonly status: RolloutTarget['status']; readonly at: Timestamp }
>;

const isFinished = (one: RolloutTarget): boolean =>
  one.status === 'succeeded' || one.status === 'failed' || one.status === 'skipped';
const isSettled = (one: RolloutTarget): boolean => isFinished(one) || one.status === 'verifying';

const nextTargetStatus = (
  target: RolloutTarget,
  row: NodeRecord | undefined,
  rollout: Rollout,
  age: number,
): readonly [RolloutTarget['status'], string] => {
  const goal = { generation: rollout.generation, hash: rollout.hash };
  if (row === undefined)
    return target.status === 'pending' && age > offlineGraceMs
      ? ['skipped', 'not known any more']
      : [target.status, target.text];
  const reported = row.reported;
  const runs =
    reported.phase === 'applied' &&
    reported.generation === goal.generation &&
    reported.hash === goal.hash;
  switch (target.status) {
    case 'pending':
      if (!row.online)
        return age > offlineGraceMs ? ['skipped', 'not in touch'] : ['pending', 'not in touch'];
      return target.wave <= rollout.wave
        ? ['in_progress', 'offered']
        : ['pending', 'waits for its wave'];
    case 'in_progress':
      if (runs) return ['verifying', 'health wait'];
      if (reported.failed?.hash === goal.hash && reported.failed.generation === goal.generation)
        return ['failed', reported.failed.text];
      return age > applyTimeoutMs
        ? ['failed', 'no report in time']
        : ['in_progress', reported.phase === 'applying' ? 'applying' : 'offered'];
    case 'verifying':
      if (!runs) return ['failed', 'no longer reports this generation'];
      if (!reported.health.healthy) return ['failed', `unfit: ${reported.health.text}`];
      return age >= rollout.policy.verifyMs ? ['succeeded', ''] : ['verifying', 'health wait'];
    case 'failed':
      // The mark stays shown, but a node that came round in the end is told as such.
      return runs && reported.health.healthy && target.text === 'no report in time'
        ? ['verifying', 'applied late']
        : ['failed', target.text];
    case 'skipped':
      return row.online ? ['in_progress', 'back in touch'] : ['skipped', target.text];
    case 'succeeded':
      return ['succeeded', ''];
  }
};

/** One tick of the engine: what it would write. Nothing is kept between ticks but the cache of first sights. */
export const tickRollout = (
  control: ControlState,
  seen: StatusSince,
  opened: Timestamp | undefined,
  now: Timestamp,
): {
  readonly puts: readonly TableMutation[];
  readonly seen: StatusSince;
  readonly opened: Timestamp | undefined;
} => {
  const rollout = activeRollout(control);
  if (rollout === undefined) return { puts: [], seen: new Map(), opened: undefined };
  const since = opened ?? now;
  const puts: TableMutation[] = [];
  const kept = new Map<
    string,
    { readonly status: RolloutTarget['status']; readonly at: Timestamp }
  >();
  const after: RolloutTarget[] = [];
  for (const [key, target] of control.targets) {
    if (target.generation !== rollout.generation) continue;
    const mark = seen.get(key);
    const at = mark?.status === target.status ? mark.at : now;
    const row = control.nodes.get(target.node);
    const [status, text] = nextTargetStatus(target, row, rollout, now - at);
    const moved = status !== target.status;
    kept.set(key, { status, at: moved ? now : at });
    const next: RolloutTarget = moved
      ? { ...target, status, text, rev: nextSeq(target.rev) }
      : target;
    after.push(next);
    if (moved) puts.push(putRecord(key, next));
    if (row !== undefined && status === 'in_progress' && moved) {
      const goal = { generation: rollout.generation, hash: rollout.hash };
      if (!isSameVersion(row.desired, goal))
        puts.push(putRecord(controlKeys.node(target.node), { ...row, desired: goal }));
    }
    if (row !== undefined && status === 'failed' && moved && row.failed !== rollout.hash) {
      puts.push(putRecord(controlKeys.node(target.node), { ...row, failed: rollout.hash }));
    }
  }
  const here = after.filter((one) => one.wave <= rollout.wave);
  const gate = now - since >= (rollout.wave + 1) * rollout.policy.gateMs;
  const last = rollout.wave >= rollout.waves - 1;
  const bad = after.filter((one) => one.status === 'failed').length;
  const troubled = after.length > 0 && bad / after.length > rollout.policy.threshold;
  // The threshold marks and never holds back; a gate opens when its time is over, whatever its wave reports.
  const wave = !last && (here.every(isSettled) || gate) ? rollout.wave + 1 : rollout.wave;
  const status =
    last && after.every(isFinished) ? (troubled ? 'failed' : 'completed') : rollout.status;
  if (wave !== rollout.wave || status !== rollout.status || troubled !== rollout.troubled) {
    puts.push(
      putRecord(controlKeys.rollout(rollout.generation), {
        ...rollout,
        wave,
        status,
        troubled,
        rev: nextSeq(rollout.rev),
      }),
    );
  }
  return { puts, seen: kept, opened: since };
};
