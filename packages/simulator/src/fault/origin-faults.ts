/** Faults of origins, and new releases. */

import { type Address, toRelease } from '@switchwheel/types';
import type { SimulatedOrigin } from '../processes/origin.js';
import type { World } from '../world/world.js';
import type { Fault } from './fault.js';

/** Starts another instance of the same release, with the same failure probability. */
const addReplacementOrigin = (
  world: World,
  origin: SimulatedOrigin,
  address: Address | undefined,
): void => {
  world.addOrigin(origin.service, origin.slots, origin.release, address).failureProbability =
    origin.failureProbability;
};

/** Crashes, replacements, faulty responses and bad releases of origins. */
export const originFaults: readonly Fault[] = [
  {
    name: 'crash origin',
    weight: 2,
    inject: (context) => {
      const { world } = context;
      const runningOrigins = world.origins.filter(
        (origin) => origin.isAlive && origin.state === 'up',
      );
      const origin = world.random.pick(runningOrigins);
      if (
        origin === undefined ||
        runningOrigins.filter((other) => other.service === origin.service).length < 2
      )
        return;
      context.log(`crash ${origin.instance}`);
      origin.crash();
      world.eventQueue.schedule(context.uniform(500, 4000), () =>
        addReplacementOrigin(world, origin, world.random.happens(0.5) ? origin.address : undefined),
      );
    },
  },
  {
    name: 'replace origin',
    weight: 3,
    inject: (context) => {
      const { world } = context;
      const origin = world.random.pick(
        world.origins.filter((other) => other.isAlive && other.state === 'up'),
      );
      if (origin === undefined) return;
      context.log(`replace ${origin.instance}`);
      addReplacementOrigin(world, origin, undefined);
      world.eventQueue.schedule(1000, () =>
        origin.leave(world.random.happens(0.5) ? 'leaving' : 'gone'),
      );
      world.eventQueue.schedule(9000, () => origin.crash());
    },
  },
  {
    name: 'reuse address',
    weight: 1,
    inject: (context) => {
      const { world } = context;
      const origin = world.random.pick(
        world.origins.filter((other) => other.isAlive && other.state === 'up'),
      );
      const other = world.random.pick(
        world.layout.services.filter((service) => service.name !== origin?.service),
      );
      if (origin === undefined || other === undefined) return;
      world.coverage.record('R6: an address was reused by another service');
      context.log(`reuse ${origin.address} of ${origin.instance} for ${other.name}`);
      addReplacementOrigin(world, origin, undefined);
      origin.crash();
      world.eventQueue.schedule(context.uniform(10, 500), () =>
        world.addOrigin(other.name, other.slots, 'r1', origin.address),
      );
    },
  },
  {
    name: 'slow origin',
    weight: 2,
    inject: (context) => {
      const origin = context.world.random.pick(
        context.world.origins.filter((other) => other.isAlive),
      );
      if (origin === undefined) return;
      origin.extraLatencyMs = context.uniform(50, 1500);
      context.log(`slow ${origin.instance} by ${Math.round(origin.extraLatencyMs)} ms`);
      context.world.eventQueue.schedule(context.uniform(1000, 6000), () => {
        origin.extraLatencyMs = 0;
      });
    },
  },
  {
    name: 'losing origin',
    weight: 2,
    inject: (context) => {
      const origin = context.world.random.pick(
        context.world.origins.filter((other) => other.isAlive),
      );
      if (origin === undefined) return;
      context.log(`faulty responses of ${origin.instance}`);
      origin.lossProbability = context.uniform(0.05, 0.6);
      origin.corruptionProbability = context.uniform(0, 0.3);
      origin.truncationProbability = context.uniform(0, 0.2);
      origin.wrongInstanceProbability = context.uniform(0, 0.1);
      context.world.eventQueue.schedule(context.uniform(1000, 6000), () => {
        origin.clearResponseFaults();
      });
    },
  },
  {
    name: 'bad release',
    weight: 1,
    inject: (context) => {
      const { world } = context;
      const service = world.random.pick(world.layout.services);
      if (service === undefined) return;
      const release = context.newRelease();
      const origin = world.addOrigin(service.name, service.slots, release);
      origin.failureProbability = context.uniform(0.3, 1);
      context.ruleChecker.badReleases.add(toRelease(release));
      world.coverage.record('R10: a bad release was started');
      context.log(`bad release ${release} of ${service.name}`);
      world.eventQueue.schedule(20_000, () => origin.leave('leaving'));
    },
  },
  {
    name: 'good release',
    weight: 1,
    inject: (context) => {
      const service = context.world.random.pick(context.world.layout.services);
      if (service === undefined) return;
      const release = context.newRelease();
      context.log(`good release ${release} of ${service.name}`);
      context.world.addOrigin(service.name, service.slots, release);
    },
  },
];
