/**
 * Decides operators' requests to move a service to a release, and the progress that the primary records of them.
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
  elapsedOf,
  liveOriginsByRelease,
  mostCommonRelease,
} from '../releases/release-progress.js';
import type { StoreState } from '../state/state.js';

/** The release to go back to: the settled one, unless no origin of it is up any more and one of another is. */
const settledReleaseFor = (
  state: StoreState,
  known: ReleaseRollout,
  service: ServiceName,
  target: Release,
): Release | undefined => {
  const liveOrigins = liveOriginsByRelease(state, service);
  if (known.settled !== undefined && (known.settled === target || liveOrigins.has(known.settled)))
    return known.settled;
  return mostCommonRelease(liveOrigins, target) ?? known.settled;
};

/** Opens a rollout to a release, unless it was accepted before or another one is under way. */
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
  const known = control.releases.get(service) ?? settledRollout(service, undefined);
  const requested = requestReleaseRollout(
    known,
    settledReleaseFor(state, known, service, target),
    target,
    spanMs,
    elapsedOf(state, known, now),
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

/** Compare-and-set: a change counts only on the record that it was made from. */
export const decideRelease = (
  control: ControlState,
  next: ReleaseRollout,
): readonly TableMutation[] => {
  const known = control.releases.get(next.service);
  const isCurrent =
    known === undefined
      ? next.phase === 'none'
      : known.order === next.order &&
        (next.serial === known.serial + 1 ||
          (next.serial === known.serial && next.spentMs > known.spentMs));
  return isCurrent ? [putRecord(controlKeys.release(next.service), next)] : [];
};
