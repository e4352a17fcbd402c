/** Faults of whole zones and changes of machines: a zone is lost, all proxies are replaced in turn, a registry is replaced. */

import { killFor, stopProxy } from './process-actions.js';
import type { Fault } from './fault.js';
import { replaceRegistry } from './registry-replacement.js';

export const zoneFaults: readonly Fault[] = [
  {
    name: 'lose an area',
    weight: 1,
    cause: (context) => {
      const span = context.randomMs(1000, 6000);
      const store = context.reserveZoneFault(span);
      if (store === undefined) return;
      const lost = context.world.allProcesses.filter((one) => one.zone === store.zone);
      context.log(`lose area ${store.zone} for ${Math.round(span)}`);
      context.world.coverage.record('an area was lost');
      for (const one of lost) killFor(context, one, span + context.randomMs(0, 500));
    },
  },
  {
    name: 'stop all in turn',
    weight: 1,
    cause: (context) => {
      const { eventQueue, proxies } = context.world;
      context.log('stop all proxies in turn');
      for (const [at, one] of proxies.entries())
        eventQueue.schedule(at * 1500, () => stopProxy(context, one));
    },
  },
  {
    name: 'replace a registry',
    weight: 1,
    cause: replaceRegistry,
  },
];
