/**
 * What time alone brings about: the order in which the parts of a store are given the tick.
 * Each part decides by its own intervals what is due.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { observeEpoch, tickCandidate } from '@switchwheel/election';
import { highestEpoch, tickSession } from '@switchwheel/membership';
import { tickChunkRepair } from './commands/chunk-repair.js';
import { tickAwaitingChunks } from './commands/configuration-upload.js';
import { enqueue } from './commands/queue.js';
import {
  chooseBackups,
  electionContext,
  isPrimary,
  wantsElection,
} from './leadership/candidacy.js';
import { followRegistries } from './leadership/electorate-changes.js';
import { tickStop } from './leadership/graceful-stop.js';
import { onCandidateTransition } from './leadership/lease.js';
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

const rolloutPlanIntervalMs = 60_000;

const rolloutIntervalMs = 5000;

const hintIntervalMs = 300;

const tickPrimary = (state: StoreState, now: Timestamp): StoreTransition => {
  const seated = followRegistries(state, now);
  let next = prependEffects(seated.effects, markSilentNodesOffline(seated.state, now));
  if (now - next.state.rolloutPlannedAt >= rolloutPlanIntervalMs)
    next = prependEffects(
      next.effects,
      enqueue({ ...next.state, rolloutPlannedAt: now }, { kind: 'planRollout' }),
    );
  next = prependEffects(next.effects, tickChunkRepair(next.state, now));
  next = prependEffects(next.effects, tickReleases(next.state, now));
  next = prependEffects(next.effects, tickOrigins(next.state, now));
  const due = next.state.rolloutsDueAt;
  if (
    (due !== undefined && now >= due) ||
    now - next.state.rolloutsAdvancedAt >= rolloutIntervalMs
  ) {
    next = prependEffects(
      next.effects,
      enqueue(
        { ...next.state, rolloutsDueAt: undefined, rolloutsAdvancedAt: now },
        { kind: 'advanceRollout' },
      ),
    );
  }
  return next;
};

export const onTick = (before: StoreState, now: Timestamp): StoreTransition => {
  if (before.phase === 'reading') return transition(before);
  const state = expireSilentMembers(before, now);
  const drifted = tickSession(state.session, heartbeatContent(state, now, false), now);
  let next: StoreTransition = transition({ ...state, session: drifted.state }, ...drifted.effects);
  const metadata = next.state.metadata;
  if (metadata !== undefined && state.phase === 'member') {
    const base: StoreState =
      next.state.candidate.phase.phase === 'idle'
        ? {
            ...next.state,
            candidate: { ...next.state.candidate, inSyncSet: chooseBackups(next.state, now) },
          }
        : next.state;
    const known = observeEpoch(
      base.candidate,
      highestEpoch(base.session, base.candidate.leaseName),
    );
    const passed = tickCandidate(
      known,
      electionContext(base, metadata, now),
      wantsElection(base, now),
      base.randomState,
      now,
    );
    next = prependEffects(
      [...next.effects, ...passed.effects],
      onCandidateTransition(
        base,
        { ...base, candidate: passed.state.candidate, randomState: passed.state.dice },
        now,
      ),
    );
  }
  if (now - state.statusSentAt >= hintIntervalMs)
    next = transition(next.state, ...next.effects, ...sendHint(next.state, now));
  next = prependEffects(next.effects, sendStatus(next.state, now));
  next = prependEffects(next.effects, tickPrimaryWrite(next.state, now));
  next = prependEffects(next.effects, tickAwaitingChunks(next.state, now));
  next = prependEffects(next.effects, tickStop(next.state, now));
  return isPrimary(next.state, now)
    ? prependEffects(next.effects, tickPrimary(next.state, now))
    : next;
};
