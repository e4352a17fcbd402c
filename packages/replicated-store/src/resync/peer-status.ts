/**
 * What a store remembers of a peer's status.
 */

import { type Timestamp, toTimestamp } from '@switchwheel/types';
import type { FrameOf, Peer } from '@switchwheel/transport';
import { primaryTimeoutMs } from '../leadership/candidacy.js';
import { notePrimary } from '../leadership/primary-sightings.js';
import { peerTimeoutMs } from '../leadership/replica-placement.js';
import type { PeerStatus } from '../state/peers.js';
import type { StoreState } from '../state/state.js';
import { isSameLogPosition } from '../state/table.js';

/** When a peer last came closer to the primary's state: its stamp or digests changed, or it is back. */
const lastProgressAt = (
  before: PeerStatus | undefined,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): Timestamp => {
  if (before === undefined || now - before.heardAt >= peerTimeoutMs) return now;
  const hasMoved =
    !isSameLogPosition(before.logPosition, status.stamp) ||
    before.isDiskFull !== status.full ||
    (status.digests.length > 0 &&
      status.digests.some((digest, range) => digest !== before.digests[range]));
  return hasMoved ? now : before.progressAt;
};

/** Takes a peer's status in. A primary that gave its lease up counts as silent at once. */
export const notePeerStatus = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): StoreState => {
  const before = state.peers.get(status.node);
  const peer: PeerStatus = {
    node: status.node,
    address: from.address,
    metadata: status.metadata,
    logPosition: status.stamp,
    isPrimary: status.primary,
    isDiskFull: status.full,
    isStopping: status.leaving === true,
    heardAt: now,
    digests: status.digests.length > 0 ? status.digests : (before?.digests ?? []),
    progressAt: lastProgressAt(before, status, now),
  };
  const noted =
    status.primary && status.metadata !== undefined
      ? notePrimary(state, status.metadata, now)
      : state;
  const gaveLeaseUp = !status.primary && before?.isPrimary === true;
  return {
    ...noted,
    primaryHeardAt: gaveLeaseUp ? toTimestamp(now - primaryTimeoutMs) : noted.primaryHeardAt,
    peers: new Map([...state.peers, [status.node, peer]]),
  };
};
