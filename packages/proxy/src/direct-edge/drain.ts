/** Graceful shutdown of the requests of an edge without shields. */

import type { EdgeRouter } from '@switchwheel/routing';
import { type Logger, delay, now } from '@switchwheel/runtime';
import type { ClientListener } from './client-listener.js';

/** Time for the platform to notice that the edge is no longer ready. */
const shutdownNoticeMs = 2600;
/** Time before the end of the shutdown at which requests in progress are aborted with an error response. */
const abortLeadTimeMs = 300;
const pollIntervalMs = 10;
/** Time to send the responses to aborted requests. */
const abortedReplyFlushMs = 50;

/**
 * Keeps serving until the platform has had time to notice the shutdown, then accepts no more connections and waits for
 * the requests in progress. Requests left near the end of `timeoutMs` are aborted. Finally all connections are closed.
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
  // No await since the last check of open requests, so no request can have been read in between.
  listener.closeAllConnections();
};
