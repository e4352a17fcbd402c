/** Loss of a whole zone, rolling restarts of all proxies, and replacements of registries. */

import { killFor, stopProxy } from './process-actions.js';
import type { Fault } from './fault.js';
import { replaceRegistry } from './registry-replacement.js';

/** Faults of whole zones, and planned changes of machines. */
export const zoneFaults: readonly Fault[] = [
  {
    name: 'lose an area',
    weight: 1,
    inject: (context) => {
      const durationMs = context.uniform(1000, 6000);
      const store = context.reserveZoneFault(durationMs);
      if (store === undefined) return;
      const affected = context.world.allProcesses.filter((process) => process.zone === store.zone);
      context.log(`lose zone ${store.zone} for ${Math.round(durationMs)} ms`);
      context.world.coverage.record('a zone was lost');
      for (const process of affected)
        killFor(context, process, durationMs + context.uniform(0, 500));
    },
  },
  {
    name: 'stop all in turn',
    weight: 1,
    inject: (context) => {
      const { eventQueue, proxies } = context.world;
      context.log('stop all proxies in turn');
      for (const [index, proxy] of proxies.entries())
        eventQueue.schedule(index * 1500, () => stopProxy(context, proxy));
    },
  },
  {
    name: 'replace a registry',
    weight: 1,
    inject: replaceRegistry,
  },
];
