/** Commands of operators that come among the faults: configurations, purges and rollouts. */

import type { Fault } from './fault.js';

/** Configurations and purges, valid and not, alone and many at once. */
export const operatorFaults: readonly Fault[] = [
  {
    name: 'apply',
    weight: 4,
    cause: (context) => {
      context.world.apply(context.world.random.integer(1, 1_000_000));
    },
  },
  {
    name: 'apply an invalid one',
    weight: 1,
    cause: (context) => {
      context.log('apply an invalid description');
      context.world.coverage.record('R4: an invalid description came');
      context.world.apply(context.world.random.integer(1, 1_000_000), undefined, 'invalid');
    },
  },
  {
    name: 'apply a huge one',
    weight: 1,
    cause: (context) => {
      context.log('apply a huge description');
      context.world.coverage.record('R4: a huge description came');
      context.world.apply(context.world.random.integer(1, 1_000_000), undefined, 'huge');
    },
  },
  {
    name: 'collide',
    weight: 2,
    cause: (context) => {
      const base = context.world.primary()?.state?.control.configuration?.offer.generation;
      if (base === undefined) return;
      context.log(`collide on ${base}`);
      context.world.coverage.record('R4: two descriptions collided');
      context.world.apply(context.world.random.integer(1, 1_000_000), base);
      context.world.apply(context.world.random.integer(1, 1_000_000), base);
    },
  },
  {
    name: 'purge',
    weight: 4,
    cause: (context) => {
      const { world } = context;
      const service = world.random.pick(world.layout.services)?.name ?? '';
      const path = `/${service}/read/${world.random.integer(0, 19)}`;
      world.purge([path], [{ by: 'object', path }]);
    },
  },
  {
    name: 'purge storm',
    weight: 1,
    cause: (context) => {
      const { world } = context;
      for (const service of world.layout.services) {
        for (let index = 0; index < 20; index += 1) {
          const path = `/${service.name}/read/${index}`;
          world.eventQueue.schedule(context.randomMs(0, 500), () => {
            world.purge([path], [{ by: 'object', path }]);
          });
        }
      }
    },
  },
];

/** Commands of operators that number their configurations; caused only where a run asks for them by name. */
export const numberedCommandFaults: readonly Fault[] = [
  {
    name: 'numbered race',
    weight: 3,
    cause: (context) => {
      context.log('two operators race under one number');
      context.operators?.applyConcurrently();
    },
  },
  {
    name: 'numbered apply',
    weight: 3,
    cause: (context) => context.operators?.apply(),
  },
  {
    name: 'numbered repeat',
    weight: 4,
    cause: (context) => context.operators?.repeatConfiguration(),
  },
  {
    name: 'order a release',
    weight: 2,
    cause: (context) => context.operators?.requestRollout(),
  },
  {
    name: 'order a release again',
    weight: 3,
    cause: (context) => context.operators?.repeatRollout(),
  },
];
