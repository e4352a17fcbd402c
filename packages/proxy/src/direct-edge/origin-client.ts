/** Origin client based on Node's HTTP client: no retries, no redirects, responses buffered in memory. */

import type { InstanceId } from '@switchwheel/types';
import type {
  AttemptHandlers,
  AttemptRequest,
  HeaderNames,
  OriginClient,
} from '@switchwheel/routing';
import { OriginConnections } from './origin-connections.js';
import { OriginExchange } from './origin-exchange.js';

/** Origin client of an edge without shields. */
export class HttpOriginClient implements OriginClient {
  readonly #headerNames: HeaderNames;
  readonly #connections = new OriginConnections();

  constructor(headerNames: HeaderNames) {
    this.#headerNames = headerNames;
  }

  /** Closes the idle connections to an instance that has left. */
  closeIdleConnections(instance: InstanceId): void {
    this.#connections.closeIdleConnections(instance);
  }

  /** Sends a request to an origin once; returns a function that cancels it. */
  send(attempt: AttemptRequest, handlers: AttemptHandlers): () => void {
    const exchange = new OriginExchange({
      attempt,
      handlers,
      headerNames: this.#headerNames,
      agent: attempt.needsNewConnection ? false : this.#connections.agentFor(attempt.instance),
    });
    return () => exchange.cancel();
  }
}
