/**
 * The progress of a rollout: targets move by what their nodes report and by time, waves follow each
 * other, and all that changes is written. Starting a rollout is `planner.ts`'s part.
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

/** How long a started target may take before it counts as failed. */
export const applyTimeoutMs = 5000;
/** How long a pending target whose node is offline is waited for before it is skipped. */
export const offlineGraceMs = 10_000;

interface StatusAt {
  readonly status: RolloutTarget['status'];
  readonly at: Timestamp;
}

/** When each target was first seen in its status, by its key: only a cache. */
export type StatusSince = ReadonlyMap<string, StatusAt>;

const isFinished = ({ status }: RolloutTarget): boolean =>
  status === 'succeeded' || status === 'failed' || status === 'skipped';
const isSettled = (target: RolloutTarget): boolean =>
  isFinished(target) || target.status === 'verifying';

/** Whether a node reports that it runs the configuration of a rollout. */
const hasApplied = ({ reported }: NodeRecord, { generation, hash }: Rollout): boolean =>
  reported.phase === 'applied' && reported.generation === generation && reported.hash === hash;

/** The text of a node's failure to apply the configuration of a rollout, if it reports one. */
const reportedFailure = (
  { reported: { failed } }: NodeRecord,
  { generation, hash }: Rollout,
): string | undefined =>
  failed?.hash === hash && failed.generation === generation ? failed.text : undefined;

/** A target's next status and its text, by its node's report and how long it has had its status. */
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
  const runs = hasApplied(record, rollout);
  const failure = reportedFailure(record, rollout);
  switch (target.status) {
    case 'pending':
      if (!record.online)
        return ageMs > offlineGraceMs ? ['skipped', 'not in touch'] : ['pending', 'not in touch'];
      return target.wave <= rollout.wave
        ? ['in_progress', 'offered']
        : ['pending', 'waits for its wave'];
    case 'in_progress':
      if (runs) return ['verifying', 'health wait'];
      if (failure !== undefined) return ['failed', failure];
      return ageMs > applyTimeoutMs
        ? ['failed', 'no report in time']
        : ['in_progress', reported.phase === 'applying' ? 'applying' : 'offered'];
    case 'verifying':
      if (!runs) return ['failed', 'no longer reports this generation'];
      if (!reported.health.healthy) return ['failed', `unfit: ${reported.health.text}`];
      return ageMs >= rollout.policy.verifyMs ? ['succeeded', ''] : ['verifying', 'health wait'];
    case 'failed':
      // A failure stays, but a node that only reported too late is verified after all.
      return runs && reported.health.healthy && target.text === 'no report in time'
        ? ['verifying', 'applied late']
        : ['failed', target.text];
    case 'skipped':
      return record.online ? ['in_progress', 'back in touch'] : ['skipped', target.text];
    case 'succeeded':
      return ['succeeded', ''];
  }
};

/** What a tick writes, and what the next tick needs. */
export interface RolloutProgress {
  readonly puts: readonly TableMutation[];
  readonly statusSince: StatusSince;
  /** When the active rollout was first seen; undefined without one. */
  readonly openedAt: Timestamp | undefined;
}

interface TargetProgress {
  readonly target: RolloutTarget;
  readonly since: Timestamp;
  readonly puts: readonly TableMutation[];
}

/** What a node's record becomes when its target starts or fails. */
const nodePuts = (
  record: NodeRecord | undefined,
  target: RolloutTarget,
  { generation, hash }: Rollout,
): readonly TableMutation[] => {
  if (record === undefined) return [];
  const key = controlKeys.node(target.node);
  const goal = { generation, hash };
  if (target.status === 'in_progress' && !isSameVersion(record.desired, goal))
    return [putRecord(key, { ...record, desired: goal })];
  if (target.status === 'failed' && record.failed !== hash)
    return [putRecord(key, { ...record, failed: hash })];
  return [];
};

const progressTarget = (
  control: ControlState,
  rollout: Rollout,
  [key, target]: readonly [string, RolloutTarget],
  seen: StatusSince,
  now: Timestamp,
): TargetProgress => {
  const mark = seen.get(key);
  const since = mark?.status === target.status ? mark.at : now;
  const record = control.nodes.get(target.node);
  const [status, text] = nextTargetStatus(target, record, rollout, now - since);
  if (status === target.status) return { target, since, puts: [] };
  const next: RolloutTarget = { ...target, status, text, rev: nextSeq(target.rev) };
  const puts = [putRecord(key, next), ...nodePuts(record, next, rollout)];
  return { target: next, since: now, puts };
};

/**
 * The rollout after its targets have moved. The failure threshold only marks it and never holds it
 * back; a gate opens when its time is over, whatever its wave reports.
 */
const progressRollout = (
  rollout: Rollout,
  targets: readonly RolloutTarget[],
  ageMs: number,
): Rollout => {
  const startedTargets = targets.filter((target) => target.wave <= rollout.wave);
  const isGateOver = ageMs >= (rollout.wave + 1) * rollout.policy.gateMs;
  const isLastWave = rollout.wave >= rollout.waves - 1;
  const failed = targets.filter((target) => target.status === 'failed').length;
  const troubled = targets.length > 0 && failed / targets.length > rollout.policy.threshold;
  const startsWave = !isLastWave && (startedTargets.every(isSettled) || isGateOver);
  const wave = startsWave ? rollout.wave + 1 : rollout.wave;
  const isEnded = isLastWave && targets.every(isFinished);
  const endStatus = troubled ? 'failed' : 'completed';
  return { ...rollout, wave, status: isEnded ? endStatus : rollout.status, troubled };
};

/**
 * Moves the active rollout on. Nothing is kept between ticks but the times since when targets have
 * their statuses: a new primary begins them anew.
 */
export const tickRollout = (
  control: ControlState,
  seen: StatusSince,
  opened: Timestamp | undefined,
  now: Timestamp,
): RolloutProgress => {
  const rollout = activeRollout(control);
  if (rollout === undefined) return { puts: [], statusSince: new Map(), openedAt: undefined };
  const since = opened ?? now;
  const puts: TableMutation[] = [];
  const nextSeen = new Map<string, StatusAt>();
  const targets: RolloutTarget[] = [];
  for (const entry of control.targets) {
    const [key, { generation }] = entry;
    if (generation !== rollout.generation) continue;
    const progress = progressTarget(control, rollout, entry, seen, now);
    nextSeen.set(key, { status: progress.target.status, at: progress.since });
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
  return { puts, statusSince: nextSeen, openedAt: since };
};
