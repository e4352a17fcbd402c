/**
 * What a node may still answer by a configuration that might not be the newest one.
 */

import type { Timestamp } from '@switchwheel/types';
import { isConfirmedWithin } from './config-freshness.js';
import type { NodeAgent } from './state.js';

/** How long a node may take its configuration for the newest without a confirmation by the primary. */
const freshnessLeaseMs = 2000;
/**
 * How fresh the contact with the primary must be for a configuration to count as overdue: while a
 * new primary is elected no node can fetch one.
 */
const primaryContactMs = 1000;
/** The part of the time to apply a configuration for which a node may go on with the one before. */
const overdueFraction = 0.9;

/**
 * Whether the node may say that there is no route: only if its configuration is known to be the
 * newest one. Started from disks, or out of touch, it can't know.
 */
export const knowsAllRoutes = (state: NodeAgent, now: Timestamp): boolean =>
  state.compiledConfiguration !== undefined &&
  state.compiledConfiguration.generation >= state.configFreshness.newestGeneration &&
  isConfirmedWithin(state.configFreshness, now, freshnessLeaseMs);

/**
 * Whether a newer configuration should have been applied by now, within `applyMs` after it was
 * confirmed. The node then answers nothing by the one that it runs: a request might be one that
 * only the older configuration allows.
 */
export const isConfigurationOverdue = (
  state: NodeAgent,
  now: Timestamp,
  applyMs: number,
): boolean => {
  const [oldest] = state.configFreshness.pendingGenerations;
  return (
    oldest !== undefined &&
    now - oldest.at >= overdueFraction * applyMs &&
    isConfirmedWithin(state.configFreshness, now, primaryContactMs)
  );
};
