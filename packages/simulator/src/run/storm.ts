import { increment, toServiceName } from '@switchwheel/types';
import { SimCallers } from '../cast/callers.js';
import { type Fault, Ground, faults, numberedOrderFaults, pickFault } from '../fault/faults.js';
import { type HistoryPoint, checkHistory } from '../history/checker.js';
import { SimOperators } from '../history/operators.js';
import { Rules } from '../rules/rules.js';
import type { Trial } from '../rules/tried.js';
import { fair } from '../world/net.js';
import { World } from '../world/world.js';

/** What one stormy run is made of: the same options give the same run. */
export interface StormOptions {
  readonly seed: number;
  /** How many faults are caused. */
  readonly steps: number;
  /** Only faults whose names begin so; all if empty. */
  readonly only: readonly string[];
  /** Faults by number that are left out, to shrink a failing run. */
  readonly skip: ReadonlySet<number>;
  readonly trace?: (text: string) => void;
  /** Is given the fleet and its callers before anything happens, to watch the run. */
  readonly observe?: (world: World, callers: SimCallers) => void;
}

export interface StormReport {
  readonly broken: readonly string[];
  readonly faults: ReadonlyMap<string, number>;
  readonly requests: number;
  readonly results: number;
  readonly events: number;
  readonly acted: readonly number[];
  readonly tried: ReadonlyMap<Trial, number>;
  /** How often each point of the operators' history was put to the test. */
  readonly history: ReadonlyMap<HistoryPoint, number>;
}

const calm = (world: World): void => {
  world.net.heal();
  world.net.weather = fair;
  for (const store of world.stores) store.disk.calm();
  for (const actor of world.all) {
    actor.wake();
    actor.start();
  }
  for (const proxy of world.proxies) proxy.lame = false;
  for (const origin of world.origins) {
    origin.slowMs = 0;
    origin.mend();
  }
};

/** A whole fleet in a storm of faults: every rule is checked, and in the end it has to serve again. */
export const storm = (options: StormOptions): StormReport => {
  const { seed } = options;
  const world = new World({
    seed,
    edges: 2 + (seed % 3),
    shields: 3 + (seed % 3),
    services: [
      { name: toServiceName('clips'), origins: 3, slots: 8, perSecond: undefined },
      { name: toServiceName('acts'), origins: 3, slots: 4, perSecond: 60 },
    ],
  });
  const callers = new SimCallers(world, 40);
  const rules = new Rules(world, callers);
  const ground = new Ground(world, rules, callers);
  ground.trace = options.trace;
  options.observe?.(world, callers);
  world.form();
  callers.leaveShare = 0.03;
  callers.begin();
  const list: readonly Fault[] =
    options.only.length === 0
      ? faults
      : [...faults, ...numberedOrderFaults].filter((one) =>
          options.only.some((name) => one.name.startsWith(name)),
        );
  if (list.some((one) => numberedOrderFaults.includes(one))) {
    ground.operators = new SimOperators(world, world.history);
    ground.operators.beginReading();
  }
  const counts = new Map<string, number>();
  const acted: number[] = [];
  for (let step = 0; step < options.steps; step += 1) {
    world.run(world.chance.between(100, 2500));
    const fault = pickFault(ground, list);
    if (fault === undefined || options.skip.has(step)) continue;
    acted.push(step);
    increment(counts, fault.name);
    fault.act(ground);
    if (rules.broken.length > 0) break;
  }
  world.run(6500);
  calm(world);
  ground.say('calm');
  callers.impatience = 0;
  world.run(15_000);
  const missing = world.edges.filter((one) => !one.ready);
  const last = world.edges.flatMap((edge) =>
    Array.from({ length: 10 }, () => callers.one({ edge })),
  );
  world.run(3500);
  callers.end();
  world.run(6000);
  const failed = last.filter((one) => one?.left !== true && one?.result?.kind !== 'result');
  ground.operators?.endReading();
  const history = checkHistory(world.history.operations);
  const broken = [...rules.finish(), ...history.violations.map((one) => `history: ${one}`)];
  if (missing.length > 0)
    broken.push(
      `R12: 15 s after everything calmed down ${missing.map((one) => one.node).join(', ')} did not serve`,
    );
  if (failed.length > 0)
    broken.push(
      `R12: after the calm ${failed.length} of ${last.length} requests got no result: ${JSON.stringify(failed.slice(0, 3).map((one) => [one?.id, one?.path, one?.edge.node, one?.result]))}`,
    );
  return {
    broken,
    faults: counts,
    acted,
    tried: world.tried.counts,
    history: history.counts,
    events: world.net.sent,
    requests: callers.asked.length,
    results: callers.asked.filter((one) => one.result?.kind === 'result').length,
  };
};
