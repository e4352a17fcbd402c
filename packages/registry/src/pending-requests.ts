/** Matches requests with the responses that the state machine gives later. */

import type { RegistryResponse } from './registry-port.js';

/** Requests without a response yet, by correlation id. */
export class PendingRequests {
  readonly #resolvers = new Map<number, (response: RegistryResponse) => void>();
  #lastId = 0;

  get size(): number {
    return this.#resolvers.size;
  }

  /** Sends a request with a new correlation id; resolves with its response. */
  send(request: (correlationId: number) => void): Promise<RegistryResponse> {
    return new Promise((resolve) => {
      this.#lastId += 1;
      const correlationId = this.#lastId;
      this.#resolvers.set(correlationId, resolve);
      request(correlationId);
    });
  }

  /** Resolves a request; a response without a pending request is ignored. */
  resolve(correlationId: number, response: RegistryResponse): void {
    this.#resolvers.get(correlationId)?.(response);
    this.#resolvers.delete(correlationId);
  }
}
