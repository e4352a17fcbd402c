/** Whether an edge may be sent requests. */

import type { NodeAgent } from '@switchwheel/proxy-core';

/**
 * An edge is ready once it has a compiled configuration and the fleet's members and origins, and stays so while no
 * configuration fails and it is not stopping. What it once had is not asked for again: an edge that loses its registry
 * serves on.
 */
export class Readiness {
  #hasInitialized = false;
  #isStopping = false;

  /** Whether the edge is ending its work. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** From now on the edge is not ready. */
  beginShutdown(): void {
    this.#isStopping = true;
  }

  /** Whether the edge is ready, by the state of its node agent. */
  isReady({ compiledConfiguration, failedUpdate, nodeSession }: NodeAgent): boolean {
    this.#hasInitialized ||=
      compiledConfiguration !== undefined &&
      failedUpdate === undefined &&
      nodeSession.members.length > 0;
    return this.#hasInitialized && failedUpdate === undefined && !this.#isStopping;
  }
}
