/**
 * Which commands the next write of the primary takes, and what they come to together. The write itself is
 * primary-write.ts's business.
 */

import type { Invariant, Seq, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata, Electorate, TableMutation } from '@switchwheel/transport';
import { type ControlState, applyPuts } from '@switchwheel/configuration';
import type { Command, CommandReply } from '../commands/command.js';
import { decide } from '../commands/decide.js';
import { awaitsLearner, hasEnoughReplicas } from '../leadership/replica-placement.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';

/** The most commands of one write. */
const maxBatchCommands = 512;

/** No more commands join a write once it bears so many characters: it has to fit one frame. */
const maxBatchCharacters = 1024 * 1024;

interface WriteBatch {
  readonly commands: readonly Command[];
  readonly rest: readonly Command[];
  /** Whether operators' commands wait: there are too few replicas, and a store is on its way to become one. */
  readonly lacksReplicas: boolean;
}

/** What the next write takes; operators' commands wait while a store is on its way into an in-sync set too small for them. */
export const nextBatch = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): WriteBatch => {
  const queue = state.commandQueue;
  const { inSyncSet } = metadata;
  const lacksReplicas =
    !hasEnoughReplicas(state, inSyncSet) && awaitsLearner(state, inSyncSet, now);
  if (!lacksReplicas)
    return {
      commands: queue.slice(0, maxBatchCommands),
      rest: queue.slice(maxBatchCommands),
      lacksReplicas,
    };
  const isOfOperator = (command: Command): boolean => 'caller' in command;
  const own = queue.filter((command) => !isOfOperator(command));
  return {
    commands: own.slice(0, maxBatchCommands),
    rest: [...queue.filter(isOfOperator), ...own.slice(maxBatchCommands)],
    lacksReplicas,
  };
};

/** What the commands of a batch come to. */
interface DecidedBatch {
  /** The state with what an advanced rollout remembers. */
  readonly state: StoreState;
  /** The control state once the write is committed. */
  readonly control: ControlState;
  readonly electorate: Electorate;
  readonly puts: readonly TableMutation[];
  readonly replies: readonly CommandReply[];
  readonly immediateReplies: readonly CommandReply[];
  readonly canaryReports: PrimaryWrite['canaryReports'];
  readonly violations: readonly Invariant[];
  /** Commands for which this write has no room. */
  readonly undecided: readonly Command[];
}

/** Decides commands one after the other, each on the control state that those before it leave. */
export const decideBatch = (
  before: StoreState,
  metadata: ClusterMetadata,
  commands: readonly Command[],
  seq: Seq,
  now: Timestamp,
): DecidedBatch => {
  let state = before;
  let { control } = before;
  let { electorate } = metadata;
  const puts: TableMutation[] = [];
  const replies: CommandReply[] = [];
  const immediateReplies: CommandReply[] = [];
  const canaryReports: PrimaryWrite['canaryReports'][number][] = [];
  const violations: Invariant[] = [];
  let decided = 0;
  let characters = 0;
  for (const command of commands) {
    if (characters >= maxBatchCharacters) break;
    decided += 1;
    const decision = decide(state, control, command, seq, now);
    control = applyPuts(control, decision.puts);
    puts.push(...decision.puts);
    for (const { data } of decision.puts) characters += data?.length ?? 0;
    replies.push(...decision.repliesAfterWrite);
    immediateReplies.push(...decision.immediateReplies);
    electorate = decision.electorate ?? electorate;
    violations.push(...(decision.violations ?? []));
    if (command.kind === 'recordCanary')
      canaryReports.push({ to: command.to, report: command.report });
    if (command.kind === 'advanceRollout')
      state = {
        ...state,
        targetStatusSince: decision.targetStatusSince ?? state.targetStatusSince,
        rolloutOpenedAt: decision.rolloutOpenedAt,
      };
  }
  const undecided = commands.slice(decided);
  return {
    state,
    control,
    electorate,
    puts,
    replies,
    immediateReplies,
    canaryReports,
    violations,
    undecided,
  };
};

/** Whether a batch needs no write. */
export const changesNothing = (batch: DecidedBatch, metadata: ClusterMetadata): boolean =>
  batch.puts.length === 0 && batch.replies.length === 0 && batch.electorate === metadata.electorate;
