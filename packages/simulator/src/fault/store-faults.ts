/** Faults of stores and their disks. */

import type { SimulatedStore } from '../processes/store.js';
import type { DiskCondition } from '../world/virtual-disk.js';
import type { FaultContext } from './fault-context.js';
import { freezeFor, hasUnansweredWrite, killFor, restartAfter } from './process-actions.js';
import type { Fault } from './fault.js';

/** Applies a configuration, and cuts the power of the first store at which `isDue` holds for its write. */
const losePowerDuringWrite = (
  context: FaultContext,
  isDue: (store: SimulatedStore) => boolean,
): void => {
  const { world } = context;
  const primary = world.primary();
  if (primary === undefined || context.reserveDiskFault(3000) === undefined) return;
  const write = world.apply(world.random.integer(1, 1_000_000));
  const deadline = world.eventQueue.now + 500;
  const check = (): void => {
    if (world.eventQueue.now > deadline) return;
    const [store] = world.stores.filter((store) => store.isAlive && isDue(store));
    if (store === undefined) {
      world.eventQueue.schedule(0.25, check);
      return;
    }
    context.log(`power of ${store.node} lost during write ${write.id}`);
    killFor(context, store, context.uniform(100, 2500));
    if (world.random.happens(0.3)) {
      world.coverage.record('a store lost its disk after acknowledging a write');
      store.disk.wipe();
    }
  };
  check();
};

/** Kills a store, damages its disk and restarts it after a delay. */
const damageDisk = (
  context: FaultContext,
  verb: string,
  damage: (store: SimulatedStore) => void,
): void => {
  const store = context.reserveDiskFault(4000);
  if (store === undefined) return;
  context.log(`${verb} ${store.node}`);
  store.kill();
  damage(store);
  restartAfter(context, store, context.uniform(200, 2000));
};

/** Makes a disk full or stalled for a while. Returns false if no disk may fail now. */
const blockDisk = (
  context: FaultContext,
  condition: Exclude<DiskCondition, 'healthy'>,
  minDurationMs: number,
): boolean => {
  const durationMs = context.uniform(minDurationMs, 6000);
  const store = context.reserveDiskFault(durationMs);
  if (store === undefined) return false;
  context.log(`${condition} disk of ${store.node} for ${Math.round(durationMs)} ms`);
  store.disk.condition = condition;
  context.world.eventQueue.schedule(durationMs, () => store.disk.recover());
  return true;
};

/** All faults of stores; at most one store has a fault at a time. */
export const storeFaults: readonly Fault[] = [
  {
    name: 'kill store',
    weight: 3,
    inject: (context) => {
      const store = context.reserveDiskFault(2500);
      if (store !== undefined) killFor(context, store, context.uniform(100, 2500));
    },
  },
  {
    name: 'freeze store',
    weight: 3,
    inject: (context) => {
      const store = context.reserveDiskFault(4000);
      if (store !== undefined) freezeFor(context, store, context.uniform(300, 4000));
    },
  },
  {
    name: 'power lost before a sync',
    weight: 1,
    inject: (context) =>
      losePowerDuringWrite(context, (store) => store.writePhase === 'writingToDisk'),
  },
  {
    name: 'power lost during replication',
    weight: 1,
    inject: (context) =>
      losePowerDuringWrite(context, (store) => store.writePhase === 'replicating'),
  },
  {
    name: 'power lost before the reply',
    weight: 1,
    inject: (context) =>
      losePowerDuringWrite(
        context,
        (store) => store === context.world.primary() && hasUnansweredWrite(context, store),
      ),
  },
  {
    name: 'disk lost after acknowledging',
    weight: 1,
    inject: (context) => {
      const { world } = context;
      const write = world.apply(world.random.integer(1, 1_000_000));
      const deadline = world.eventQueue.now + 1000;
      const check = (): void => {
        if (write.reply?.status === 200) {
          const store = context.reserveDiskFault(4000);
          if (store === undefined) return;
          context.log(`wipe disk of ${store.node} just after write ${write.id}`);
          world.coverage.record('a store lost its disk after acknowledging a write');
          killFor(context, store, context.uniform(200, 2000));
          store.disk.wipe();
        } else if (world.eventQueue.now < deadline) world.eventQueue.schedule(1, check);
      };
      check();
    },
  },
  {
    name: 'stop store',
    weight: 2,
    inject: (context) => {
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
    inject: (context) => damageDisk(context, 'wipe disk of', (store) => store.disk.wipe()),
  },
  {
    name: 'tear disk',
    weight: 1,
    inject: (context) =>
      damageDisk(context, 'tear disk of', (store) => {
        store.disk.isTorn = true;
      }),
  },
  {
    name: 'fill disk',
    weight: 2,
    inject: (context) => {
      if (blockDisk(context, 'full', 1000)) context.world.coverage.record('a disk was full');
    },
  },
  {
    name: 'stall disk',
    weight: 2,
    inject: (context) => {
      if (blockDisk(context, 'stalled', 500)) context.world.coverage.record('a disk was stalled');
    },
  },
];
