/**
 * State machine of a store: dispatches events and frames to the modules that handle them. Commands queued by an
 * event are written at the end of that event.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { type Frame, type Peer, log } from '@switchwheel/transport';
import { applyHeartbeatReply, applyMemberList, onRegistryLost } from '@switchwheel/membership';
import { onChunkRequest } from './commands/chunk-requests.js';
import { onChunk, onCompiled } from './commands/configuration-upload.js';
import { onOperatorCommand } from './commands/operator-commands.js';
import { enqueue } from './commands/queue.js';
import { isPrimary } from './leadership/candidacy.js';
import { defaultStopGraceMs, onStopRequested } from './leadership/graceful-stop.js';
import { onVote } from './leadership/lease.js';
import { onBackupWriteFailed, onBackupWriteSynced, onReplicate } from './log-write/backup-write.js';
import {
  onPrimaryWriteFailed,
  onPrimaryWriteSynced,
  onReplicated,
  startWrite,
} from './log-write/primary-write.js';
import { onDeparture } from './origins/origin-records.js';
import { onSubscribe } from './registries/subscriptions.js';
import { onTally } from './releases/release-progress.js';
import { onBootstrap } from './resync/bootstrap.js';
import { onRangeListing, onResyncEntries } from './resync/learner-resync.js';
import { onFetchEntries, onPeerStatus } from './resync/primary-resync.js';
import { onDiskRead } from './state/disk-recovery.js';
import type { StoreEvent } from './state/events.js';
import { checkInvariants } from './state/invariants.js';
import type { StoreState } from './state/state.js';
import type { StoreTransition } from './state/transition.js';
import { onTick } from './tick.js';

const onFrame = (state: StoreState, from: Peer, frame: Frame, now: Timestamp): StoreTransition => {
  switch (frame.kind) {
    case 'heartbeat-reply':
      return transition({
        ...state,
        session: applyHeartbeatReply(state.session, from, frame, now),
      });
    case 'member-list':
      return transition({ ...state, session: applyMemberList(state.session, from, frame, now) });
    case 'vote':
      return onVote(state, frame, now);
    case 'subscribe':
      return onSubscribe(state, frame, now);
    case 'departure':
      return onDeparture(state, frame, now);
    case 'call':
      return onOperatorCommand(state, from, frame, now);
    case 'piece':
      return onChunk(state, frame, now);
    case 'piece-request':
      return onChunkRequest(state, from, frame);
    case 'replicate':
      return onReplicate(state, from, frame, now);
    case 'replicated':
      return onReplicated(state, frame, now);
    case 'replica-status':
      return onPeerStatus(state, from, frame, now);
    case 'range-listing':
      return onRangeListing(state, from, frame, now);
    case 'fetch-entries':
      return onFetchEntries(state, from, frame, now);
    case 'resync-entries':
      return onResyncEntries(state, from, frame, now);
    case 'bootstrap':
      return onBootstrap(state, from, frame, now);
    case 'tally':
      return isPrimary(state, now) ? onTally(state, frame, now) : transition(state);
    case 'trial':
      return isPrimary(state, now)
        ? enqueue(state, { kind: 'recordCanary', to: from.address, report: frame })
        : transition(state);
    default:
      return transition(
        state,
        log('warn', 'unexpected frame ignored', ['frame', frame.kind], ['from', from.node]),
      );
  }
};

const onEvent = (state: StoreState, event: StoreEvent): StoreTransition => {
  if (state.phase === 'stopping') return transition(state);
  switch (event.kind) {
    case 'diskRead':
      return onDiskRead(state, event.contents, event.now);
    case 'tick':
      return onTick(state, event.now);
    case 'frameReceived':
      return state.phase === 'reading'
        ? transition(state)
        : onFrame(state, event.from, event.frame, event.now);
    case 'peerDisconnected':
      return transition({
        ...state,
        session: onRegistryLost(state.session, event.address, event.now),
      });
    case 'writeSynced':
      return state.backupWrite?.id === event.writeId
        ? onBackupWriteSynced(state, event.writeId, event.now)
        : onPrimaryWriteSynced(state, event.writeId, event.now);
    case 'writeFailed':
      return state.backupWrite?.id === event.writeId
        ? onBackupWriteFailed(state, event)
        : onPrimaryWriteFailed(state, event);
    case 'configurationCompiled':
      return onCompiled(state, event.hash, event.issues);
    case 'stopRequested':
      return onStopRequested(state, event.now, event.graceMs ?? defaultStopGraceMs);
  }
};

/** Handles an event, then starts a write of the queued commands and checks the invariants. */
export const storeTransition = (state: StoreState, event: StoreEvent): StoreTransition => {
  const handled = onEvent(state, event);
  const written = prependEffects(handled.effects, startWrite(handled.state, event.now));
  return prependEffects(written.effects, checkInvariants(state, written.state));
};
