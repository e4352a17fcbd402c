/**
 * Limits on serving with a configuration that may not be the newest one.
 */

import type { Timestamp } from '@switchwheel/types';
import { isConfirmedWithin } from './config-freshness.js';
import type { NodeAgent } from './state.js';

/**
 * Time after the primary's last confirmation during which a node may consider its configuration the
 * newest.
 */
const freshnessLeaseMs = 2000;
/**
 * Maximum age of the last contact with the primary for a configuration to count as overdue. During
 * an election of the primary no node can fetch a configuration.
 */
const maxPrimaryContactAgeMs = 1000;
/**
 * Fraction of the time limit for applying a configuration during which the previous one may still
 * be used.
 */
const overdueFraction = 0.9;

/**
 * Whether the node may report that a route does not exist, which requires the newest configuration.
 * A node that started from its disk or is disconnected can't know that.
 */
export const knowsAllRoutes = (state: NodeAgent, now: Timestamp): boolean =>
  state.compiledConfiguration !== undefined &&
  state.compiledConfiguration.generation >= state.configFreshness.newestGeneration &&
  isConfirmedWithin(state.configFreshness, now, freshnessLeaseMs);

/**
 * Whether a newer configuration should have been applied by now; `applyMs` is the time limit after
 * its confirmation. The node then rejects all requests, since one may match a route that was
 * removed.
 */
export const isConfigurationOverdue = (
  state: NodeAgent,
  now: Timestamp,
  applyMs: number,
): boolean => {
  const [oldest] = state.configFreshness.pendingGenerations;
  return (
    oldest !== undefined &&
    now - oldest.confirmedAt >= overdueFraction * applyMs &&
    isConfirmedWithin(state.configFreshness, now, maxPrimaryContactAgeMs)
  );
};
