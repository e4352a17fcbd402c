import { increment as add, toServiceName } from '@switchwheel/types';
import { SimCallers } from '../cast/callers.js';
import { Ground } from '../fault/faults.js';
import { Rules } from '../rules/rules.js';
import { type Layout, World } from '../world/world.js';

export const clips = toServiceName('clips');
export const acts = toServiceName('acts');

/** A formed fleet with callers and rules, for runs that cause one failure. */
export interface Scene {
  readonly world: World;
  readonly callers: SimCallers;
  readonly rules: Rules;
  readonly ground: Ground;
}

export const scene = (seed: number, perSecond: number, change: Partial<Layout> = {}): Scene => {
  const world = new World({
    seed,
    edges: 3,
    shields: 4,
    services: [
      { name: clips, origins: 3, slots: 8, perSecond: undefined },
      { name: acts, origins: 3, slots: 4, perSecond: 80 },
    ],
    ...change,
  });
  const callers = new SimCallers(world, perSecond);
  const rules = new Rules(world, callers);
  world.form();
  return { world, callers, rules, ground: new Ground(world, rules, callers) };
};

/** Ends a run: no more callers, all that is under way ends, every rule is checked. */
export const close = ({ world, callers, rules }: Scene): readonly string[] => {
  callers.end();
  world.run(6000);
  return rules.finish();
};

/** How callers fared over a part of a run. */
export const tally = (
  callers: SimCallers,
  from = 0,
  to = Infinity,
): ReadonlyMap<string, number> => {
  const count = new Map<string, number>();
  for (const one of callers.asked) {
    if (one.sentAt < from || one.sentAt >= to) continue;
    add(count, one.result?.kind ?? 'silent');
  }
  return count;
};

export const seeds = (many: number): readonly number[] =>
  Array.from({ length: many }, (_, at) => 100 + at);
