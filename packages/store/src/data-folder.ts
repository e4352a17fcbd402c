/**
 * Opening a store's data folder, at once or as soon as its disk allows. What is in it is read by disk-rows.ts.
 */

import { Disk, type Logger, delay } from '@switchwheel/runtime';

/** How often a data folder that can't be opened is tried again. */
const openRetryMs = 500;

/** Opens the data folder; throws with the reason if it can't be used. */
export const openData = (folder: string): Disk => new Disk(folder);

/** Opens the data folder, and retries while its disk can't be used: the rest of the process serves meanwhile. */
export const openDataWithRetry = async (folder: string, log: Logger): Promise<Disk> => {
  for (let attempts = 0; ; attempts += 1) {
    try {
      return openData(folder);
    } catch (error) {
      const why = error instanceof Error ? error.message : 'unknown';
      if (attempts === 0)
        log.write('error', 'the data folder cannot be opened', new Map([['why', why]]));
      await delay(openRetryMs);
    }
  }
};
