/**
 * Status that a store reports to its registry with heartbeats.
 */

import { type Timestamp, noGeneration, noSeq } from '@switchwheel/types';
import type { NodeStatus } from '@switchwheel/transport';
import type { HeartbeatContent } from '@switchwheel/membership';
import { isInSync, isPrimary } from '../leadership/candidacy.js';
import type { StoreState } from '../state/state.js';

const ownStatus = (state: StoreState, now: Timestamp): NodeStatus => ({
  generation: state.control.configuration?.offer.generation ?? noGeneration,
  phase: 'none',
  ready: state.phase === 'member' && (isPrimary(state, now) || isInSync(state)),
  health: {
    name: 'store',
    healthy: state.diskDamage === '' && state.diskFullAt === undefined,
    text:
      state.diskDamage !== ''
        ? state.diskDamage
        : state.diskFullAt === undefined
          ? ''
          : 'the disk is full',
    parts: [
      {
        name: isPrimary(state, now) ? 'primary' : isInSync(state) ? 'backup' : 'out of sync',
        healthy: isInSync(state),
        text: '',
        parts: [],
      },
    ],
  },
});

/** Content of a heartbeat; the last one before the process ends announces that the store is leaving. */
export const heartbeatContent = (
  state: StoreState,
  now: Timestamp,
  isLast: boolean,
): HeartbeatContent => ({
  report: ownStatus(state, now),
  heldLeases: [],
  latestPurge: noSeq,
  isLeaving: isLast,
});
