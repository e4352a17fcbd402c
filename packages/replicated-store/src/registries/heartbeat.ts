/**
 * What a store reports of itself to its registry.
 */

import { type Timestamp, noGeneration, noSeq } from '@switchwheel/types';
import type { NodeStatus } from '@switchwheel/transport';
import type { HeartbeatContent } from '@switchwheel/membership';
import { isInSync, isPrimary } from '../leadership/candidacy.js';
import type { StoreState } from '../state/state.js';

const ownReport = (state: StoreState, now: Timestamp): NodeStatus => ({
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

/** The content of a heartbeat; the last one before the end says that the store leaves. */
export const heartbeatContent = (
  state: StoreState,
  now: Timestamp,
  isLast: boolean,
): HeartbeatContent => ({
  report: ownReport(state, now),
  heldLeases: [],
  latestPurge: noSeq,
  isLeaving: isLast,
});
