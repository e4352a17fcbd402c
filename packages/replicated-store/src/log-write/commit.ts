/**
 * Commit of a write that is on every disk it must be on: the state takes it in, callers are answered, and
 * registries are fed.
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

/** At most how often a rollout is advanced by what its nodes report; the first report counts at once. */
const rolloutThrottleMs = 250;

/** One object for all, so that a state without held chunks equals the next. */
const noHeldChunks: StoreState['heldChunks'] = new Map();

/** Families of keys that change nothing that nodes are to run. */
const keyPrefixesWithoutNodeChange = [
  'purge/',
  'call/',
  'number/',
  'verdict/',
  'release/',
  'origin/',
];

/** Whether a write may change what nodes are to run, or is the first of its epoch. */
const changesNodes = (state: StoreState, primaryWrite: PrimaryWrite): boolean =>
  !state.isServing ||
  state.isReadOnly ||
  primaryWrite.metadata.epoch !== state.metadata?.epoch ||
  primaryWrite.puts.some(
    ({ key }) => !keyPrefixesWithoutNodeChange.some((prefix) => key.startsWith(prefix)),
  );

/** Whether a write is the first of an epoch, by which this store begins to serve. */
const beginsServing = (state: StoreState): boolean => !state.isServing || state.isReadOnly;

/** The state with a committed write in it. */
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
});

const rolloutKeyPrefixes = ['node/', 'target/', 'rollout/'];

/** When the open rollout is advanced next: soon if something that it rests on changed. */
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

/** Whether no configuration is on its way that may rely on chunks in memory. */
const needsNoChunks = (state: StoreState): boolean =>
  state.awaitingChunks.size === 0 &&
  state.compiling.size === 0 &&
  !state.commandQueue.some(
    (command) => command.kind === 'applyConfiguration' || command.kind === 'storeChunks',
  );

/** Takes in a write that is on every disk it must be on, answers its callers and feeds the registries. */
export const commitWrite = (
  before: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): StoreTransition => {
  const state = withCommitted(before, primaryWrite, now);
  const changesConfiguration =
    state.control.configuration?.offer.generation !==
    before.control.configuration?.offer.generation;
  // A rollout that was just opened is advanced at once: the throttle is for what its nodes report.
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

/** The recorded result of a canary, to the service leader that reported on it. */
export const canaryReplies = (
  control: StoreState['control'],
  { to, report }: PrimaryWrite['canaryReports'][number],
): readonly StoreEffect[] => {
  const verdict = [...control.canaryResults.values()].find(
    (result) => result.service === report.service && result.release === report.release,
  );
  return verdict === undefined ? [] : [send(to, { kind: 'tried', verdict, at: report.at })];
};
