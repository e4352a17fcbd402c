/**
 * Bootstrap of a new fleet on stores with empty disks, requested by a registry.
 */

import { type Timestamp, nextSeq, noEpoch, noSeq, transition } from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, type Peer, send } from '@switchwheel/transport';
import { startBackupWrite } from '../log-write/disk-writes.js';
import type { StoreEffect } from '../state/events.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Handles a registry's bootstrap request: idempotent for one fleet, refused once the store belongs to another. */
export const onBootstrap = (
  state: StoreState,
  from: Peer,
  proposal: FrameOf<'bootstrap'>,
  now: Timestamp,
): StoreTransition => {
  const reply = (ok: boolean, text: string): StoreEffect =>
    send(from.address, { kind: 'bootstrapped', id: proposal.id, node: ownId(state), ok, text });
  const current = state.metadata;
  if (current?.fleet === proposal.fleet) return transition(state, reply(true, ''));
  if (current !== undefined && current.epoch > 0)
    return transition(state, reply(false, `belongs to the fleet ${current.fleet}`));
  if (!state.mayBootstrap)
    return transition(state, reply(false, 'no fleet is founded on this store'));
  if (state.phase === 'reading' || state.backupWrite !== undefined)
    return transition(state, reply(false, 'busy; found again'));
  const metadata: ClusterMetadata = {
    fleet: proposal.fleet,
    epoch: noEpoch,
    inSyncSet: proposal.stores.map((store) => store.node),
    stores: proposal.stores,
    electorate: proposal.electorate,
  };
  return startBackupWrite(state, {
    startedAt: now,
    purpose: 'bootstrap',
    replyTo: from.address,
    metadata,
    logPosition: { epoch: metadata.epoch, seq: nextSeq(noSeq) },
    puts: [],
    logPositionByKey: new Map(),
    commandId: proposal.id,
  });
};
