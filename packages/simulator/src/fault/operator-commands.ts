/** Commands of operators that run among the faults: configurations, purges and rollouts. */

import type { Fault } from './fault.js';

/** Configurations and purges: valid, invalid, concurrent and in bulk. */
export const operatorFaults: readonly Fault[] = [
  {
    name: 'apply',
    weight: 4,
    inject: (context) => {
      context.world.apply(context.world.random.integer(1, 1_000_000));
    },
  },
  {
    name: 'apply an invalid configuration',
    weight: 1,
    inject: (context) => {
      context.log('apply an invalid configuration');
      context.world.coverage.record('R4: an invalid configuration was submitted');
      context.world.apply(context.world.random.integer(1, 1_000_000), undefined, 'invalid');
    },
  },
  {
    name: 'apply a very large configuration',
    weight: 1,
    inject: (context) => {
      context.log('apply a very large configuration');
      context.world.coverage.record('R4: a very large configuration was submitted');
      context.world.apply(context.world.random.integer(1, 1_000_000), undefined, 'huge');
    },
  },
  {
    name: 'concurrent applies',
    weight: 2,
    inject: (context) => {
      const base = context.world.primary()?.state?.control.configuration?.offer.generation;
      if (base === undefined) return;
      context.log(`apply two configurations to generation ${base}`);
      context.world.coverage.record('R4: two configurations were applied to the same base');
      context.world.apply(context.world.random.integer(1, 1_000_000), base);
      context.world.apply(context.world.random.integer(1, 1_000_000), base);
    },
  },
  {
    name: 'purge',
    weight: 4,
    inject: (context) => {
      const { world } = context;
      const service = world.random.pick(world.layout.services)?.name ?? '';
      const path = `/${service}/read/${world.random.integer(0, 19)}`;
      world.purge([path], [{ by: 'object', path }]);
    },
  },
  {
    name: 'purge many objects',
    weight: 1,
    inject: (context) => {
      const { world } = context;
      for (const service of world.layout.services) {
        for (let index = 0; index < 20; index += 1) {
          const path = `/${service.name}/read/${index}`;
          world.eventQueue.schedule(context.uniform(0, 500), () => {
            world.purge([path], [{ by: 'object', path }]);
          });
        }
      }
    },
  },
];

/** Commands of operators that number their configurations; only for runs that select them by name. */
export const numberedCommandFaults: readonly Fault[] = [
  {
    name: 'numbered race',
    weight: 3,
    inject: (context) => {
      context.log('two operators apply different configurations under one number');
      context.operators?.applyConcurrently();
    },
  },
  {
    name: 'numbered apply',
    weight: 3,
    inject: (context) => context.operators?.apply(),
  },
  {
    name: 'numbered repeat',
    weight: 4,
    inject: (context) => context.operators?.repeatConfiguration(),
  },
  {
    name: 'order a release',
    weight: 2,
    inject: (context) => context.operators?.requestRollout(),
  },
  {
    name: 'order a release again',
    weight: 3,
    inject: (context) => context.operators?.repeatRollout(),
  },
];
