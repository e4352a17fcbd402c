/**
 * Graceful stop: the lease goes to a successor that is in sync, and the store's replica to other stores, so
 * that its end is no loss. The process ends the store at the deadline, whatever is still missing.
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

/** How long a store may take to stop if the process sets no time. */
export const defaultStopGraceMs = 4000;

/** For how long a store that stops doesn't ask for the lease again. */
const stopStandDownMs = 60_000;

/** How long open writes and queued commands may hold up the handover. */
const drainTimeoutMs = 500;

/** How long the primary has to take this store out of the in-sync set while enough others are in it. */
const exclusionWaitMs = 1000;

/** The stores that hold every committed write, are in touch, take writes and are not stopping. */
export const successors = (state: StoreState, now: Timestamp): readonly NodeId[] =>
  reachableInSync(state, now).filter(
    (node) => node !== ownId(state) && state.peers.get(node)?.isStopping !== true,
  );

/** Whether a primary that stops may hand over: there is a successor, and nothing is under way. */
export const mayHandOver = (state: StoreState, since: Timestamp, now: Timestamp): boolean => {
  const isIdle = state.primaryWrite === undefined && state.commandQueue.length === 0;
  return successors(state, now).length > 0 && (isIdle || now - since >= drainTimeoutMs);
};

/** Whether the fleet keeps enough replicas without this store. */
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

/** Ends this store: it gives the lease up if it still holds it, and sends a last heartbeat and status. */
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

/** Goes on with a stop: first the lease goes to a successor, then replicas to other stores, then this store ends. */
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
  // Another one that is in sync is elected before this one; without any, this one has to lead.
  const hasSuccessor = successors(state, now).length > 0;
  return transition(
    hasSuccessor ? { ...state, standDownUntil: addMs(now, stopStandDownMs) } : state,
  );
};

/** The process is asked to stop; further requests change nothing. */
export const onStopRequested = (
  state: StoreState,
  now: Timestamp,
  graceMs: number,
): StoreTransition => {
  if (state.stopping !== undefined) return transition(state);
  const stopping = { since: now, deadline: addMs(now, graceMs) };
  const begun = tickStop({ ...state, stopping, statusSentAt: clockOrigin }, now);
  // A handover has sent the status already; two frames at once might overtake each other.
  return prependEffects(begun.effects, sendStatus(begun.state, now));
};
