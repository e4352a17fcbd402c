/** Faults of callers: immediate retries and floods of requests. */

import type { Fault } from './fault.js';

/** All faults of callers. */
export const callerFaults: readonly Fault[] = [
  {
    name: 'immediate retries',
    weight: 1,
    inject: (context) => {
      context.log('callers retry immediately');
      context.callers.maxImmediateRetries = 4;
      context.world.eventQueue.schedule(context.uniform(2000, 8000), () => {
        context.callers.maxImmediateRetries = 0;
      });
    },
  },
  {
    name: 'flood',
    weight: 1,
    inject: (context) => {
      const { world } = context;
      const service = world.random.pick(world.layout.services)?.name;
      if (service === undefined) return;
      const kind = world.random.pick(['plain', 'act'] as const) ?? 'plain';
      context.log(`flood of ${kind} requests to ${service}`);
      context.callers.floodedUntil.set(`/${service}/${kind}/`, world.eventQueue.now + 8000);
      for (let index = 0; index < 900; index += 1)
        world.eventQueue.schedule(index * 2.5, () => {
          context.callers.send({ kind, service, isFlood: true });
        });
    },
  },
];
