/** Matches requests with the answers that the state machine gives later. */

import type { RegistryResponse } from './registry-port.js';

/** Requests that wait for their answers, by correlation id. */
export class PendingRequests {
  readonly #resolvers = new Map<number, (response: RegistryResponse) => void>();
  #lastId = 0;

  /** How many requests have no answer yet. */
  get size(): number {
    return this.#resolvers.size;
  }

  /** Sends a request under a fresh correlation id; settles with its answer. */
  send(request: (correlationId: number) => void): Promise<RegistryResponse> {
    return new Promise((resolve) => {
      this.#lastId += 1;
      const correlationId = this.#lastId;
      this.#resolvers.set(correlationId, resolve);
      request(correlationId);
    });
  }

  /** Settles a request; an answer that nobody waits for is dropped. */
  resolve(correlationId: number, response: RegistryResponse): void {
    this.#resolvers.get(correlationId)?.(response);
    this.#resolvers.delete(correlationId);
  }
}
