/**
 * Commit of a write that is on every disk it must be on: the state takes it in, callers are answered, and
 * registries are fed.
 */

import { type Timestamp, toTimestamp, transition } from '@switchwheel/types';
import { send } from '@switchwheel/transport';
import type { Command } from '../commands/command.js';
import { sendReply } from '../commands/queue.js';
import { hasEnoughReplicas } from '../leadership/replica-placement.js';
import { feedSubscribers } from '../registries/feed.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import { withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** At most how often the engine acts on events; the first is acted on at once. */
const rolloutThrottleMs = 250;

const noHeldChunks: StoreState['heldChunks'] = new Map();

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
    (one) => !keyPrefixesWithoutNodeChange.some((family) => one.key.startsWith(family)),
  );

/** The write lasts wherever it must: it counts, and everyone is told. */
export const commitWrite = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): StoreTransition => {
  const first = !state.isServing || state.isReadOnly;
  const table = withPuts(state.table, primaryWrite.puts, primaryWrite.stamp);
  const next: StoreState = {
    ...state,
    primaryWrite: undefined,
    stamp: primaryWrite.stamp,
    table,
    control: primaryWrite.controlAfter,
    metadata: primaryWrite.metadata,
    isServing: true,
    isReadOnly: false,
    diskFullAt: undefined,
    shortageSince: hasEnoughReplicas(state, primaryWrite.metadata.inSyncSet)
      ? undefined
      : (state.shortageSince ?? now),
    lastNodeChangeSeq: changesNodes(state, primaryWrite)
      ? primaryWrite.stamp.seq
      : state.lastNodeChangeSeq,
  };
  const commands: Command[] = [];
  const stored =
    primaryWrite.controlAfter.configuration?.offer.generation !==
    state.control.configuration?.offer.generation;
  // A rollout that was just opened gets its first turn at once: the throttle is for events of targets.
  if (stored || first) commands.push({ kind: 'planRollout' }, { kind: 'advanceRollout' });
  const lists = primaryWrite.puts.some(
    (one) =>
      one.key.startsWith('node/') ||
      one.key.startsWith('target/') ||
      one.key.startsWith('rollout/'),
  );
  const due =
    first || lists
      ? toTimestamp(
          Math.min(
            next.rolloutsDueAt ?? Infinity,
            Math.max(now, next.rolloutsAdvancedAt + rolloutThrottleMs),
          ),
        )
      : next.rolloutsDueAt;
  const idle =
    next.awaitingChunks.size === 0 &&
    next.compiling.size === 0 &&
    !next.commandQueue.some(
      (one) => one.kind === 'applyConfiguration' || one.kind === 'storeChunks',
    );
  const planned = {
    ...next,
    heldChunks: idle ? noHeldChunks : next.heldChunks,
    rolloutsDueAt: due,
    rolloutPlannedAt: stored || first ? now : next.rolloutPlannedAt,
    commandQueue: [...commands, ...next.commandQueue],
  };
  const told = [
    ...primaryWrite.replies.map(sendReply),
    ...primaryWrite.canaryReports.flatMap((one) => canaryReplies(primaryWrite.controlAfter, one)),
  ];
  const fed = feedSubscribers(planned, now);
  return transition(planned, ...told, ...fed);
};

export const canaryReplies = (
  control: StoreState['control'],
  one: PrimaryWrite['canaryReports'][number],
): readonly StoreEffect[] => {
  const verdict = [...control.canaryResults.values()].find(
    (row) => row.service === one.report.service && row.release === one.report.release,
  );
  return verdict === undefined ? [] : [send(one.to, { kind: 'tried', verdict, at: one.report.at })];
};
