/** Opens a store's data folder. Its contents are parsed by `disk-rows.ts`. */

import { Disk, type Logger, delay } from '@switchwheel/runtime';

/** Interval at which opening a data folder that can't be opened is tried again. */
const openRetryIntervalMs = 500;

/** Opens the data folder; throws an error with the reason if it can't be opened. */
export const openDataFolder = (folder: string): Disk => new Disk(folder);

/** Opens the data folder, retrying until it succeeds, so that the rest of the process can serve in the meantime. */
export const openDataFolderWithRetry = async (folder: string, log: Logger): Promise<Disk> => {
  for (let attempts = 0; ; attempts += 1) {
    try {
      return openDataFolder(folder);
    } catch (error) {
      const reason = error instanceof Error ? error.message : 'unknown';
      if (attempts === 0)
        log.write(
          'error',
          'the data folder cannot be opened; retrying',
          new Map([['why', reason]]),
        );
      await delay(openRetryIntervalMs);
    }
  }
};
