/**
 * Record of the last status of each peer store.
 */

import { type Timestamp, toTimestamp } from '@switchwheel/types';
import type { FrameOf, Peer } from '@switchwheel/transport';
import { primaryTimeoutMs } from '../leadership/candidacy.js';
import { observePrimary } from '../leadership/primary-sightings.js';
import { peerTimeoutMs } from '../leadership/replica-placement.js';
import type { PeerStatus } from '../state/peers.js';
import type { StoreState } from '../state/state.js';
import { isSameLogPosition } from '../state/table.js';

/** Time of a peer's last resync progress: its log position or digests changed, or it became reachable again. */
const lastProgressAt = (
  before: PeerStatus | undefined,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): Timestamp => {
  if (before === undefined || now - before.heardAt >= peerTimeoutMs) return now;
  const hasProgressed =
    !isSameLogPosition(before.logPosition, status.stamp) ||
    before.isDiskFull !== status.full ||
    (status.digests.length > 0 &&
      status.digests.some((digest, range) => digest !== before.digests[range]));
  return hasProgressed ? now : before.progressAt;
};

/** Records a peer's status. A primary that released its lease counts as silent at once. */
export const recordPeerStatus = (
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
  const observed =
    status.primary && status.metadata !== undefined
      ? observePrimary(state, status.metadata, now)
      : state;
  const hasReleasedLease = !status.primary && before?.isPrimary === true;
  return {
    ...observed,
    primaryHeardAt: hasReleasedLease
      ? toTimestamp(now - primaryTimeoutMs)
      : observed.primaryHeardAt,
    peers: new Map([...state.peers, [status.node, peer]]),
  };
};
