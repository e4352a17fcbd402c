/**
 * Progress of a rollout: targets change their status by their nodes' reports and by timeouts, waves
 * start one after another, and every change is written. `planner.ts` creates rollouts.
 */

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

/** Time after its start within which a target must report the configuration as applied. */
export const applyTimeoutMs = 5000;
/** Time after which a pending target whose node is offline is skipped. */
export const offlineGraceMs = 10_000;

interface StatusAt {
  readonly status: RolloutTarget['status'];
  readonly at: Timestamp;
}

/** Time since which each target has its status, by the target's key; kept in memory only. */
export type StatusSince = ReadonlyMap<string, StatusAt>;

const isFinished = ({ status }: RolloutTarget): boolean =>
  status === 'succeeded' || status === 'failed' || status === 'skipped';
const isSettled = (target: RolloutTarget): boolean =>
  isFinished(target) || target.status === 'verifying';

/** Whether a node reports that it runs the configuration of a rollout. */
const hasApplied = ({ reported }: NodeRecord, { generation, hash }: Rollout): boolean =>
  reported.phase === 'applied' && reported.generation === generation && reported.hash === hash;

/** Error text of a node that reports that it could not apply the configuration of a rollout. */
const reportedFailure = (
  { reported: { failed } }: NodeRecord,
  { generation, hash }: Rollout,
): string | undefined =>
  failed?.hash === hash && failed.generation === generation ? failed.text : undefined;

/** Next status of a target and its text, by its node's report and the age of its current status. */
const nextTargetStatus = (
  target: RolloutTarget,
  record: NodeRecord | undefined,
  rollout: Rollout,
  ageMs: number,
): readonly [RolloutTarget['status'], string] => {
  if (record === undefined)
    return target.status === 'pending' && ageMs > offlineGraceMs
      ? ['skipped', 'not known any more']
      : [target.status, target.text];
  const { reported } = record;
  const isApplied = hasApplied(record, rollout);
  const failure = reportedFailure(record, rollout);
  switch (target.status) {
    case 'pending':
      if (!record.online)
        return ageMs > offlineGraceMs ? ['skipped', 'not in touch'] : ['pending', 'not in touch'];
      return target.wave <= rollout.wave
        ? ['in_progress', 'offered']
        : ['pending', 'waits for its wave'];
    case 'in_progress':
      if (isApplied) return ['verifying', 'health wait'];
      if (failure !== undefined) return ['failed', failure];
      return ageMs > applyTimeoutMs
        ? ['failed', 'no report in time']
        : ['in_progress', reported.phase === 'applying' ? 'applying' : 'offered'];
    case 'verifying':
      if (!isApplied) return ['failed', 'no longer reports this generation'];
      if (!reported.health.healthy) return ['failed', `unfit: ${reported.health.text}`];
      return ageMs >= rollout.policy.verifyMs ? ['succeeded', ''] : ['verifying', 'health wait'];
    case 'failed':
      // A failure is final, except that a node that applied the configuration after the timeout is verified.
      return isApplied && reported.health.healthy && target.text === 'no report in time'
        ? ['verifying', 'applied late']
        : ['failed', target.text];
    case 'skipped':
      return record.online ? ['in_progress', 'back in touch'] : ['skipped', target.text];
    case 'succeeded':
      return ['succeeded', ''];
  }
};

/** Result of a tick: mutations to write, and the times that the next tick needs. */
export interface RolloutProgress {
  readonly puts: readonly TableMutation[];
  readonly statusSince: StatusSince;
  /** Time at which this primary first saw the active rollout; undefined if there is none. */
  readonly openedAt: Timestamp | undefined;
}

interface TargetProgress {
  readonly target: RolloutTarget;
  readonly since: Timestamp;
  readonly puts: readonly TableMutation[];
}

/** Changes of a node's record when its target starts or fails. */
const nodePuts = (
  record: NodeRecord | undefined,
  target: RolloutTarget,
  { generation, hash }: Rollout,
): readonly TableMutation[] => {
  if (record === undefined) return [];
  const key = controlKeys.node(target.node);
  const version = { generation, hash };
  if (target.status === 'in_progress' && !isSameVersion(record.desired, version))
    return [putRecord(key, { ...record, desired: version })];
  if (target.status === 'failed' && record.failed !== hash)
    return [putRecord(key, { ...record, failed: hash })];
  return [];
};

const progressTarget = (
  control: ControlState,
  rollout: Rollout,
  [key, target]: readonly [string, RolloutTarget],
  statusSince: StatusSince,
  now: Timestamp,
): TargetProgress => {
  const previous = statusSince.get(key);
  const since = previous?.status === target.status ? previous.at : now;
  const record = control.nodes.get(target.node);
  const [status, text] = nextTargetStatus(target, record, rollout, now - since);
  if (status === target.status) return { target, since, puts: [] };
  const next: RolloutTarget = { ...target, status, text, rev: nextSeq(target.rev) };
  const puts = [putRecord(key, next), ...nodePuts(record, next, rollout)];
  return { target: next, since: now, puts };
};

/**
 * Advances the rollout itself, once its targets are advanced. Exceeding the failure threshold only marks the rollout and
 * does not stop it; the next wave starts at the latest when the gate time is over, whatever the nodes
 * report.
 */
const progressRollout = (
  rollout: Rollout,
  targets: readonly RolloutTarget[],
  ageMs: number,
): Rollout => {
  const startedTargets = targets.filter((target) => target.wave <= rollout.wave);
  const isGateTimeOver = ageMs >= (rollout.wave + 1) * rollout.policy.gateMs;
  const isLastWave = rollout.wave >= rollout.waves - 1;
  const failed = targets.filter((target) => target.status === 'failed').length;
  const troubled = targets.length > 0 && failed / targets.length > rollout.policy.threshold;
  const startsWave = !isLastWave && (startedTargets.every(isSettled) || isGateTimeOver);
  const wave = startsWave ? rollout.wave + 1 : rollout.wave;
  const isEnded = isLastWave && targets.every(isFinished);
  const endStatus = troubled ? 'failed' : 'completed';
  return { ...rollout, wave, status: isEnded ? endStatus : rollout.status, troubled };
};

/**
 * Advances the active rollout. The only state between ticks is the time since which the rollout is
 * known and each target has its status; a new primary restarts these times.
 */
export const tickRollout = (
  control: ControlState,
  statusSince: StatusSince,
  openedAt: Timestamp | undefined,
  now: Timestamp,
): RolloutProgress => {
  const rollout = activeRollout(control);
  if (rollout === undefined) return { puts: [], statusSince: new Map(), openedAt: undefined };
  const since = openedAt ?? now;
  const puts: TableMutation[] = [];
  const nextStatusSince = new Map<string, StatusAt>();
  const targets: RolloutTarget[] = [];
  for (const entry of control.targets) {
    const [key, { generation }] = entry;
    if (generation !== rollout.generation) continue;
    const progress = progressTarget(control, rollout, entry, statusSince, now);
    nextStatusSince.set(key, { status: progress.target.status, at: progress.since });
    targets.push(progress.target);
    puts.push(...progress.puts);
  }
  const next = progressRollout(rollout, targets, now - since);
  const hasChanged =
    next.wave !== rollout.wave ||
    next.status !== rollout.status ||
    next.troubled !== rollout.troubled;
  if (hasChanged)
    puts.push(
      putRecord(controlKeys.rollout(rollout.generation), {
        ...next,
        rev: nextSeq(rollout.rev),
      }),
    );
  return { puts, statusSince: nextStatusSince, openedAt: since };
};
