/** Faults of processes: one, many or all at once. */

import { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { FaultContext } from './fault-context.js';
import { freezeFor, killFor, restartAfter, stopProxy } from './process-actions.js';
import type { Fault } from './fault.js';

const killRandom = (context: FaultContext, candidates: readonly SimulatedProcess[]): void => {
  const target = context.world.random.pick(candidates);
  if (target?.isAlive === true) killFor(context, target, context.uniform(100, 3000));
};

const freezeRandom = (context: FaultContext, candidates: readonly SimulatedProcess[]): void => {
  const target = context.world.random.pick(candidates);
  if (target?.isAlive === true && !target.isFrozen)
    freezeFor(context, target, context.uniform(200, 5000));
};

/** All faults of processes. */
export const processFaults: readonly Fault[] = [
  {
    name: 'kill proxy',
    weight: 6,
    inject: (context) => killRandom(context, context.world.proxies),
  },
  {
    name: 'stop proxy',
    weight: 4,
    inject: (context) => {
      const proxy = context.world.random.pick(context.world.proxies);
      if (proxy !== undefined) stopProxy(context, proxy);
    },
  },
  {
    name: 'freeze proxy',
    weight: 5,
    inject: (context) => freezeRandom(context, context.world.proxies),
  },
  {
    name: 'kill registry',
    weight: 4,
    inject: (context) => killRandom(context, context.world.registries),
  },
  {
    name: 'freeze registry',
    weight: 4,
    inject: (context) => freezeRandom(context, context.world.registries),
  },
  {
    name: 'compile failure',
    weight: 1,
    inject: (context) => {
      const proxy = context.world.random.pick(context.world.proxies);
      if (proxy === undefined || proxy.failsToCompile) return;
      context.log(`configurations fail to compile on ${proxy.node}`);
      proxy.failsToCompile = true;
      const durationMs = context.uniform(1000, 5000);
      context.world.eventQueue.schedule(durationMs, () => {
        proxy.failsToCompile = false;
      });
    },
  },
  {
    name: 'kill everything',
    weight: 1,
    inject: (context) => {
      if (!context.reserveCoreFault(12_000)) return;
      context.log('kill everything');
      context.world.coverage.record('R12: all processes were killed at once');
      for (const target of context.world.allProcesses) {
        target.kill();
        restartAfter(context, target, context.uniform(50, 1500));
      }
    },
  },
  {
    name: 'kill many',
    weight: 1,
    inject: (context) => {
      if (!context.reserveCoreFault(6000)) return;
      const targets = context.world.allProcesses.filter(
        (target) => !(target instanceof SimulatedStore) && context.world.random.happens(0.5),
      );
      context.log(`kill ${targets.map((target) => target.node).join(' ')}`);
      for (const target of targets)
        if (target.isAlive) killFor(context, target, context.uniform(50, 1500));
    },
  },
];
