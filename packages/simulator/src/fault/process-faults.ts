/** Faults of proxies and registries, one at a time, many at once or all. */

import { SimulatedStore } from '../processes/store.js';
import { freezeFor, killFor, restartAfter, stopProxy } from './process-actions.js';
import type { Fault } from './fault.js';

export const processFaults: readonly Fault[] = [
  {
    name: 'kill proxy',
    weight: 6,
    cause: (context) => {
      const one = context.world.random.pick(context.world.proxies);
      if (one?.isAlive === true) killFor(context, one, context.randomMs(100, 3000));
    },
  },
  {
    name: 'stop proxy',
    weight: 4,
    cause: (context) => {
      const one = context.world.random.pick(context.world.proxies);
      if (one !== undefined) stopProxy(context, one);
    },
  },
  {
    name: 'freeze proxy',
    weight: 5,
    cause: (context) => {
      const one = context.world.random.pick(context.world.proxies);
      if (one?.isAlive === true && !one.isFrozen)
        freezeFor(context, one, context.randomMs(200, 5000));
    },
  },
  {
    name: 'kill registry',
    weight: 4,
    cause: (context) => {
      const one = context.world.random.pick(context.world.registries);
      if (one?.isAlive === true) killFor(context, one, context.randomMs(100, 3000));
    },
  },
  {
    name: 'freeze registry',
    weight: 4,
    cause: (context) => {
      const one = context.world.random.pick(context.world.registries);
      if (one?.isAlive === true && !one.isFrozen)
        freezeFor(context, one, context.randomMs(200, 5000));
    },
  },
  {
    name: 'lame node',
    weight: 1,
    cause: (context) => {
      const one = context.world.random.pick(context.world.proxies);
      if (one === undefined || one.failsToCompile) return;
      context.log(`lame ${one.node}`);
      one.failsToCompile = true;
      const span = context.randomMs(1000, 5000);
      context.world.eventQueue.schedule(span, () => {
        one.failsToCompile = false;
      });
    },
  },
  {
    name: 'kill everything',
    weight: 1,
    cause: (context) => {
      if (!context.reserveCoreFault(12_000)) return;
      context.log('kill everything');
      context.world.coverage.record('R12: everything was killed');
      for (const target of context.world.allProcesses) {
        target.kill();
        restartAfter(context, target, context.randomMs(50, 1500));
      }
    },
  },
  {
    name: 'kill many',
    weight: 1,
    cause: (context) => {
      if (!context.reserveCoreFault(6000)) return;
      const doomed = context.world.allProcesses.filter(
        (one) => !(one instanceof SimulatedStore) && context.world.random.happens(0.5),
      );
      context.log(`kill ${doomed.map((one) => one.node).join(' ')}`);
      for (const target of doomed)
        if (target.isAlive) killFor(context, target, context.randomMs(50, 1500));
    },
  },
];
