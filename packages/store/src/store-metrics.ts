/**
 * A store's readiness and its metrics. The names of the metrics are part of the operators' interface.
 */

import { type Timestamp, totalViolations } from '@switchwheel/types';
import { type MetricSample, metricSample } from '@switchwheel/runtime';
import { type StoreState, isInSync, isPrimary } from '@switchwheel/replicated-store';

/** What a store's process measures beside its state. */
export interface StoreProcessReadings {
  /** The longest time for which the event loop was held up so far, in milliseconds. */
  readonly worstLoopLagMs: number;
  /** Connections that did not speak the protocol of the fleet. */
  readonly protocolErrorCount: number;
}

/** Whether this store belongs to a fleet and is primary or in sync. */
export const isStoreReady = (state: StoreState, now: Timestamp): boolean =>
  state.phase === 'member' && (isPrimary(state, now) || isInSync(state));

/** The samples of a store, in the order in which they are shown. */
export const storeMetrics = (
  state: StoreState,
  now: Timestamp,
  { worstLoopLagMs, protocolErrorCount }: StoreProcessReadings,
): readonly MetricSample[] => [
  metricSample('primary', isPrimary(state, now) ? 1 : 0),
  metricSample('in_sync', isInSync(state) ? 1 : 0),
  metricSample('entries', state.table.size),
  metricSample('epoch', state.metadata?.epoch ?? 0),
  metricSample('writes_waiting', state.commandQueue.length),
  metricSample('disk_full', state.diskFullAt === undefined ? 0 : 1),
  metricSample('generation', state.control.configuration?.offer.generation ?? 0),
  metricSample('pieces', state.control.chunks.size),
  metricSample('piece_requests_missed_total', state.missedChunkRequests),
  metricSample('invariant_violations_total', totalViolations(state.violations)),
  metricSample('loop_lag_worst_ms', worstLoopLagMs),
  metricSample('foreign_channels_total', protocolErrorCount),
  metricSample('memory_bytes', process.memoryUsage.rss()),
];
