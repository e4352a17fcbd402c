import { type Timestamp, nextSeq } from '@switchwheel/types';
import type { Put } from '@switchwheel/transport';
import {
  type Control,
  type NodeRow,
  type Rollout,
  type Target,
  keyOf,
  samePlace,
  write,
} from '../control/control.js';
import { activeRollout } from './planner.js';

/** How long a started target may take before it counts as failed. */
export const applyTimeout = 5000;
/** How long a pending target that is not in touch is waited for before it is skipped. */
export const graceSpan = 10_000;

/** When a target was first seen in its status: only a cache, made anew by a new primary. */
export type Seen = ReadonlyMap<
  string,
  { readonly status: Target['status']; readonly at: Timestamp }
>;

const done = (one: Target): boolean =>
  one.status === 'succeeded' || one.status === 'failed' || one.status === 'skipped';
const settled = (one: Target): boolean => done(one) || one.status === 'verifying';

const judge = (
  target: Target,
  row: NodeRow | undefined,
  rollout: Rollout,
  age: number,
): readonly [Target['status'], string] => {
  const goal = { generation: rollout.generation, hash: rollout.hash };
  if (row === undefined)
    return target.status === 'pending' && age > graceSpan
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
        return age > graceSpan ? ['skipped', 'not in touch'] : ['pending', 'not in touch'];
      return target.wave <= rollout.wave
        ? ['in_progress', 'offered']
        : ['pending', 'waits for its wave'];
    case 'in_progress':
      if (runs) return ['verifying', 'health wait'];
      if (reported.failed?.hash === goal.hash && reported.failed.generation === goal.generation)
        return ['failed', reported.failed.text];
      return age > applyTimeout
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
export const turn = (
  control: Control,
  seen: Seen,
  opened: Timestamp | undefined,
  now: Timestamp,
): {
  readonly puts: readonly Put[];
  readonly seen: Seen;
  readonly opened: Timestamp | undefined;
} => {
  const rollout = activeRollout(control);
  if (rollout === undefined) return { puts: [], seen: new Map(), opened: undefined };
  const since = opened ?? now;
  const puts: Put[] = [];
  const kept = new Map<string, { readonly status: Target['status']; readonly at: Timestamp }>();
  const after: Target[] = [];
  for (const [key, target] of control.targets) {
    if (target.generation !== rollout.generation) continue;
    const mark = seen.get(key);
    const at = mark?.status === target.status ? mark.at : now;
    const row = control.nodes.get(target.node);
    const [status, text] = judge(target, row, rollout, now - at);
    const moved = status !== target.status;
    kept.set(key, { status, at: moved ? now : at });
    const next: Target = moved ? { ...target, status, text, rev: nextSeq(target.rev) } : target;
    after.push(next);
    if (moved) puts.push(write(key, next));
    if (row !== undefined && status === 'in_progress' && moved) {
      const goal = { generation: rollout.generation, hash: rollout.hash };
      if (!samePlace(row.desired, goal))
        puts.push(write(keyOf.node(target.node), { ...row, desired: goal }));
    }
    if (row !== undefined && status === 'failed' && moved && row.failed !== rollout.hash) {
      puts.push(write(keyOf.node(target.node), { ...row, failed: rollout.hash }));
    }
  }
  const here = after.filter((one) => one.wave <= rollout.wave);
  const gate = now - since >= (rollout.wave + 1) * rollout.policy.gateMs;
  const last = rollout.wave >= rollout.waves - 1;
  const bad = after.filter((one) => one.status === 'failed').length;
  const troubled = after.length > 0 && bad / after.length > rollout.policy.threshold;
  // The threshold marks and never holds back; a gate opens when its time is over, whatever its wave reports.
  const wave = !last && (here.every(settled) || gate) ? rollout.wave + 1 : rollout.wave;
  const status = last && after.every(done) ? (troubled ? 'failed' : 'completed') : rollout.status;
  if (wave !== rollout.wave || status !== rollout.status || troubled !== rollout.troubled) {
    puts.push(
      write(keyOf.rollout(rollout.generation), {
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
