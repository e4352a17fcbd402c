import type { Timestamp, Release, ServiceName } from '@switchwheel/types';
import type { Put } from '@switchwheel/transport';
import {
  type Control,
  type ReleaseOrder,
  keyOf,
  order,
  releaseSettings,
  settledOn,
  write,
} from '@switchwheel/configuration';
import { mostStanding, spentOf, standingOf } from '../release/release.js';
import type { Command, Store } from '../state/state.js';

/** What an order comes to: an answer, and the record it opens. */
interface OrderDecision {
  readonly status: 200 | 409;
  readonly body: object;
  readonly puts: readonly Put[];
}

/** The release to go back to: the settled one, unless none of it stands any more and another does. */
const settledFor = (
  state: Store,
  known: ReleaseOrder,
  service: ServiceName,
  target: Release,
): Release | undefined => {
  const standing = standingOf(state, service);
  if (known.settled !== undefined && (known.settled === target || standing.has(known.settled)))
    return known.settled;
  return mostStanding(standing, target) ?? known.settled;
};

/** Opens an order to move a service to a release, unless it stands already or another one is under way. */
export const decideOrder = (
  state: Store,
  control: Control,
  command: Extract<Command, { kind: 'order' }>,
  now: Timestamp,
): OrderDecision => {
  const { service, target, spanMs } = command;
  const known = control.releases.get(service) ?? settledOn(service, undefined);
  const ordered = order(
    known,
    settledFor(state, known, service, target),
    target,
    spanMs,
    spentOf(state, known, now),
    (state.settings.releases ?? releaseSettings).repeatMs,
  );
  const accepted = { kind: 'accepted', service, target };
  switch (ordered.kind) {
    case 'busy':
      return {
        status: 409,
        body: {
          kind: 'stale',
          text: `the order to ${ordered.target ?? 'another release'} is under way`,
        },
        puts: [],
      };
    case 'stands':
      return { status: 200, body: { ...accepted, order: ordered.order }, puts: [] };
    case 'opened':
      return {
        status: 200,
        body: { ...accepted, order: ordered.order.order },
        puts: [write(keyOf.release(service), ordered.order)],
      };
  }
};

/** Compare-and-set: a change counts only on the record that it was made from. */
export const decideRelease = (control: Control, next: ReleaseOrder): readonly Put[] => {
  const known = control.releases.get(next.service);
  const fits =
    known === undefined
      ? next.phase === 'none'
      : known.order === next.order &&
        (next.serial === known.serial + 1 ||
          (next.serial === known.serial && next.spentMs > known.spentMs));
  return fits ? [write(keyOf.release(next.service), next)] : [];
};
