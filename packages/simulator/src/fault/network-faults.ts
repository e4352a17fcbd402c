/** Faults of the network between processes: partitions, and slow or lossy links. */

import { SimulatedProxy } from '../processes/proxy.js';
import {
  type LinkConditions,
  normalConditions,
  lossyConditions,
  slowConditions,
} from '../world/network.js';
import type { FaultContext } from './fault-context.js';
import type { Fault } from './fault.js';

const healLater = (context: FaultContext, durationMs: number): void =>
  context.world.eventQueue.schedule(durationMs, () => {
    context.log('heal network');
    context.world.network.heal();
  });

/** Changes the conditions of all links for 1 to 6 s. */
const changeConditions = (
  context: FaultContext,
  text: string,
  conditions: LinkConditions,
): void => {
  const { network, eventQueue } = context.world;
  const durationMs = context.uniform(1000, 6000);
  context.log(`${text} for ${Math.round(durationMs)} ms`);
  network.conditions = conditions;
  eventQueue.schedule(durationMs, () => {
    network.conditions = normalConditions;
  });
};

/** All faults of the network. */
export const networkFaults: readonly Fault[] = [
  {
    name: 'isolate machine',
    weight: 3,
    inject: (context) => {
      const durationMs = context.uniform(300, 5000);
      if (!context.reserveCoreFault(durationMs)) return;
      const process = context.world.random.pick(context.world.allProcesses);
      if (process === undefined) return;
      const machine = context.processesOnMachineOf(process);
      const direction = context.world.random.pick(['both', 'both', 'out', 'in'] as const) ?? 'both';
      context.log(
        `isolate ${machine.map((process) => process.node).join(' ')} ${direction} for ${Math.round(durationMs)} ms`,
      );
      context.isolate(machine, direction);
      healLater(context, durationMs);
    },
  },
  {
    name: 'split core',
    weight: 2,
    inject: (context) => {
      const durationMs = context.uniform(500, 5000);
      if (!context.reserveCoreFault(durationMs)) return;
      const side = context.world.registries
        .filter(() => context.world.random.happens(0.5))
        .flatMap((registry) => context.processesOnMachineOf(registry));
      context.log(
        `split core: ${side.map((process) => process.node).join(' ')} for ${Math.round(durationMs)} ms`,
      );
      context.isolate(side, 'both');
      healLater(context, durationMs);
    },
  },
  {
    name: 'partition edges from core',
    weight: 1,
    inject: (context) => {
      const durationMs = context.uniform(500, 4000);
      if (!context.reserveCoreFault(durationMs)) return;
      context.log(`partition edges from core for ${Math.round(durationMs)} ms`);
      for (const edge of context.world.edges) {
        for (const other of context.world.allProcesses) {
          if (other instanceof SimulatedProxy && other.role === 'edge') continue;
          context.world.network.cut(edge.node, other.node);
          context.world.network.cut(other.node, edge.node);
        }
      }
      healLater(context, durationMs);
    },
  },
  {
    name: 'flapping machine',
    weight: 2,
    inject: (context) => {
      if (!context.reserveCoreFault(6000)) return;
      const process = context.world.random.pick(context.world.allProcesses);
      if (process === undefined) return;
      const machine = context.processesOnMachineOf(process);
      context.log(`flap links of ${machine.map((process) => process.node).join(' ')}`);
      for (let round = 0; round < 8; round += 1) {
        context.world.eventQueue.schedule(round * 700, () => context.isolate(machine, 'both'));
        context.world.eventQueue.schedule(round * 700 + context.uniform(50, 600), () =>
          context.world.network.heal(),
        );
      }
      healLater(context, 6000);
    },
  },
  {
    name: 'slow links',
    weight: 1,
    inject: (context) => changeConditions(context, 'slow links', slowConditions),
  },
  {
    name: 'lossy links',
    weight: 2,
    inject: (context) => changeConditions(context, 'lossy links', lossyConditions),
  },
];
