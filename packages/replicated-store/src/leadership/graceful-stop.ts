/**
 * What a store that was asked to stop waits for: its duty goes to a successor that is in sync, and
 * its copy to other stores, so that its end is no loss.
 */
import type { Timestamp, NodeId } from '@switchwheel/types';
import { type StoreState, ownId } from '../state/state.js';
import { inSync, primaryTimeoutMs, reachableInSync } from './candidacy.js';

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
