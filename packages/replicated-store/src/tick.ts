/**
 * What time alone brings about: the order in which the parts of a store are given the tick.
 * Each part decides by its own intervals what is due.
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

/** How often a rollout is planned without a cause. */
const rolloutPlanIntervalMs = 60_000;

/** How often a rollout is advanced without a cause. */
const rolloutIntervalMs = 5000;

/** How often a store without a primary sends a hint. */
const hintIntervalMs = 300;

/** Queues what the open rollout needs now and then. */
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

/** Hints keep the pace of the statuses; one that became due within this tick brings no hint. */
const tickHint = (state: StoreState, now: Timestamp, atStart: StoreState): StoreTransition =>
  now - atStart.statusSentAt >= hintIntervalMs
    ? transition(state, ...sendHint(state, now))
    : transition(state);

const tickNodeSession = (state: StoreState, now: Timestamp): StoreTransition => {
  const session = tickSession(state.session, heartbeatContent(state, now, false), now);
  return transition({ ...state, session: session.state }, ...session.effects);
};

/** What one part of a store does with a tick, given the state as it is now and as it was when the tick began. */
type TickHandler = (state: StoreState, now: Timestamp, atStart: StoreState) => StoreTransition;

/** What every store does with a tick, in this order. */
const storeTicks: readonly TickHandler[] = [
  tickNodeSession,
  tickLease,
  tickHint,
  sendStatus,
  tickPrimaryWrite,
  tickAwaitingChunks,
  tickStop,
];

/** What the primary does besides, in this order. */
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

/** Time passes: each part of the store does what is due. */
export const onTick = (before: StoreState, now: Timestamp): StoreTransition => {
  if (before.phase === 'reading') return transition(before);
  const next = runTicks(expireSilentMembers(before, now), storeTicks, now);
  return isPrimary(next.state, now)
    ? prependEffects(next.effects, runTicks(next.state, primaryTicks, now))
    : next;
};
