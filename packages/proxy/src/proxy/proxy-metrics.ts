/** Metrics of a proxy; their names are part of the operators' interface. */

import type { ChannelPool } from '@switchwheel/transport';
import {
  type Cache,
  type EdgeRequestHandler,
  type ProxyState,
  type ShieldRequestHandler,
  isReady,
} from '@switchwheel/proxy-core';
import { type MetricSample, metricSample, now } from '@switchwheel/runtime';

/** Data sources of the metrics. */
export interface ProxyMetricsSources {
  readonly state: () => ProxyState;
  readonly cache: Cache;
  readonly channels: ChannelPool;
  readonly edgeHandler: EdgeRequestHandler;
  readonly shieldHandler: ShieldRequestHandler;
  /** Returns the maximum event loop lag in milliseconds since the last call. */
  readonly takeMaxLagMs: () => number;
}

/** Returns a function that reads the metrics; the reported loop lag is the maximum since the start. */
export const proxyMetrics = (sources: ProxyMetricsSources): (() => readonly MetricSample[]) => {
  const { state, cache, channels, edgeHandler, shieldHandler, takeMaxLagMs } = sources;
  let worstLagMs = 0;
  return () => {
    const { nodeAgent, forwarding } = state();
    worstLagMs = Math.max(worstLagMs, takeMaxLagMs());
    return [
      metricSample('ready', isReady(nodeAgent, now()) ? 1 : 0),
      metricSample('generation', nodeAgent.compiledConfiguration?.generation ?? 0),
      metricSample('purged', nodeAgent.lastPurgeSeq),
      metricSample('cache_bytes', cache.bytes),
      metricSample('cache_objects', cache.size),
      metricSample('forwarding', forwarding.requests.size),
      metricSample('loop_lag_worst_ms', worstLagMs),
      metricSample('foreign_channels_total', channels.protocolErrorCount),
      metricSample('memory_bytes', process.memoryUsage.rss()),
      ...labelledCounts('edge', edgeHandler.counts),
      ...labelledCounts('shield', shieldHandler.counts),
    ];
  };
};

const labelledCounts = (
  side: string,
  counts: ReadonlyMap<string, number>,
): readonly MetricSample[] =>
  [...counts].map(([counterName, value]) => ({
    name: `${side}_total`,
    labels: new Map([['what', counterName]]),
    value,
  }));
