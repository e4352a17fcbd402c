/** Readiness and metrics of a store. The names of the metrics are a public interface. */

import { type Timestamp, totalViolations } from '@switchwheel/types';
import { type MetricSample, metricSample } from '@switchwheel/runtime';
import { type StoreState, isInSync, isPrimary } from '@switchwheel/replicated-store';

/** Measurements of the process that are not part of the store's state. */
export interface ProcessReadings {
  /** Longest delay of the event loop since the start, in milliseconds. */
  readonly maxLoopLagMs: number;
  /** Number of channels closed because of a protocol violation by the peer. */
  readonly protocolErrorCount: number;
}

/** Whether this store is a member of a cluster and is its primary or in sync. */
export const isStoreReady = (state: StoreState, now: Timestamp): boolean =>
  state.phase === 'member' && (isPrimary(state, now) || isInSync(state));

/** Samples of a store's metrics, in the order of output. */
export const storeMetrics = (
  state: StoreState,
  now: Timestamp,
  { maxLoopLagMs, protocolErrorCount }: ProcessReadings,
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
  metricSample('loop_lag_worst_ms', maxLoopLagMs),
  metricSample('foreign_channels_total', protocolErrorCount),
  metricSample('memory_bytes', process.memoryUsage.rss()),
];
