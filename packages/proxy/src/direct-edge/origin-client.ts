/** Sends requests to origins with Node's HTTP client: no retries, no redirects, and each response whole in memory. */

import type { InstanceId } from '@switchwheel/types';
import type {
  AttemptHandlers,
  AttemptRequest,
  HeaderNames,
  OriginClient,
} from '@switchwheel/routing';
import { OriginConnections } from './origin-connections.js';
import { OriginExchange } from './origin-exchange.js';

/** The origin client of a direct edge. */
export class HttpOriginClient implements OriginClient {
  readonly #headerNames: HeaderNames;
  readonly #connections = new OriginConnections();

  constructor(headerNames: HeaderNames) {
    this.#headerNames = headerNames;
  }

  /** Closes the idle connections to an instance that is gone. */
  closeIdleConnections(instance: InstanceId): void {
    this.#connections.closeIdleConnections(instance);
  }

  /** Sends a request to an origin once; gives what to call to cancel it. */
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
