/**
 * Decides operators' requests to move a service to a release, and the progress that the primary records of them.
 */

import type { Release, ServiceName, Timestamp } from '@switchwheel/types';
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
import {
  elapsedOf,
  liveOriginsByRelease,
  mostCommonRelease,
} from '../releases/release-progress.js';
import type { StoreState } from '../state/state.js';

/** What an order comes to: an answer, and the record it opens. */
interface RolloutRequestDecision {
  readonly status: 200 | 409;
  readonly body: object;
  readonly puts: readonly TableMutation[];
}

/** The release to go back to: the settled one, unless none of it stands any more and another does. */
const settledReleaseFor = (
  state: StoreState,
  known: ReleaseRollout,
  service: ServiceName,
  target: Release,
): Release | undefined => {
  const standing = liveOriginsByRelease(state, service);
  if (known.settled !== undefined && (known.settled === target || standing.has(known.settled)))
    return known.settled;
  return mostCommonRelease(standing, target) ?? known.settled;
};

/** Opens an order to move a service to a release, unless it stands already or another one is under way. */
export const decideRolloutRequest = (
  state: StoreState,
  control: ControlState,
  command: Extract<Command, { kind: 'requestRollout' }>,
  now: Timestamp,
): RolloutRequestDecision => {
  const { service, target, spanMs } = command;
  const known = control.releases.get(service) ?? settledRollout(service, undefined);
  const ordered = requestReleaseRollout(
    known,
    settledReleaseFor(state, known, service, target),
    target,
    spanMs,
    elapsedOf(state, known, now),
    (state.settings.releases ?? releaseSettings).duplicateWindowMs,
  );
  const accepted = { kind: 'accepted', service, target };
  switch (ordered.kind) {
    case 'conflict':
      return {
        status: 409,
        body: {
          kind: 'stale',
          text: `the order to ${ordered.target ?? 'another release'} is under way`,
        },
        puts: [],
      };
    case 'alreadyAccepted':
      return { status: 200, body: { ...accepted, order: ordered.order }, puts: [] };
    case 'opened':
      return {
        status: 200,
        body: { ...accepted, order: ordered.order.order },
        puts: [putRecord(controlKeys.release(service), ordered.order)],
      };
  }
};

/** Compare-and-set: a change counts only on the record that it was made from. */
export const decideRelease = (
  control: ControlState,
  next: ReleaseRollout,
): readonly TableMutation[] => {
  const known = control.releases.get(next.service);
  const fits =
    known === undefined
      ? next.phase === 'none'
      : known.order === next.order &&
        (next.serial === known.serial + 1 ||
          (next.serial === known.serial && next.spentMs > known.spentMs));
  return fits ? [putRecord(controlKeys.release(next.service), next)] : [];
};
