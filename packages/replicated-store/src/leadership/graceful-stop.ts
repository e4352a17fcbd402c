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
import { inSync, primaryTimeoutMs, reachableInSync } from './candidacy.js';
import { handOverLeadership } from './hand-over.js';
import { heartbeatContent } from '../registries/heartbeat.js';
import { sendStatus } from '../resync/status.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How long a store that is asked to stop may take if it isn't told. */
export const defaultStopGraceMs = 4000;

/** For how long a store that leaves does not stand for the duty again. */
const stopStandDownMs = 60_000;

/** How long writes that are under way may hold up the handover. */
const drainTimeoutMs = 500;

/** How long the primary has to take this store out of the in-sync set while enough others are in it. */
const exclusionWaitMs = 1000;

/** The stores that hold every confirmed write, are in touch, take writes and stay. */
export const successors = (state: StoreState, now: Timestamp): readonly NodeId[] =>
  reachableInSync(state, now).filter(
    (one) => one !== ownId(state) && state.peers.get(one)?.isStopping !== true,
  );

/** Whether a primary that leaves may hand over: somebody can take over, and nothing is under way. */
export const mayHandOver = (state: StoreState, since: Timestamp, now: Timestamp): boolean => {
  const idle = state.primaryWrite === undefined && state.commandQueue.length === 0;
  return successors(state, now).length > 0 && (idle || now - since >= drainTimeoutMs);
};

/** Whether the fleet keeps enough copies without this store. */
export const hasEnoughReplicasElsewhere = (
  state: StoreState,
  since: Timestamp,
  now: Timestamp,
): boolean => {
  if (state.phase === 'reading' || state.metadata === undefined || !inSync(state)) return true;
  const led = now - state.primaryHeardAt < primaryTimeoutMs;
  const enough = successors(state, now).length > state.settings.tolerate;
  return led && enough && now - since >= exclusionWaitMs;
};

/** Ends this store: the duty is given up if it still has it, and the others are told. */
const completeStop = (state: StoreState, now: Timestamp): StoreTransition => {
  const bye = sendHeartbeat(state.session, heartbeatContent(state, now, true), now);
  const done = handOverLeadership({ ...state, session: bye.state }, stopStandDownMs, now);
  const told = sendStatus({ ...done.state, phase: 'member', statusSentAt: clockOrigin }, now);
  return prependEffects(
    [...bye.effects, ...done.effects, ...told.effects],
    transition({ ...told.state, phase: 'stopping' }, { kind: 'completeStop' }),
  );
};

/** Lets time pass over a leave: first the duty goes to a successor, then the copy, then this store. */
export const tickStop = (state: StoreState, now: Timestamp): StoreTransition => {
  const { stopping } = state;
  if (stopping === undefined) return transition(state);
  if (now >= stopping.deadline) return completeStop(state, now);
  if (holdsLease(state.candidate, now)) {
    if (!mayHandOver(state, stopping.since, now)) return transition(state);
    const handed = handOverLeadership(state, stopStandDownMs, now);
    return prependEffects(handed.effects, sendStatus(handed.state, now));
  }
  if (hasEnoughReplicasElsewhere(state, stopping.since, now)) return completeStop(state, now);
  // Another one that is in sync is elected before this one; without any, this one has to lead.
  const successor = successors(state, now).length > 0;
  return transition(successor ? { ...state, standDownUntil: addMs(now, stopStandDownMs) } : state);
};

export const onStopRequested = (
  state: StoreState,
  now: Timestamp,
  graceMs: number,
): StoreTransition => {
  if (state.stopping !== undefined) return transition(state);
  const leaving = { since: now, deadline: addMs(now, graceMs) };
  const begun = tickStop({ ...state, stopping: leaving, statusSentAt: clockOrigin }, now);
  // A handover has told the peers already; two words at once might overtake each other.
  return prependEffects(begun.effects, sendStatus(begun.state, now));
};
