/** Guards against control traffic per node of an idle fleet that exceeds the rates in `docs/CAPACITY.md`. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toServiceName } from '@switchwheel/types';
import { type Frame, serializeFrame } from '@switchwheel/transport';
import type { SimulatedProxy } from '../processes/proxy.js';
import { World } from '../world/world.js';

/** Size of a fleet. One node is a shield, as each shield brings a registry. */
interface FleetSize {
  readonly nodes: number;
  readonly origins: number;
  readonly services: number;
}

const stores = 2;
const shields = 1;
/** Each shield and each store has a registry on its machine. */
const registries = shields + stores;
/** Each registry gossips to all others. */
const registryLinks = registries * (registries - 1);
const smallFleet: FleetSize = { nodes: 6, origins: 4, services: 2 };

const settleMs = 2000;
const windowMs = 2000;
/** Maximum time of a change, a purge or a reconnection. */
const completionLimitMs = 20_000;
/** Length and checksum that a channel puts before each frame. */
const frameHeaderBytes = 8;

interface FrameCount {
  readonly messages: number;
  readonly bytes: number;
}

/** Control traffic of one window, in messages and bytes a second. */
interface Traffic {
  readonly byKind: ReadonlyMap<Frame['kind'], FrameCount>;
  /** Bytes a second received by an edge, the mean of all edges. */
  readonly bytesPerEdge: number;
}

/** Creates a fleet without requests or changes. */
const calmFleet = ({ nodes, origins, services }: FleetSize): World => {
  const world = new World({
    seed: 1,
    edges: nodes - shields,
    shields,
    stores,
    services: Array.from({ length: services }, (_, index) => ({
      name: toServiceName(`service-${index}`),
      origins: origins / services,
      slots: 8,
      perSecond: undefined,
    })),
  });
  world.bootstrap();
  world.runFor(settleMs);
  return world;
};

/** Measures all control frames of one window. */
const measureTraffic = (world: World): Traffic => {
  const byKind = new Map<Frame['kind'], FrameCount>();
  const edges = new Set<string>(world.edges.map((edge) => edge.node));
  let edgeBytes = 0;
  world.frameObserver = {
    frameSent: (_from, to, frame) => {
      const bytes = serializeFrame(frame).length + frameHeaderBytes;
      const previous = byKind.get(frame.kind) ?? { messages: 0, bytes: 0 };
      byKind.set(frame.kind, { messages: previous.messages + 1, bytes: previous.bytes + bytes });
      if (edges.has(to.node)) edgeBytes += bytes;
    },
  };
  world.runFor(windowMs);
  world.frameObserver = undefined;
  const seconds = windowMs / 1000;
  return {
    byKind: new Map(
      [...byKind].map(([kind, { messages, bytes }]) => [
        kind,
        { messages: messages / seconds, bytes: bytes / seconds },
      ]),
    ),
    bytesPerEdge: edgeBytes / edges.size / seconds,
  };
};

const trafficOf = (size: FleetSize): Traffic => measureTraffic(calmFleet(size));

/** Measures the traffic with purges spread evenly over the window. */
const trafficWithPurges = (size: FleetSize, purgesPerSecond: number): Traffic => {
  const world = calmFleet(size);
  const count = (purgesPerSecond * windowMs) / 1000;
  for (let index = 0; index < count; index += 1) {
    const path = `/service-0/read/${index}`;
    world.eventQueue.schedule((index * windowMs) / count, () => {
      world.purge([path], [{ by: 'object', path }]);
    });
  }
  return measureTraffic(world);
};

const messagesPerSecond = (traffic: Traffic, kind: Frame['kind']): number =>
  traffic.byKind.get(kind)?.messages ?? 0;

const bytesPerMessage = (traffic: Traffic, kind: Frame['kind']): number => {
  const count = traffic.byKind.get(kind);
  assert.ok(count !== undefined, `no frame of kind ${kind}`);
  return count.bytes / count.messages;
};

/** Asserts three to four and a half heartbeats a second from each node and each store. */
const assertHeartbeatRate = (traffic: Traffic, nodes: number): void => {
  const heartbeats = messagesPerSecond(traffic, 'heartbeat');
  const senders = nodes + stores;
  assert.ok(heartbeats > senders * 3, `${heartbeats} heartbeats of ${senders} processes`);
  assert.ok(heartbeats <= senders * 4.5, `${heartbeats} heartbeats of ${senders} processes`);
};

void test('each process sends three to four and a half heartbeats a second in a fleet of any size', () => {
  assertHeartbeatRate(trafficOf(smallFleet), 6);
  assertHeartbeatRate(trafficOf({ ...smallFleet, nodes: 12 }), 12);
});

void test('each heartbeat in an idle fleet gets one reply', () => {
  const traffic = trafficOf(smallFleet);
  const unanswered =
    messagesPerSecond(traffic, 'heartbeat') - messagesPerSecond(traffic, 'heartbeat-reply');
  assert.ok(Math.abs(unanswered) <= 2, `${unanswered} heartbeats a second without a reply`);
});

void test('gossip among registries does not grow with the number of nodes', () => {
  for (const nodes of [6, 12]) {
    const gossip = messagesPerSecond(trafficOf({ ...smallFleet, nodes }), 'gossip');
    assert.ok(gossip <= registryLinks * 3.5, `${gossip} frames of gossip with ${nodes} nodes`);
  }
});

void test('a process in an idle fleet receives at most one and a half member lists a second', () => {
  const nodes = 12;
  const lists = messagesPerSecond(trafficOf({ ...smallFleet, nodes }), 'member-list');
  assert.ok(lists <= (nodes + stores) * 1.5, `${lists} member lists`);
});

