/**
 * Which commands the next write of the primary takes.
 */

import type { Timestamp } from '@switchwheel/types';
import type { ClusterMetadata } from '@switchwheel/transport';
import type { Command } from '../commands/command.js';
import { awaitsLearner, hasEnoughReplicas } from '../leadership/replica-placement.js';
import type { StoreState } from '../state/state.js';

const maxBatchCommands = 512;

/** No more commands join a write once it bears so many characters: it has to fit one frame. */
export const maxBatchCharacters = 1024 * 1024;

interface WriteBatch {
  readonly commands: readonly Command[];
  readonly rest: readonly Command[];
  /** Whether orders wait, as there are too few copies and a store is on its way to become one. */
  readonly lacksReplicas: boolean;
}

/** What the next write takes; orders wait while a store is on its way into a set too small for them. */
export const nextBatch = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): WriteBatch => {
  const queue = state.commandQueue;
  const set = metadata.inSyncSet;
  const isShort = !hasEnoughReplicas(state, set) && awaitsLearner(state, set, now);
  if (!isShort)
    return {
      commands: queue.slice(0, maxBatchCommands),
      rest: queue.slice(maxBatchCommands),
      lacksReplicas: isShort,
    };
  const isOrder = (command: Command): boolean => 'caller' in command;
  const inner = queue.filter((one) => !isOrder(one));
  return {
    commands: inner.slice(0, maxBatchCommands),
    rest: [...queue.filter(isOrder), ...inner.slice(maxBatchCommands)],
    lacksReplicas: isShort,
  };
};
