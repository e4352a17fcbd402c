/** Periodic work of an edge without shields: updates and ticks the router, reports rollout counts, logs shortages. */

import { type Timestamp, primaryLease } from '@switchwheel/types';
import type { ChannelPool } from '@switchwheel/transport';
import type { NodeAgent } from '@switchwheel/proxy-core';
import type { EdgeRouter } from '@switchwheel/routing';
import type { Logger } from '@switchwheel/runtime';
import { RejectionLog } from './rejection-log.js';

/** Interval at which rollout counts are sent to the store's primary. */
const reportIntervalMs = 250;

/** Dependencies of a ticker. */
export interface EdgeTickerOptions {
  readonly now: () => Timestamp;
  readonly nodeAgent: () => NodeAgent;
  readonly router: EdgeRouter;
  readonly channels: ChannelPool;
  readonly log: Logger;
}

/** Periodic work of one edge; `tick` is called after each tick of the node agent. */
export class EdgeTicker {
  readonly #options: EdgeTickerOptions;
  #lastNodeAgent: NodeAgent | undefined;
  readonly #rejectionLog: RejectionLog;
  #lastReportedAt: Timestamp;

  constructor(options: EdgeTickerOptions) {
    this.#options = options;
    this.#rejectionLog = new RejectionLog(options.log);
    this.#lastReportedAt = options.now();
  }

  /** Updates the router if the fleet has changed, ticks the router, and sends reports that are due. */
  tick(): void {
    const { now, nodeAgent, router } = this.#options;
    const current = nodeAgent();
    if (this.#hasFleetChanged(current)) router.updateFleet(current);
    this.#lastNodeAgent = current;
    router.tick(now());
    this.#rejectionLog.update(router.counts, now());
    this.#report(current);
  }

  #hasFleetChanged({ nodeSession, releaseStates }: NodeAgent): boolean {
    const lastNodeAgent = this.#lastNodeAgent;
    return (
      nodeSession.origins !== lastNodeAgent?.nodeSession.origins ||
      nodeSession.members !== lastNodeAgent.nodeSession.members ||
      releaseStates !== lastNodeAgent.releaseStates
    );
  }

  #report(current: NodeAgent): void {
    const { now, router, channels } = this.#options;
    const primary = current.nodeSession.leaseHolders.get(primaryLease);
    if (primary === undefined || now() - this.#lastReportedAt < reportIntervalMs) return;
    this.#lastReportedAt = now();
    for (const report of router.rolloutReports(current)) channels.send(primary.address, report);
  }
}
