/**
 * Selection of the commands for the primary's next write, and their combined result. The write itself is handled by
 * primary-write.ts.
 */

import type { Invariant, Seq, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata, Electorate, TableMutation } from '@switchwheel/transport';
import { type ControlState, applyPuts } from '@switchwheel/configuration';
import type { Command, CommandReply } from '../commands/command.js';
import { decide } from '../commands/decide.js';
import { awaitsLearner, hasEnoughReplicas } from '../leadership/replica-placement.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';

/** Maximum number of commands in one write. */
const maxBatchCommands = 512;

/** Size at which a write takes no further commands, so that it fits into one frame. */
const maxBatchCharacters = 1024 * 1024;

interface WriteBatch {
  readonly commands: readonly Command[];
  readonly rest: readonly Command[];
  /** Whether operators' commands are held back until a learner joins, because there are too few replicas. */
  readonly lacksReplicas: boolean;
}

/**
 * Selects the commands of the next write; holds back operators' commands while an undersized in-sync set awaits a
 * learner.
 */
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
  const isFromOperator = (command: Command): boolean => 'caller' in command;
  const internalCommands = queue.filter((command) => !isFromOperator(command));
  return {
    commands: internalCommands.slice(0, maxBatchCommands),
    rest: [...queue.filter(isFromOperator), ...internalCommands.slice(maxBatchCommands)],
    lacksReplicas,
  };
};

/** Combined result of the commands of a batch. */
interface DecidedBatch {
  /** State with the rollout fields updated. */
  readonly state: StoreState;
  /** Control state after the write is committed. */
  readonly control: ControlState;
  readonly electorate: Electorate;
  readonly puts: readonly TableMutation[];
  readonly replies: readonly CommandReply[];
  readonly immediateReplies: readonly CommandReply[];
  readonly canaryReports: PrimaryWrite['canaryReports'];
  readonly violations: readonly Invariant[];
  /** Commands that did not fit into this write. */
  readonly undecided: readonly Command[];
}

/** Decides commands in order, each on the control state left by the previous ones. */
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

/** Whether a batch needs no write, as it changes nothing and no reply depends on it. */
export const changesNothing = (batch: DecidedBatch, metadata: ClusterMetadata): boolean =>
  batch.puts.length === 0 && batch.replies.length === 0 && batch.electorate === metadata.electorate;
