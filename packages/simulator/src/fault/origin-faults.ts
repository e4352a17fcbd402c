/** Faults and releases of origins. */

import { type Address, toRelease } from '@switchwheel/types';
import type { SimulatedOrigin } from '../processes/origin.js';
import type { World } from '../world/world.js';
import type { Fault } from './fault.js';

/** Another run of the very release, with its faults. */
const addReplacementOrigin = (
  world: World,
  one: SimulatedOrigin,
  address: Address | undefined,
): void => {
  world.addOrigin(one.service, one.slots, one.release, address).failureProbability =
    one.failureProbability;
};

export const originFaults: readonly Fault[] = [
  {
    name: 'crash origin',
    weight: 2,
    cause: (context) => {
      const { world } = context;
      const up = world.origins.filter((one) => one.isAlive && one.state === 'up');
      const one = world.random.pick(up);
      if (one === undefined || up.filter((other) => other.service === one.service).length < 2)
        return;
      context.log(`crash ${one.instance}`);
      one.crash();
      world.eventQueue.schedule(context.randomMs(500, 4000), () =>
        addReplacementOrigin(world, one, world.random.happens(0.5) ? one.address : undefined),
      );
    },
  },
  {
    name: 'replace origin',
    weight: 3,
    cause: (context) => {
      const { world } = context;
      const one = world.random.pick(
        world.origins.filter((other) => other.isAlive && other.state === 'up'),
      );
      if (one === undefined) return;
      context.log(`replace ${one.instance}`);
      addReplacementOrigin(world, one, undefined);
      world.eventQueue.schedule(1000, () =>
        one.leave(world.random.happens(0.5) ? 'leaving' : 'gone'),
      );
      world.eventQueue.schedule(9000, () => one.crash());
    },
  },
  {
    name: 'reuse address',
    weight: 1,
    cause: (context) => {
      const { world } = context;
      const one = world.random.pick(
        world.origins.filter((other) => other.isAlive && other.state === 'up'),
      );
      const other = world.random.pick(
        world.layout.services.filter((row) => row.name !== one?.service),
      );
      if (one === undefined || other === undefined) return;
      world.coverage.record('R6: an address was taken by another service');
      context.log(`reuse ${one.address} of ${one.instance} for ${other.name}`);
      addReplacementOrigin(world, one, undefined);
      one.crash();
      world.eventQueue.schedule(context.randomMs(10, 500), () =>
        world.addOrigin(other.name, other.slots, 'r1', one.address),
      );
    },
  },
  {
    name: 'slow origin',
    weight: 2,
    cause: (context) => {
      const one = context.world.random.pick(context.world.origins.filter((other) => other.isAlive));
      if (one === undefined) return;
      one.extraLatencyMs = context.randomMs(50, 1500);
      context.log(`slow ${one.instance} by ${Math.round(one.extraLatencyMs)}`);
      context.world.eventQueue.schedule(context.randomMs(1000, 6000), () => {
        one.extraLatencyMs = 0;
      });
    },
  },
  {
    name: 'losing origin',
    weight: 2,
    cause: (context) => {
      const one = context.world.random.pick(context.world.origins.filter((other) => other.isAlive));
      if (one === undefined) return;
      context.log(`lossy ${one.instance}`);
      one.lossProbability = context.randomMs(0.05, 0.6);
      one.corruptionProbability = context.randomMs(0, 0.3);
      one.truncationProbability = context.randomMs(0, 0.2);
      one.wrongInstanceProbability = context.randomMs(0, 0.1);
      context.world.eventQueue.schedule(context.randomMs(1000, 6000), () => {
        one.repair();
      });
    },
  },
  {
    name: 'bad release',
    weight: 1,
    cause: (context) => {
      const { world } = context;
      const service = world.random.pick(world.layout.services);
      if (service === undefined) return;
      const release = context.newRelease();
      const origin = world.addOrigin(service.name, service.slots, release);
      origin.failureProbability = context.randomMs(0.3, 1);
      context.ruleChecker.badReleases.add(toRelease(release));
      world.coverage.record('R10: a bad release came');
      context.log(`bad release ${release} of ${service.name}`);
      world.eventQueue.schedule(20_000, () => origin.leave('leaving'));
    },
  },
  {
    name: 'good release',
    weight: 1,
    cause: (context) => {
      const service = context.world.random.pick(context.world.layout.services);
      if (service === undefined) return;
      const release = context.newRelease();
      context.log(`good release ${release} of ${service.name}`);
      context.world.addOrigin(service.name, service.slots, release);
    },
  },
];
