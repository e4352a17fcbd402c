/**
 * What stores and registries keep depends on the fleet as it is, not on how much was ordered: after
 * a first part that fills the bounded records, 400 descriptions and 2,000 purges leave a flat line.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toServiceName } from '@switchwheel/types';
import { maxKeptGenerations } from '@switchwheel/configuration';
import { World } from '../world/world.js';

const clips = toServiceName('clips');
const rounds = 4;
const changesPerRound = 600;
/** Every sixth change is a configuration, the others are purges. */
const descriptionEvery = 6;
/** Every tenth configuration has 1,500 routes more. */
const largeEvery = 60;
const changeInterval = 12;
/** By how much a size may differ from one round to another: what just moves. */
const slack = 12;

type Sizes = ReadonlyMap<string, number>;

const sizeOf = (value: unknown): number | undefined =>
  value instanceof Map || value instanceof Set
    ? value.size
    : Array.isArray(value)
      ? value.length
      : undefined;

/** The size of each map, set and list of a state. */
const sizesOf = (name: string, state: object | undefined): readonly (readonly [string, number])[] =>
  Object.entries(state ?? {}).flatMap(([key, value]: [string, unknown]) => {
    const size = sizeOf(value);
    return size === undefined ? [] : [[`${name}.${key}`, size] as const];
  });

const measure = (world: World): Sizes => {
  const sizes = new Map<string, number>();
  for (const store of world.stores) {
    const state = store.state;
    const name: string = store.node;
    for (const [key, size] of [
      ...sizesOf(name, state),
      ...sizesOf(`${name}.control`, state?.control),
      ...sizesOf(`${name}.session`, state?.session),
    ])
      sizes.set(key, size);
    const numbers = state?.control.hashByGeneration.size ?? 0;
    assert.ok(numbers <= maxKeptGenerations, `${numbers} numbers are kept`);
    // Which content a number has is kept for longer than these runs: it is bounded by a count.
    const entries = [...(state?.table ?? [])].filter(([key]) => !key.startsWith('number/'));
    sizes.delete(`${name}.control.hashByGeneration`);
    sizes.set(`${name}.table`, entries.length);
    sizes.set(
      `${name} table bytes`,
      entries.reduce((sum, [key, one]) => sum + key.length + one.data.length, 0),
    );
  }
  for (const registry of world.registries) {
    const state = registry.state;
    for (const [key, size] of [
      ...sizesOf(registry.node, state),
      ...sizesOf(`${registry.node}.feed`, state?.feed),
      ...sizesOf(`${registry.node}.voter`, state?.voter),
    ])
      sizes.set(key, size);
  }
  return sizes;
};

/** What grew from one measure to another by more than it may. */
const growth = (before: Sizes, after: Sizes): readonly string[] =>
  [...after].flatMap(([name, size]) => {
    const was = before.get(name) ?? 0;
    const limit = name.endsWith('bytes') ? was * 1.05 : was + slack;
    return size > limit ? [`${name}: ${was}, then ${size}`] : [];
  });

const formed = (seed: number): World => {
  const world = new World({
    seed,
    edges: 1,
    shields: 1,
    stores: 3,
    replication: {
      copies: 3,
      tolerate: 1,
      electorateFollowsRegistries: false,
      persistsOrigins: true,
    },
    services: [{ name: clips, origins: 1, slots: 4, perSecond: undefined }],
  });
  world.bootstrap();
  return world;
};

const orderRound = (world: World, from: number): void => {
  for (let at = from; at < from + changesPerRound; at += 1) {
    if (at % descriptionEvery === 0)
      world.apply(1000 + at, undefined, at % largeEvery === 0 ? 'huge' : 'plain');
    else world.purge([], [{ by: 'tag', tag: `tag-${at}` }]);
    world.runFor(changeInterval);
  }
  // The round ends on a plain configuration, so that rounds are alike.
  world.apply(900_000 + from);
  world.runFor(4000);
};

void test('400 descriptions and 2,000 purges: no map of a store or registry, and not the table, grows once it is full', () => {
  const world = formed(71);
  const line: Sizes[] = [];
  for (let round = 0; round < rounds; round += 1) {
    orderRound(world, round * changesPerRound);
    line.push(measure(world));
  }
  const told = world.writes.filter((one) => one.reply?.status === 200);
  assert.ok(
    told.length > 0.95 * rounds * changesPerRound,
    `${told.length} of ${world.writes.length} taken`,
  );
  const [, second, third, fourth] = line;
  assert.ok(second !== undefined && third !== undefined && fourth !== undefined);
  assert.deepEqual(growth(second, third), []);
  assert.deepEqual(growth(second, fourth), []);
});

void test('500 origins come and go: a minute later nothing is left of them, in registries, stores and nodes', () => {
  const world = formed(72);
  world.runFor(3000);
  const before = measure(world);
  for (let turn = 0; turn < 10; turn += 1) {
    const fresh = Array.from({ length: 50 }, () => world.addOrigin(clips, 2));
    world.runFor(1500);
    // Half of them say that they leave, the others are silent from now on.
    for (const [at, origin] of fresh.entries()) {
      if (at % 2 === 0) origin.crash();
      else origin.leave('gone');
    }
    world.runFor(1500);
    for (const origin of fresh) origin.crash();
  }
  const busy = measure(world);
  world.runFor(75_000);
  assert.deepEqual(growth(before, measure(world)), []);
  assert.ok([...busy].some(([name, size]) => name.endsWith('.origins') && size > 300));
  for (const proxy of world.proxies) {
    const known = proxy.state?.nodeAgent.nodeSession.origins.size ?? 0;
    assert.ok(known < slack, `${proxy.node} knows ${known} origins`);
  }
});
