/** Metrics of a registry. Their names are a public interface. */

import { totalViolations } from '@switchwheel/types';
import type { RegistryState } from '@switchwheel/membership';
import { formatMetrics, metricSample, now } from '@switchwheel/runtime';

/** Measurements of the process that are not part of the registry's state. */
export interface ProcessReadings {
  /** Longest delay of the event loop since the start. */
  readonly maxLoopLagMs: number;
  /** Number of channels closed because of a protocol violation by the peer. */
  readonly protocolErrorCount: number;
}

/** Renders the metrics in Prometheus' text format. */
export const renderRegistryMetrics = (state: RegistryState, readings: ProcessReadings): string => {
  const { feed, member, voter } = state;
  const ownSessions = [...state.sessions.values()].filter(
    (session) => session.registry === member.node,
  );
  return formatMetrics([
    metricSample('sessions', ownSessions.length),
    metricSample('origins', state.origins.size),
    metricSample('generation', feed.current?.generation ?? 0),
    metricSample('purges_top', feed.latestPurge),
    metricSample('feed_age_ms', feed.asOf === undefined ? -1 : Math.round(now() - feed.asOf)),
    metricSample('pieces', state.chunks.size),
    metricSample('pieces_wanted', state.chunkWaiters.size),
    metricSample('calls_pending', state.pendingCommands.size),
    metricSample('invariant_violations_total', totalViolations(state.violations)),
    metricSample('voter_recovering', voter.isRecovering ? 1 : 0),
    metricSample('loop_lag_worst_ms', readings.maxLoopLagMs),
    metricSample('foreign_channels_total', readings.protocolErrorCount),
    metricSample('memory_bytes', process.memoryUsage.rss()),
  ]);
};
