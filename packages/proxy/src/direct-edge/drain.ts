/** The graceful shutdown of a direct edge's requests. */

import type { EdgeRouter } from '@switchwheel/routing';
import { type Logger, delay, now } from '@switchwheel/runtime';
import type { ClientListener } from './client-listener.js';

/** How long the platform needs to see that an edge is stopping. */
const shutdownNoticeMs = 2600;
/** How long before the end of a stop requests still in progress are aborted, and their clients told so. */
const abortLeadTimeMs = 300;
const pollIntervalMs = 10;
/** How long replies to aborted requests get to leave. */
const abortedReplyFlushMs = 50;

/**
 * Serves on until the platform has had time to notice, then accepts no connections and waits for the requests in
 * progress; those that are left near the end of `timeoutMs` are aborted. All connections are closed at the end.
 */
export const drainRequests = async (
  listener: ClientListener,
  router: EdgeRouter,
  timeoutMs: number,
  log: Logger,
): Promise<void> => {
  const startedAt = now();
  await delay(Math.min(shutdownNoticeMs, timeoutMs / 2));
  listener.stopAccepting();
  while (
    (listener.openRequests > 0 || router.openRequests > 0) &&
    now() - startedAt < timeoutMs - abortLeadTimeMs
  )
    await delay(pollIntervalMs);
  if (router.openRequests > 0) {
    log.write('warn', 'requests aborted by shutdown', new Map([['count', router.abortAll()]]));
    await delay(abortedReplyFlushMs);
  }
  // In one turn with the last look at what is open: nothing can have been read in between.
  listener.closeAllConnections();
};
