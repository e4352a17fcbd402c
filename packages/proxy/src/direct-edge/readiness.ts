/** Readiness of an edge, as reported to the platform. */

import type { NodeAgent } from '@switchwheel/proxy-core';

/**
 * An edge becomes ready once it has a compiled configuration and the fleet's members. It is not ready while a
 * configuration update has failed or during shutdown. It stays ready without a registry.
 */
export class Readiness {
  #hasInitialized = false;
  #isStopping = false;

  /** Whether the edge is shutting down. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Marks the edge as shutting down, and thereby as not ready. */
  beginShutdown(): void {
    this.#isStopping = true;
  }

  /** Whether the edge is ready, according to the state of its node agent. */
  isReady({ compiledConfiguration, failedUpdate, nodeSession }: NodeAgent): boolean {
    this.#hasInitialized ||=
      compiledConfiguration !== undefined &&
      failedUpdate === undefined &&
      nodeSession.members.length > 0;
    return this.#hasInitialized && failedUpdate === undefined && !this.#isStopping;
  }
}
