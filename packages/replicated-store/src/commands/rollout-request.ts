/**
 * Decides operators' rollout requests for releases, and the progress records of release rollouts.
 */

import type { Release, Seq, ServiceName, Timestamp } from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  type ReleaseRollout,
  controlKeys,
  putRecord,
  releaseSettings,
  requestReleaseRollout,
  settledRollout,
} from '@switchwheel/configuration';
import type { Command } from './command.js';
import { type Decision, commandReply, earlierReply, noChange, rememberReply } from './decision.js';
import {
  rolloutElapsedMs,
  liveOriginsByRelease,
  mostCommonRelease,
} from '../releases/release-progress.js';
import type { StoreState } from '../state/state.js';

/** Release to roll back to: the settled one, unless none of its origins is up and an origin of another release is. */
const settledReleaseFor = (
  state: StoreState,
  current: ReleaseRollout,
  service: ServiceName,
  target: Release,
): Release | undefined => {
  const liveOrigins = liveOriginsByRelease(state, service);
  if (
    current.settled !== undefined &&
    (current.settled === target || liveOrigins.has(current.settled))
  )
    return current.settled;
  return mostCommonRelease(liveOrigins, target) ?? current.settled;
};

/** Decides a rollout request: opens the rollout, unless it was accepted before or another one is in progress. */
export const decideRolloutRequest = (
  state: StoreState,
  control: ControlState,
  command: Extract<Command, { kind: 'requestRollout' }>,
  seq: Seq,
  now: Timestamp,
): Decision => {
  const earlier = earlierReply(control, command, seq);
  if (earlier !== undefined) return earlier;
  const { service, target, spanMs } = command;
  const current = control.releases.get(service) ?? settledRollout(service, undefined);
  const requested = requestReleaseRollout(
    current,
    settledReleaseFor(state, current, service, target),
    target,
    spanMs,
    rolloutElapsedMs(state, current, now),
    (state.settings.releases ?? releaseSettings).duplicateWindowMs,
  );
  if (requested.kind === 'conflict')
    return {
      ...noChange,
      immediateReplies: [
        commandReply(command, 409, {
          kind: 'stale',
          text: `the order to ${requested.target ?? 'another release'} is under way`,
        }),
      ],
    };
  const isOpened = requested.kind === 'opened';
  const reply = commandReply(command, 200, {
    kind: 'accepted',
    service,
    target,
    order: isOpened ? requested.rollout.order : requested.rolloutNumber,
  });
  return {
    ...noChange,
    repliesAfterWrite: [reply],
    puts: [
      ...(isOpened ? [putRecord(controlKeys.release(service), requested.rollout)] : []),
      ...rememberReply(control, reply, seq),
    ],
  };
};

/** Compare-and-set: accepts a progress record only if it is based on the current one. */
export const decideRelease = (
  control: ControlState,
  next: ReleaseRollout,
): readonly TableMutation[] => {
  const current = control.releases.get(next.service);
  const isCurrent =
    current === undefined
      ? next.phase === 'none'
      : current.order === next.order &&
        (next.serial === current.serial + 1 ||
          (next.serial === current.serial && next.spentMs > current.spentMs));
  return isCurrent ? [putRecord(controlKeys.release(next.service), next)] : [];
};
