/** Graceful shutdown of a proxy's requests. */

import type {
  EdgeRequestHandler,
  ProxyState,
  ShieldRequestHandler,
  ShutdownPhase,
} from '@switchwheel/proxy-core';
import { shutdownPhase } from '@switchwheel/proxy-core';
import { type HttpServer, type Logger, delay, now } from '@switchwheel/runtime';

const pollIntervalMs = 20;
/** Time to send the responses to aborted requests. */
const abortedReplyFlushMs = 100;

/** State, handlers and server of the proxy to drain. */
export interface ProxyDrainOptions {
  readonly role: 'edge' | 'shield';
  readonly state: () => ProxyState;
  readonly edgeHandler: EdgeRequestHandler;
  readonly shieldHandler: ShieldRequestHandler;
  /** HTTP server for clients; defined only at an edge. */
  readonly clientServer: HttpServer | undefined;
  readonly log: Logger;
}

/** Waits for the requests in progress according to `shutdownPhase`, and aborts those that take too long. */
export const drainProxy = async (options: ProxyDrainOptions): Promise<void> => {
  const { role, clientServer } = options;
  const startedAt = now();
  clientServer?.server.on('request', (_, response) => response.setHeader('connection', 'close'));
  const currentPhase = (): ShutdownPhase =>
    shutdownPhase(role, startedAt, openRequestCount(options), now());
  let phase = currentPhase();
  for (; phase === 'serving' || phase === 'draining'; phase = currentPhase()) {
    if (phase === 'draining') clientServer?.stopAccepting();
    await delay(pollIntervalMs);
  }
  clientServer?.stopAccepting();
  if (phase === 'aborting') await abortRequests(options);
};

const openRequestCount = ({ state, edgeHandler, shieldHandler }: ProxyDrainOptions): number =>
  edgeHandler.openRequests +
  shieldHandler.inbound.size +
  [...state().leaders.values()].reduce((sum, leader) => sum + leader.attempts.size, 0);

/** Aborts the remaining requests; started responses end visibly incomplete, so that no client accepts them as complete. */
const abortRequests = async ({
  edgeHandler,
  shieldHandler,
  log,
}: ProxyDrainOptions): Promise<void> => {
  const abortedAtEdge = edgeHandler.abortAll('this node stops');
  log.write(
    'warn',
    'responses aborted by shutdown',
    new Map([
      ['edge', abortedAtEdge],
      ['shield', shieldHandler.inbound.size],
    ]),
  );
  await delay(abortedReplyFlushMs);
};
