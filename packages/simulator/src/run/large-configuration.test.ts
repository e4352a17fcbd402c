/**
 * Whatever configuration can be applied can be read back whole, and no frame on the way is larger
 * than a frame may be.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { noGeneration, toCommandId, toServiceName } from '@switchwheel/types';
import {
  type ChunkedConfiguration,
  splitIntoChunks,
  runToCompletion,
} from '@switchwheel/configuration';
import { type Frame, serializeFrame, maxFrameBytes } from '@switchwheel/transport';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import type { FrameObserver } from '../world/process.js';
import { createConfiguration } from '../world/configuration.js';
import { type FleetLayout, World } from '../world/world.js';

const layout: FleetLayout = {
  seed: 41,
  edges: 2,
  shields: 2,
  stores: 3,
  replication: { copies: 3, tolerate: 1, electorateFollowsRegistries: false },
  services: [{ name: toServiceName('clips'), origins: 1, slots: 4, perSecond: undefined }],
};

/** Frames that bear chunks of a configuration, or all of it. */
const weighed: ReadonlySet<Frame['kind']> = new Set([
  'call',
  'called',
  'piece',
  'replicate',
  'resync-entries',
]);

/** A world that weighs the frames which bear chunks. */
class WeighingWorld extends World {
  largestFrame = 0;
  override readonly frameObserver: FrameObserver = {
    frameSent: (_from, _to, frame) => {
      if (weighed.has(frame.kind))
        this.largestFrame = Math.max(this.largestFrame, serializeFrame(frame).length);
    },
  };
}

/** A configuration of many routes, each padded to a length. */
const descriptionOf = (routes: number, pathLength: number): object => ({
  ...createConfiguration(layout, 1),
  routes: Array.from({ length: routes }, (_, at) => ({
    name: `route-${at}`,
    path: `/objects/${at}/`.padEnd(pathLength, 'x'),
    service: 'clips',
    class: 'bulk',
  })),
});

const bundleOf = (description: object): ChunkedConfiguration => {
  const made = runToCompletion(splitIntoChunks(description));
  if (made.isErr) throw new Error(JSON.stringify(made.error));
  return made.value;
};

const settled = (
  world: World,
  spanMs: number,
  begin: (done: (told: RegistryReply) => void) => void,
): RegistryReply | undefined => {
  let told: RegistryReply | undefined;
  begin((answer) => {
    told = answer;
  });
  world.runUntil(spanMs, () => told !== undefined);
  return told;
};

const apply = (
  world: World,
  registry: SimulatedRegistry,
  id: string,
  bundle: ChunkedConfiguration,
): RegistryReply | undefined =>
  settled(world, 15_000, (done) => {
    registry.handleRequest(
      { verb: 'apply', id: toCommandId(id), baseGeneration: undefined, ...bundle },
      done,
    );
  });

const readBack = (
  world: World,
  registry: SimulatedRegistry,
  id: string,
): RegistryReply | undefined =>
  settled(world, 25_000, (done) => {
    registry.handleRequest({ verb: 'view', id: toCommandId(id), viewName: 'description' }, done);
  });

const assertEqualDescription = (told: RegistryReply | undefined, description: object): void => {
  assert.ok(told?.status === 200, told?.body.slice(0, 200));
  const held: unknown = JSON.parse(told.body);
  assert.ok(typeof held === 'object' && held !== null && 'description' in held);
  assert.deepEqual(held.description, description);
};

const sizes = [
  { routes: 12_000, pathLength: 40, least: 1_000_000 },
  { routes: 15_000, pathLength: 640, least: maxFrameBytes + 1 },
] as const;

for (const { routes, pathLength, least } of sizes) {
  void test(`${routes} routes of ${pathLength} signs are applied, read back equal from each registry, and get to a new store, in frames of bounded size`, (context) => {
    const world = new WeighingWorld(layout);
    world.bootstrap();
    const description = descriptionOf(routes, pathLength);
    const bundle = bundleOf(description);
    const bytes = [...bundle.chunks.values()].reduce((sum, one) => sum + one.length, 0);
    assert.ok(bytes >= least, `${bytes} bytes`);
    const [first] = world.registries;
    assert.ok(first !== undefined);
    const appliedFrom = world.eventQueue.now;
    assert.equal(apply(world, first, 'large', bundle)?.status, 200);
    const acknowledgedAt = world.eventQueue.now;
    assert.ok(
      world.runUntil(5000, () =>
        world.edges.every(
          (edge) => edge.state?.nodeAgent.compiledConfiguration?.hash === bundle.hash,
        ),
      ),
      'in force at each edge',
    );
    context.diagnostic(
      `${bytes} bytes: acknowledged after ${Math.round(acknowledgedAt - appliedFrom)} ms, in force ${Math.round(world.eventQueue.now - acknowledgedAt)} ms later (simulated time)`,
    );
    world.runFor(2000);
    for (const [at, registry] of world.registries.entries())
      assertEqualDescription(readBack(world, registry, `read-${at}`), description);
    const inSync = (): readonly string[] => world.primary()?.state?.metadata?.inSyncSet ?? [];
    assert.ok(
      world.runUntil(5000, () => inSync().length === 3),
      'all stores took the write',
    );
    const gone = world.stores.find((one) => one !== world.primary());
    assert.ok(gone !== undefined);
    world.removeStore(gone);
    const fresh = world.addStore('store-9', 9);
    assert.ok(
      world.runUntil(8000, () => inSync().includes(fresh.node)),
      'a new store got all of it',
    );
    assert.ok(world.largestFrame <= maxFrameBytes, `a frame of ${world.largestFrame} bytes`);
  });
}

void test('a description is read back while others are put in force 20 times a second: what is read was in force meanwhile', () => {
  const world = new World(layout);
  world.bootstrap();
  const large = [0, 1].map((at) => bundleOf({ ...descriptionOf(2000 + at, 40) }));
  let serial = 0;
  let working = true;
  const change = (): void => {
    if (!working) return;
    serial += 1;
    const bundle = large[serial % 2];
    if (bundle !== undefined)
      world.registries[0]?.handleRequest(
        {
          verb: 'apply',
          id: toCommandId(`change-${serial}`),
          baseGeneration: undefined,
          ...bundle,
        },
        () => undefined,
      );
    world.eventQueue.schedule(50, change);
  };
  change();
  world.runFor(2000);
  for (let turn = 0; turn < 10; turn += 1) {
    const before = world.primary()?.state?.control.configuration?.offer.generation ?? noGeneration;
    const registry = world.registries[1 + (turn % (world.registries.length - 1))];
    assert.ok(registry !== undefined);
    const told = readBack(world, registry, `amid-${turn}`);
    const after = world.primary()?.state?.control.configuration?.offer.generation ?? noGeneration;
    assert.ok(told?.status === 200, told?.body.slice(0, 200));
    const generation = Number(/"generation":(\d+)/.exec(told.body)?.[1]);
    assert.ok(generation >= before && generation <= after, `${before} ${generation} ${after}`);
    world.runFor(70);
  }
  working = false;
});
