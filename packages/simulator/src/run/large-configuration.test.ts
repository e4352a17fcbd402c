/** Guards against large configurations that can't be read back, or that exceed the maximum frame size on the way. */

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

/** Kinds of frames that carry chunks of a configuration, or all of it. */
const measuredFrameKinds: ReadonlySet<Frame['kind']> = new Set([
  'call',
  'called',
  'piece',
  'replicate',
  'resync-entries',
]);

/** A world that records the size of the largest frame with configuration chunks. */
class FrameMeasuringWorld extends World {
  largestFrame = 0;
  override readonly frameObserver: FrameObserver = {
    frameSent: (_from, _to, frame) => {
      if (measuredFrameKinds.has(frame.kind))
        this.largestFrame = Math.max(this.largestFrame, serializeFrame(frame).length);
    },
  };
}

/** Creates a configuration of many routes with paths padded to a length. */
const createLargeConfiguration = (routes: number, pathLength: number): object => ({
  ...createConfiguration(layout, 1),
  routes: Array.from({ length: routes }, (_, index) => ({
    name: `route-${index}`,
    path: `/objects/${index}/`.padEnd(pathLength, 'x'),
    service: 'clips',
    class: 'bulk',
  })),
});

const splitConfiguration = (configuration: object): ChunkedConfiguration => {
  const result = runToCompletion(splitIntoChunks(configuration));
  if (result.isErr) throw new Error(JSON.stringify(result.error));
  return result.value;
};

const awaitReply = (
  world: World,
  timeoutMs: number,
  sendRequest: (done: (reply: RegistryReply) => void) => void,
): RegistryReply | undefined => {
  let reply: RegistryReply | undefined;
  sendRequest((received) => {
    reply = received;
  });
  world.runUntil(timeoutMs, () => reply !== undefined);
  return reply;
};

const apply = (
  world: World,
  registry: SimulatedRegistry,
  id: string,
  chunked: ChunkedConfiguration,
): RegistryReply | undefined =>
  awaitReply(world, 15_000, (done) => {
    registry.handleRequest(
      { verb: 'apply', id: toCommandId(id), baseGeneration: undefined, ...chunked },
      done,
    );
  });

const readBack = (
  world: World,
  registry: SimulatedRegistry,
  id: string,
): RegistryReply | undefined =>
  awaitReply(world, 25_000, (done) => {
    registry.handleRequest({ verb: 'view', id: toCommandId(id), viewName: 'description' }, done);
  });

const assertEqualConfiguration = (
  reply: RegistryReply | undefined,
  configuration: object,
): void => {
  assert.ok(reply?.status === 200, reply?.body.slice(0, 200));
  const body: unknown = JSON.parse(reply.body);
  assert.ok(typeof body === 'object' && body !== null && 'description' in body);
  assert.deepEqual(body.description, configuration);
};

const sizes = [
  { routes: 12_000, pathLength: 40, minBytes: 1_000_000 },
  { routes: 15_000, pathLength: 640, minBytes: maxFrameBytes + 1 },
] as const;

for (const { routes, pathLength, minBytes } of sizes) {
  void test(`a configuration of ${routes} routes with paths of ${pathLength} characters is applied, read back unchanged from each registry and copied to a new store in frames of bounded size`, (context) => {
    const world = new FrameMeasuringWorld(layout);
    world.bootstrap();
    const configuration = createLargeConfiguration(routes, pathLength);
    const chunked = splitConfiguration(configuration);
    const bytes = [...chunked.chunks.values()].reduce((sum, chunk) => sum + chunk.length, 0);
    assert.ok(bytes >= minBytes, `${bytes} bytes`);
    const [first] = world.registries;
    assert.ok(first !== undefined);
    const requestedAt = world.eventQueue.now;
    assert.equal(apply(world, first, 'large', chunked)?.status, 200);
    const acknowledgedAt = world.eventQueue.now;
    assert.ok(
      world.runUntil(5000, () =>
        world.edges.every(
          (edge) => edge.state?.nodeAgent.compiledConfiguration?.hash === chunked.hash,
        ),
      ),
      'every edge runs the configuration',
    );
    context.diagnostic(
      `${bytes} bytes: acknowledged after ${Math.round(acknowledgedAt - requestedAt)} ms, active on every edge ${Math.round(world.eventQueue.now - acknowledgedAt)} ms later (simulated time)`,
    );
    world.runFor(2000);
    for (const [index, registry] of world.registries.entries())
      assertEqualConfiguration(readBack(world, registry, `read-${index}`), configuration);
    const inSync = (): readonly string[] => world.primary()?.state?.metadata?.inSyncSet ?? [];
    assert.ok(
      world.runUntil(5000, () => inSync().length === 3),
      'all stores are in sync',
    );
    const removed = world.stores.find((store) => store !== world.primary());
    assert.ok(removed !== undefined);
    world.removeStore(removed);
    const added = world.addStore('store-9', 9);
    assert.ok(
      world.runUntil(8000, () => inSync().includes(added.node)),
      'the new store is in sync',
    );
    assert.ok(world.largestFrame <= maxFrameBytes, `largest frame has ${world.largestFrame} bytes`);
  });
}

void test('a configuration read back during 20 changes a second was active at some time during the read', () => {
  const world = new World(layout);
  world.bootstrap();
  const alternatives = [0, 1].map((index) =>
    splitConfiguration({ ...createLargeConfiguration(2000 + index, 40) }),
  );
  let changeCount = 0;
  let isRunning = true;
  const submitChange = (): void => {
    if (!isRunning) return;
    changeCount += 1;
    const chunked = alternatives[changeCount % 2];
    if (chunked !== undefined)
      world.registries[0]?.handleRequest(
        {
          verb: 'apply',
          id: toCommandId(`change-${changeCount}`),
          baseGeneration: undefined,
          ...chunked,
        },
        () => undefined,
      );
    world.eventQueue.schedule(50, submitChange);
  };
  submitChange();
  world.runFor(2000);
  for (let round = 0; round < 10; round += 1) {
    const before = world.primary()?.state?.control.configuration?.offer.generation ?? noGeneration;
    const registry = world.registries[1 + (round % (world.registries.length - 1))];
    assert.ok(registry !== undefined);
    const reply = readBack(world, registry, `amid-${round}`);
    const after = world.primary()?.state?.control.configuration?.offer.generation ?? noGeneration;
    assert.ok(reply?.status === 200, reply?.body.slice(0, 200));
    const generation = Number(/"generation":(\d+)/.exec(reply.body)?.[1]);
    assert.ok(
      generation >= before && generation <= after,
      `active before: ${before}, read: ${generation}, active after: ${after}`,
    );
    world.runFor(70);
  }
  isRunning = false;
});
