/**
 * Graceful stop: hands the lease over to an in-sync successor and waits until other stores hold enough replicas.
 * At the deadline the store stops in any case.
 */

import {
  type NodeId,
  type Timestamp,
  addMs,
  clockOrigin,
  prependEffects,
  transition,
} from '@switchwheel/types';
import { holdsLease } from '@switchwheel/election';
import { sendHeartbeat } from '@switchwheel/membership';
import { isInSync, primaryTimeoutMs, reachableInSync } from './candidacy.js';
import { handOverLeadership } from './hand-over.js';
import { heartbeatContent } from '../registries/heartbeat.js';
import { sendStatus } from '../resync/status.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Time for a graceful stop if the process sets none. */
export const defaultStopGraceMs = 4000;

/** Time for which a stopping store does not campaign. */
const stopStandDownMs = 60_000;

/** Time for which open writes and queued commands may delay the handover. */
const drainTimeoutMs = 500;

/** Time that the primary has to remove this store from the in-sync set before the store stops anyway. */
const exclusionWaitMs = 1000;

/** Other in-sync stores that are reachable, accept writes and are not stopping. */
export const successors = (state: StoreState, now: Timestamp): readonly NodeId[] =>
  reachableInSync(state, now).filter(
    (node) => node !== ownId(state) && state.peers.get(node)?.isStopping !== true,
  );

/** Whether a stopping primary may hand over: it has a successor, and is idle or has waited for `drainTimeoutMs`. */
export const mayHandOver = (state: StoreState, since: Timestamp, now: Timestamp): boolean => {
  const isIdle = state.primaryWrite === undefined && state.commandQueue.length === 0;
  return successors(state, now).length > 0 && (isIdle || now - since >= drainTimeoutMs);
};

/** Whether the fleet has enough replicas without this store. */
export const hasEnoughReplicasElsewhere = (
  state: StoreState,
  since: Timestamp,
  now: Timestamp,
): boolean => {
  if (state.phase === 'reading' || state.metadata === undefined || !isInSync(state)) return true;
  const hasPrimary = now - state.primaryHeardAt < primaryTimeoutMs;
  const isEnough = successors(state, now).length > state.settings.tolerate;
  return hasPrimary && isEnough && now - since >= exclusionWaitMs;
};

/** Stops this store: releases the lease if still held, and sends a last heartbeat and status. */
const completeStop = (state: StoreState, now: Timestamp): StoreTransition => {
  const heartbeat = sendHeartbeat(state.session, heartbeatContent(state, now, true), now);
  const handedOver = handOverLeadership(
    { ...state, session: heartbeat.state },
    stopStandDownMs,
    now,
  );
  const status = sendStatus(
    { ...handedOver.state, phase: 'member', statusSentAt: clockOrigin },
    now,
  );
  return prependEffects(
    [...heartbeat.effects, ...handedOver.effects, ...status.effects],
    transition({ ...status.state, phase: 'stopping' }, { kind: 'completeStop' }),
  );
};

/** Advances a graceful stop: hands over the lease, waits for replicas elsewhere, then stops the store. */
export const tickStop = (state: StoreState, now: Timestamp): StoreTransition => {
  const { stopping } = state;
  if (stopping === undefined) return transition(state);
  if (now >= stopping.deadline) return completeStop(state, now);
  if (holdsLease(state.candidate, now)) {
    if (!mayHandOver(state, stopping.since, now)) return transition(state);
    const handedOver = handOverLeadership(state, stopStandDownMs, now);
    return prependEffects(handedOver.effects, sendStatus(handedOver.state, now));
  }
  if (hasEnoughReplicasElsewhere(state, stopping.since, now)) return completeStop(state, now);
  // With a successor this store does not campaign; without one it must remain electable.
  const hasSuccessor = successors(state, now).length > 0;
  return transition(
    hasSuccessor ? { ...state, standDownUntil: addMs(now, stopStandDownMs) } : state,
  );
};

/** Starts a graceful stop; further requests have no effect. */
export const onStopRequested = (
  state: StoreState,
  now: Timestamp,
  graceMs: number,
): StoreTransition => {
  if (state.stopping !== undefined) return transition(state);
  const stopping = { since: now, deadline: addMs(now, graceMs) };
  const started = tickStop({ ...state, stopping, statusSentAt: clockOrigin }, now);
  // No second status after a handover, which sent one already: two frames could be reordered.
  return prependEffects(started.effects, sendStatus(started.state, now));
};
