/**
 * What a store's state machine asks of its process beyond frames and log lines: writes to the disk, compiling a
 * configuration, and the end of a stop. Each outcome comes back as an event.
 */

import { type Hash, type Timestamp, toGeneration } from '@switchwheel/types';
import type { ProcessEffect } from '@switchwheel/transport';
import { type Disk, runTimeSliced } from '@switchwheel/runtime';
import { buildConfiguration } from '@switchwheel/configuration';
import type { DiskWrite, StoreEffect, StoreEvent } from '@switchwheel/replicated-store';
import { rowsOf } from './disk-rows.js';

/** The effects that the event loop doesn't run itself. */
export type StoreOnlyEffect = Exclude<StoreEffect, ProcessEffect>;

/** What the effects of a store need. */
export interface StoreEffectContext {
  readonly disk: Disk;
  /** Hands the outcome of an effect to the state machine, with the time at which it is handled. */
  readonly dispatch: (eventAt: (now: Timestamp) => StoreEvent) => void;
  /** Called once the state machine has nothing left to do before the process ends. */
  readonly onStopCompleted: () => void;
}

const writeToDisk = async (
  { disk, dispatch }: StoreEffectContext,
  write: DiskWrite,
): Promise<void> => {
  const result = await disk.write(rowsOf(write));
  dispatch((now) =>
    result.isOk
      ? { kind: 'writeSynced', now, writeId: write.id }
      : {
          kind: 'writeFailed',
          now,
          writeId: write.id,
          reason: result.error.text,
          isDiskFull: result.error.isDiskFull,
        },
  );
};

/** Compiles with the nodes' own code, in slices, so that heartbeats and leases are not held up. */
const compileConfiguration = async (
  { dispatch }: StoreEffectContext,
  hash: Hash,
  texts: readonly string[],
): Promise<void> => {
  const compiled = await runTimeSliced(buildConfiguration(texts, toGeneration(0), hash));
  dispatch((now) => ({
    kind: 'configurationCompiled',
    now,
    hash,
    issues: compiled.isOk ? [] : compiled.error,
  }));
};

/** Runs one effect; the outcome is dispatched later. */
export const runStoreEffect = (context: StoreEffectContext, effect: StoreOnlyEffect): void => {
  switch (effect.kind) {
    case 'writeToDisk':
      void writeToDisk(context, effect.write);
      break;
    case 'compileConfiguration':
      void compileConfiguration(context, effect.hash, effect.texts);
      break;
    case 'completeStop':
      context.onStopCompleted();
      break;
  }
};
