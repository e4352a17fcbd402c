/**
 * Runs the effects of a store's state machine other than frames and log lines: disk writes, compilation of a
 * configuration, and completion of a stop. The outcome of each write and compilation is dispatched as an event.
 */

import { type Hash, type Timestamp, toGeneration } from '@switchwheel/types';
import type { ProcessEffect } from '@switchwheel/transport';
import { type Disk, runTimeSliced } from '@switchwheel/runtime';
import { buildConfiguration } from '@switchwheel/configuration';
import type { DiskWrite, StoreEffect, StoreEvent } from '@switchwheel/replicated-store';
import { rowChangesFor } from './disk-rows.js';

/** Effects that the event loop doesn't run itself. */
export type StoreOnlyEffect = Exclude<StoreEffect, ProcessEffect>;

/** Dependencies of a store's effects. */
export interface StoreEffectContext {
  readonly disk: Disk;
  /** Passes an event to the state machine; `eventAt` gets the time at which the event is handled. */
  readonly dispatch: (eventAt: (now: Timestamp) => StoreEvent) => void;
  /** Called once the state machine has finished its stop. */
  readonly onStopCompleted: () => void;
}

const writeToDisk = async (
  { disk, dispatch }: StoreEffectContext,
  write: DiskWrite,
): Promise<void> => {
  const result = await disk.write(rowChangesFor(write));
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

/** Compiles as the nodes do, in time slices, so that heartbeats and lease renewals are not delayed. */
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

/** Starts one effect; its outcome is dispatched later. */
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