void test('the bytes an edge receives at most double when the number of nodes doubles', () => {
  const sixNodesBytes = trafficOf(smallFleet).bytesPerEdge;
  const twelveNodesBytes = trafficOf({ ...smallFleet, nodes: 12 }).bytesPerEdge;
  assert.ok(
    sixNodesBytes > 0 && twelveNodesBytes < 2 * sixNodesBytes + 2500,
    `${sixNodesBytes} and ${twelveNodesBytes} bytes a second`,
  );
});

void test('runs with the same seed send the same frames', () => {
  assert.deepEqual([...trafficOf(smallFleet).byKind], [...trafficOf(smallFleet).byKind]);
});

/** Mean size in bytes of a heartbeat reply over a window, without the canary results. */
const replyBytes = (size: FleetSize, isReceiver: (node: string) => boolean): number => {
  const world = calmFleet(size);
  let count = 0;
  let bytes = 0;
  world.frameObserver = {
    frameSent: (_from, to, frame) => {
      if (frame.kind !== 'heartbeat-reply' || !isReceiver(to.node)) return;
      count += 1;
      bytes += serializeFrame({ ...frame, verdicts: [] }).length + frameHeaderBytes;
    },
  };
  world.runFor(windowMs);
  assert.ok(count > 0);
  return bytes / count;
};

/** Size of the record of one release in a reply. */
const releaseRecordBytes = 82;
const fewServices: FleetSize = { ...smallFleet, origins: 12 };
const manyServices: FleetSize = { ...fewServices, services: 12 };
const moreServices = manyServices.services - fewServices.services;

void test('heartbeat replies repeat the releases of each service to the stores only', () => {
  const isAny = (): boolean => true;
  const fewServicesBytes = replyBytes(fewServices, isAny);
  const manyServicesBytes = replyBytes(manyServices, isAny);
  assert.ok(
    manyServicesBytes < fewServicesBytes + moreServices * releaseRecordBytes * 0.4,
    `${fewServicesBytes} and ${manyServicesBytes} bytes in a reply`,
  );
});

void test('a heartbeat reply to an idle edge does not grow with the number of services', () => {
  const isEdge = (node: string): boolean => node.startsWith('edge-');
  const fewServicesBytes = replyBytes(fewServices, isEdge);
  const manyServicesBytes = replyBytes(manyServices, isEdge);
  assert.ok(
    manyServicesBytes < fewServicesBytes + releaseRecordBytes,
    `${fewServicesBytes} and ${manyServicesBytes} bytes in a reply`,
  );
});

void test('a feed with a purge does not grow with the number of nodes', () => {
  const sixNodesBytes = bytesPerMessage(trafficWithPurges(smallFleet, 10), 'feed');
  const twelveNodesBytes = bytesPerMessage(
    trafficWithPurges({ ...smallFleet, nodes: 12 }, 10),
    'feed',
  );
  assert.ok(
    twelveNodesBytes < sixNodesBytes + 20,
    `${sixNodesBytes} and ${twelveNodesBytes} bytes in a feed`,
  );
});

const adoptedGeneration = (proxy: SimulatedProxy): number =>
  proxy.state?.nodeAgent.compiledConfiguration?.generation ?? 0;

void test('a configuration change takes effect on every node', () => {
  const world = calmFleet(smallFleet);
  world.apply(2);
  const isInForce = (): boolean => world.proxies.every((proxy) => adoptedGeneration(proxy) >= 2);
  assert.ok(!isInForce());
  assert.ok(world.runUntil(completionLimitMs, isInForce));
});

void test('a purge reaches every node', () => {
  const world = calmFleet(smallFleet);
  const path = '/service-0/read/1';
  const purge = world.purge([path], [{ by: 'object', path }]);
  const isDone = (): boolean => {
    const seq = purge.reply?.status === 200 ? purge.reply.purge : undefined;
    return (
      seq !== undefined &&
      world.proxies.every((proxy) => (proxy.state?.nodeAgent.lastPurgeSeq ?? 0) >= seq)
    );
  };
  assert.ok(!isDone());
  assert.ok(world.runUntil(completionLimitMs, isDone));
});

/** Whether every node has a session with a live registry that knows of it. */
const hasAllSessions = (world: World): boolean =>
  world.proxies.every((proxy) => {
    const link = proxy.state?.nodeAgent.nodeSession.registryLink;
    const registry = world.registries.find(
      (registry) => registry.isAlive && registry.address === link?.address,
    );
    return (
      registry !== undefined &&
      link?.lastHeardAt !== undefined &&
      registry.state?.sessions.get(proxy.node)?.registry === registry.node
    );
  });

void test('the nodes of a lost registry connect to another one', () => {
  const world = calmFleet(smallFleet);
  const nodeRegistry = world.edges[0]?.state?.nodeAgent.nodeSession.registryLink?.address;
  const lost = world.registries.find((registry) => registry.address === nodeRegistry);
  assert.ok(lost !== undefined && hasAllSessions(world));
  lost.kill();
  assert.ok(!hasAllSessions(world));
  assert.ok(world.runUntil(completionLimitMs, () => hasAllSessions(world)));
});

void test('every node has a session again after all registries were lost and restarted', () => {
  const world = calmFleet(smallFleet);
  for (const registry of world.registries) registry.kill();
  world.eventQueue.schedule(500, () => {
    for (const registry of world.registries) registry.start();
  });
  assert.ok(!hasAllSessions(world));
  assert.ok(world.runUntil(completionLimitMs, () => hasAllSessions(world)));
});
