/** Faults of stores and their disks. */

import type { SimulatedStore } from '../processes/store.js';
import type { FaultContext } from './fault-context.js';
import { freezeFor, hasUnansweredWrite, killFor, restartAfter } from './process-actions.js';
import type { Fault } from './fault.js';

/** Waits, step by step, for a moment in the life of a store, and then takes its power. */
const losePowerDuringWrite = (
  context: FaultContext,
  isDue: (store: SimulatedStore) => boolean,
): void => {
  const { world } = context;
  const primary = world.primary();
  if (primary === undefined || context.reserveDiskFault(3000) === undefined) return;
  const write = world.apply(world.random.integer(1, 1_000_000));
  const until = world.eventQueue.now + 500;
  const check = (): void => {
    if (world.eventQueue.now > until) return;
    const [store] = world.stores.filter((one) => one.isAlive && isDue(one));
    if (store === undefined) {
      world.eventQueue.schedule(0.25, check);
      return;
    }
    context.log(`power of ${store.node} lost amid ${write.id}`);
    killFor(context, store, context.randomMs(100, 2500));
    if (world.random.happens(0.3)) {
      world.coverage.record('a store lost its disk after confirming');
      store.disk.wipe();
    }
  };
  check();
};

export const storeFaults: readonly Fault[] = [
  {
    name: 'kill store',
    weight: 3,
    cause: (context) => {
      const store = context.reserveDiskFault(2500);
      if (store !== undefined) killFor(context, store, context.randomMs(100, 2500));
    },
  },
  {
    name: 'freeze store',
    weight: 3,
    cause: (context) => {
      const store = context.reserveDiskFault(4000);
      if (store !== undefined) freezeFor(context, store, context.randomMs(300, 4000));
    },
  },
  {
    name: 'power lost before a sync',
    weight: 1,
    cause: (context) => losePowerDuringWrite(context, (store) => store.writePhase === 'disk'),
  },
  {
    name: 'power lost between the disks',
    weight: 1,
    cause: (context) => losePowerDuringWrite(context, (store) => store.writePhase === 'copy'),
  },
  {
    name: 'power lost before the answer',
    weight: 1,
    cause: (context) =>
      losePowerDuringWrite(
        context,
        (store) => store === context.world.primary() && hasUnansweredWrite(context, store),
      ),
  },
  {
    name: 'disk lost after confirming',
    weight: 1,
    cause: (context) => {
      const { world } = context;
      const write = world.apply(world.random.integer(1, 1_000_000));
      const until = world.eventQueue.now + 1000;
      const check = (): void => {
        if (write.reply?.status === 200) {
          const store = context.reserveDiskFault(4000);
          if (store === undefined) return;
          context.log(`wipe ${store.node} just after ${write.id}`);
          world.coverage.record('a store lost its disk after confirming');
          killFor(context, store, context.randomMs(200, 2000));
          store.disk.wipe();
        } else if (world.eventQueue.now < until) world.eventQueue.schedule(1, check);
      };
      check();
    },
  },
  {
    name: 'stop store',
    weight: 2,
    cause: (context) => {
      const store = context.reserveDiskFault(3000);
      if (store === undefined) return;
      context.log(`stop ${store.node}`);
      store.stop();
      restartAfter(context, store, 2500);
    },
  },
  {
    name: 'wipe store',
    weight: 2,
    cause: (context) => {
      const store = context.reserveDiskFault(4000);
      if (store === undefined) return;
      context.log(`wipe ${store.node}`);
      store.kill();
      store.disk.wipe();
      restartAfter(context, store, context.randomMs(200, 2000));
    },
  },
  {
    name: 'tear store',
    weight: 1,
    cause: (context) => {
      const store = context.reserveDiskFault(4000);
      if (store === undefined) return;
      context.log(`tear ${store.node}`);
      store.kill();
      store.disk.isTorn = true;
      restartAfter(context, store, context.randomMs(200, 2000));
    },
  },
  {
    name: 'fill disk',
    weight: 2,
    cause: (context) => {
      const span = context.randomMs(1000, 6000);
      const store = context.reserveDiskFault(span);
      if (store === undefined) return;
      context.log(`fill ${store.node} for ${Math.round(span)}`);
      context.world.coverage.record('a disk was full');
      store.disk.condition = 'full';
      context.world.eventQueue.schedule(span, () => store.disk.recover());
    },
  },
  {
    name: 'stall disk',
    weight: 2,
    cause: (context) => {
      const span = context.randomMs(500, 6000);
      const store = context.reserveDiskFault(span);
      if (store === undefined) return;
      context.log(`stall ${store.node} for ${Math.round(span)}`);
      context.world.coverage.record('a disk was stalled');
      store.disk.condition = 'stalled';
      context.world.eventQueue.schedule(span, () => store.disk.recover());
    },
  },
];
