/** Metrics of an edge without shields; their names are part of the operators' interface. */

import { totalViolations } from '@switchwheel/types';
import type { NodeAgent } from '@switchwheel/proxy-core';
import type { EdgeRouter } from '@switchwheel/routing';
import { formatMetrics, metricSample } from '@switchwheel/runtime';
import type { ClientListener } from './client-listener.js';

/** Returns the metrics as text; `maxLoopLagMs` is the maximum event loop lag since the last call. */
export const edgeMetrics = (
  nodeAgent: NodeAgent,
  router: EdgeRouter,
  { bodyBudget }: ClientListener,
  maxLoopLagMs: number,
): string =>
  formatMetrics([
    metricSample('generation', nodeAgent.compiledConfiguration?.generation ?? 0),
    metricSample('newest_generation', nodeAgent.configFreshness.newestGeneration),
    metricSample('invariant_violations_total', totalViolations(nodeAgent.violations)),
    metricSample('origins', nodeAgent.nodeSession.origins.size),
    metricSample('requests_open', router.openRequests),
    metricSample('loop_lag_worst_ms', Math.round(maxLoopLagMs)),
    metricSample('memory_bytes', process.memoryUsage.rss()),
    metricSample('body_memory_limit_bytes', bodyBudget.limitBytes),
    metricSample('body_memory_bytes', bodyBudget.heldBytes),
    metricSample('bodies_waiting', bodyBudget.waitingBodies),
    ...[...router.counts].map(([name, value]) => metricSample(`requests_${name}_total`, value)),
  ]);
