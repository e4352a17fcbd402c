/** Faults of the network between processes: partitions, slow links and lossy links. */

import { SimulatedProxy } from '../processes/proxy.js';
import { goodConditions, lossyConditions, slowConditions } from '../world/network.js';
import type { FaultContext } from './fault-context.js';
import type { Fault } from './fault.js';

const healLater = (context: FaultContext, span: number): void =>
  context.world.eventQueue.schedule(span, () => {
    context.log('heal');
    context.world.network.heal();
  });

export const networkFaults: readonly Fault[] = [
  {
    name: 'isolate machine',
    weight: 3,
    cause: (context) => {
      const span = context.randomMs(300, 5000);
      if (!context.reserveCoreFault(span)) return;
      const one = context.world.random.pick(context.world.allProcesses);
      if (one === undefined) return;
      const actors = context.processesOnMachineOf(one);
      const way = context.world.random.pick(['both', 'both', 'out', 'in'] as const) ?? 'both';
      context.log(
        `isolate ${actors.map((each) => each.node).join(' ')} ${way} for ${Math.round(span)}`,
      );
      context.isolate(actors, way);
      healLater(context, span);
    },
  },
  {
    name: 'split core',
    weight: 2,
    cause: (context) => {
      const span = context.randomMs(500, 5000);
      if (!context.reserveCoreFault(span)) return;
      const side = context.world.registries
        .filter(() => context.world.random.happens(0.5))
        .flatMap((one) => context.processesOnMachineOf(one));
      context.log(`split ${side.map((one) => one.node).join(' ')} for ${Math.round(span)}`);
      context.isolate(side, 'both');
      healLater(context, span);
    },
  },
  {
    name: 'cut core off from edges',
    weight: 1,
    cause: (context) => {
      const span = context.randomMs(500, 4000);
      if (!context.reserveCoreFault(span)) return;
      context.log(`cut edges off for ${Math.round(span)}`);
      for (const edge of context.world.edges) {
        for (const other of context.world.allProcesses) {
          if (other instanceof SimulatedProxy && other.role === 'edge') continue;
          context.world.network.cut(edge.node, other.node);
          context.world.network.cut(other.node, edge.node);
        }
      }
      healLater(context, span);
    },
  },
  {
    name: 'flapping machine',
    weight: 2,
    cause: (context) => {
      if (!context.reserveCoreFault(6000)) return;
      const one = context.world.random.pick(context.world.allProcesses);
      if (one === undefined) return;
      const actors = context.processesOnMachineOf(one);
      context.log(`flap ${actors.map((each) => each.node).join(' ')}`);
      for (let turn = 0; turn < 8; turn += 1) {
        context.world.eventQueue.schedule(turn * 700, () => context.isolate(actors, 'both'));
        context.world.eventQueue.schedule(turn * 700 + context.randomMs(50, 600), () =>
          context.world.network.heal(),
        );
      }
      healLater(context, 6000);
    },
  },
  {
    name: 'slow links',
    weight: 1,
    cause: (context) => {
      const span = context.randomMs(1000, 6000);
      context.log(`slow links for ${Math.round(span)}`);
      context.world.network.conditions = slowConditions;
      context.world.eventQueue.schedule(span, () => {
        context.world.network.conditions = goodConditions;
      });
    },
  },
  {
    name: 'rough weather',
    weight: 2,
    cause: (context) => {
      const span = context.randomMs(1000, 6000);
      context.log(`rough weather for ${Math.round(span)}`);
      context.world.network.conditions = lossyConditions;
      context.world.eventQueue.schedule(span, () => {
        context.world.network.conditions = goodConditions;
      });
    },
  },
];
