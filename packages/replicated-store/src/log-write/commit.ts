/**
 * Commit of a write that the whole in-sync set has on disk: applies it to the state, replies to its callers and
 * sends the feed to the registries.
 */

import { type Timestamp, toTimestamp, transition } from '@switchwheel/types';
import { send } from '@switchwheel/transport';
import type { Command } from '../commands/command.js';
import { sendReply } from '../commands/replies.js';
import { hasEnoughReplicas } from '../leadership/replica-placement.js';
import { feedSubscribers } from '../registries/feed.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import { withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** Minimum interval between rollout advances caused by node reports; the first report takes effect at once. */
const rolloutThrottleMs = 250;

/** Shared empty map, so that states without held chunks compare equal. */
const noHeldChunks: StoreState['heldChunks'] = new Map();

const originKeyPrefix = 'origin/';

/** Prefixes of keys that do not affect the desired state of nodes. */
const keyPrefixesWithoutNodeChange = [
  'purge/',
  'call/',
  'number/',
  'verdict/',
  'release/',
  originKeyPrefix,
];

/** Whether a write is the first of its epoch. */
const beginsEpoch = (state: StoreState, primaryWrite: PrimaryWrite): boolean =>
  !state.isServing || state.isReadOnly || primaryWrite.metadata.epoch !== state.metadata?.epoch;

/** Whether a write may change the desired state of nodes, or is the first of its epoch. */
const changesNodes = (state: StoreState, primaryWrite: PrimaryWrite): boolean =>
  beginsEpoch(state, primaryWrite) ||
  primaryWrite.puts.some(
    ({ key }) => !keyPrefixesWithoutNodeChange.some((prefix) => key.startsWith(prefix)),
  );

/** Whether a write changes a record of an origin, or is the first of its epoch. */
const changesOrigins = (state: StoreState, primaryWrite: PrimaryWrite): boolean =>
  beginsEpoch(state, primaryWrite) ||
  primaryWrite.puts.some(({ key }) => key.startsWith(originKeyPrefix));

/** Whether committing a write makes this store begin to serve or leave read-only mode. */
const beginsServing = (state: StoreState): boolean => !state.isServing || state.isReadOnly;

/** State with a committed write applied. */
const withCommitted = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): StoreState => ({
  ...state,
  primaryWrite: undefined,
  logPosition: primaryWrite.logPosition,
  table: withPuts(state.table, primaryWrite.puts, primaryWrite.logPosition),
  control: primaryWrite.controlAfter,
  metadata: primaryWrite.metadata,
  isServing: true,
  isReadOnly: false,
  diskFullAt: undefined,
  shortageSince: hasEnoughReplicas(state, primaryWrite.metadata.inSyncSet)
    ? undefined
    : (state.shortageSince ?? now),
  lastNodeChangeSeq: changesNodes(state, primaryWrite)
    ? primaryWrite.logPosition.seq
    : state.lastNodeChangeSeq,
  lastOriginChangeSeq: changesOrigins(state, primaryWrite)
    ? primaryWrite.logPosition.seq
    : state.lastOriginChangeSeq,
});

const rolloutKeyPrefixes = ['node/', 'target/', 'rollout/'];

/** Time of the next rollout advance: soon if a write changed a record that the rollout depends on. */
const nextRolloutAdvance = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): Timestamp | undefined => {
  const changesRollout = primaryWrite.puts.some(({ key }) =>
    rolloutKeyPrefixes.some((prefix) => key.startsWith(prefix)),
  );
  if (!beginsServing(state) && !changesRollout) return state.rolloutsDueAt;
  const earliest = Math.max(now, state.rolloutsAdvancedAt + rolloutThrottleMs);
  return toTimestamp(Math.min(state.rolloutsDueAt ?? Infinity, earliest));
};

/** Whether no pending configuration may depend on chunks in memory. */
const needsNoChunks = (state: StoreState): boolean =>
  state.awaitingChunks.size === 0 &&
  state.compiling.size === 0 &&
  !state.commandQueue.some(
    (command) => command.kind === 'applyConfiguration' || command.kind === 'storeChunks',
  );

/** Commits a write that the whole in-sync set has on disk, replies to its callers and sends the feed. */
export const commitWrite = (
  before: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): StoreTransition => {
  const state = withCommitted(before, primaryWrite, now);
  const changesConfiguration =
    state.control.configuration?.offer.generation !==
    before.control.configuration?.offer.generation;
  // A new rollout is advanced at once: the throttle only limits advances caused by node reports.
  const plansRollout = changesConfiguration || beginsServing(before);
  const rolloutCommands: readonly Command[] = plansRollout
    ? [{ kind: 'planRollout' }, { kind: 'advanceRollout' }]
    : [];
  const next: StoreState = {
    ...state,
    heldChunks: needsNoChunks(state) ? noHeldChunks : state.heldChunks,
    rolloutsDueAt: nextRolloutAdvance(before, primaryWrite, now),
    rolloutPlannedAt: plansRollout ? now : state.rolloutPlannedAt,
    commandQueue: [...rolloutCommands, ...state.commandQueue],
  };
  return transition(
    next,
    ...primaryWrite.replies.map(sendReply),
    ...primaryWrite.canaryReports.flatMap((report) =>
      canaryReplies(primaryWrite.controlAfter, report),
    ),
    ...feedSubscribers(next, now),
  );
};

/** Sends the recorded result of a canary to the service leader that reported on it. */
export const canaryReplies = (
  control: StoreState['control'],
  { to, report }: PrimaryWrite['canaryReports'][number],
): readonly StoreEffect[] => {
  const verdict = [...control.canaryResults.values()].find(
    (result) => result.service === report.service && result.release === report.release,
  );
  return verdict === undefined ? [] : [send(to, { kind: 'tried', verdict, at: report.at })];
};
