/**
 * Periodic work of a store: runs the tick handlers of its parts in a fixed order. Each handler checks its own
 * intervals.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { tickSession } from '@switchwheel/membership';
import { tickChunkRepair } from './commands/chunk-repair.js';
import { tickAwaitingChunks } from './commands/configuration-upload.js';
import { enqueue } from './commands/queue.js';
import { isPrimary } from './leadership/candidacy.js';
import { followRegistries } from './leadership/electorate-changes.js';
import { tickStop } from './leadership/graceful-stop.js';
import { tickLease } from './leadership/lease.js';
import { tickPrimaryWrite } from './log-write/primary-write.js';
import { tickOrigins } from './origins/origin-records.js';
import { heartbeatContent } from './registries/heartbeat.js';
import { sendHint } from './registries/hint.js';
import { markSilentNodesOffline } from './registries/node-contacts.js';
import { tickReleases } from './releases/release-progress.js';
import { sendStatus } from './resync/status.js';
import { expireSilentMembers } from './state/expiry.js';
import type { StoreState } from './state/state.js';
import type { StoreTransition } from './state/transition.js';

/** Interval of periodic rollout planning. */
const rolloutPlanIntervalMs = 60_000;

/** Interval of periodic rollout advances. */
const rolloutIntervalMs = 5000;

/** Interval of hints from a store without a primary. */
const hintIntervalMs = 300;

const tickRolloutPlan = (state: StoreState, now: Timestamp): StoreTransition =>
  now - state.rolloutPlannedAt >= rolloutPlanIntervalMs
    ? enqueue({ ...state, rolloutPlannedAt: now }, { kind: 'planRollout' })
    : transition(state);

const tickRolloutAdvance = (state: StoreState, now: Timestamp): StoreTransition => {
  const isDue = state.rolloutsDueAt !== undefined && now >= state.rolloutsDueAt;
  return isDue || now - state.rolloutsAdvancedAt >= rolloutIntervalMs
    ? enqueue(
        { ...state, rolloutsDueAt: undefined, rolloutsAdvancedAt: now },
        { kind: 'advanceRollout' },
      )
    : transition(state);
};

/** Sends a hint when a status was due at the start of the tick, so that both keep the same interval. */
const tickHint = (state: StoreState, now: Timestamp, atStart: StoreState): StoreTransition =>
  now - atStart.statusSentAt >= hintIntervalMs
    ? transition(state, ...sendHint(state, now))
    : transition(state);

const tickNodeSession = (state: StoreState, now: Timestamp): StoreTransition => {
  const session = tickSession(state.session, heartbeatContent(state, now, false), now);
  return transition({ ...state, session: session.state }, ...session.effects);
};

/** Tick handler of a part of the store; gets the current state and the state at the start of the tick. */
type TickHandler = (state: StoreState, now: Timestamp, atStart: StoreState) => StoreTransition;

/** Tick handlers of every store, in order. */
const storeTicks: readonly TickHandler[] = [
  tickNodeSession,
  tickLease,
  tickHint,
  sendStatus,
  tickPrimaryWrite,
  tickAwaitingChunks,
  tickStop,
];

/** Additional tick handlers of the primary, in order. */
const primaryTicks: readonly TickHandler[] = [
  followRegistries,
  markSilentNodesOffline,
  tickRolloutPlan,
  tickChunkRepair,
  tickReleases,
  tickOrigins,
  tickRolloutAdvance,
];

const runTicks = (
  before: StoreState,
  handlers: readonly TickHandler[],
  now: Timestamp,
): StoreTransition => {
  let next: StoreTransition = transition(before);
  for (const handler of handlers)
    next = prependEffects(next.effects, handler(next.state, now, before));
  return next;
};

/** Runs the tick handlers of the store and, on the primary, those of the primary. */
export const onTick = (before: StoreState, now: Timestamp): StoreTransition => {
  if (before.phase === 'reading') return transition(before);
  const next = runTicks(expireSilentMembers(before, now), storeTicks, now);
  return isPrimary(next.state, now)
    ? prependEffects(next.effects, runTicks(next.state, primaryTicks, now))
    : next;
};
