/** Network partitions between one core machine and the rest of the fleet, with each kind of link failure. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { maxLeaseMs } from '@switchwheel/election';
import { toCommandId } from '@switchwheel/types';
import type { SimulatedProxy } from '../processes/proxy.js';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import type { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

const partitionMs = 20_000;
/** Maximum time until a registry detects that it is disconnected, and for its reply to a request. */
const detectionLimitMs = 1300;
const replyLimitMs = 1000;
/** Maximum time after an acknowledgement at which a node may still activate an older configuration. */
const propagationLimitMs = 2000;

/** A core machine: a store with its registry. */
interface Machine {
  readonly store: SimulatedStore;
  readonly registry: SimulatedRegistry;
  readonly processes: readonly SimulatedProcess[];
}

const createFleet = (seed: number): Fixture => {
  const run = createFixture(seed, 20, {
    edges: 3,
    shields: 2,
    stores: 3,
    replication: { copies: 2, tolerate: 1, electorateFollowsRegistries: false },
    offersDiskHints: true,
  });
  run.callers.start();
  run.world.runFor(2000);
  return run;
};

const primaryMachine = (run: Fixture): Machine => {
  const store = run.world.primary();
  assert.ok(store !== undefined);
  const registry = run.world.registries.find(
    (registry) => registry.node === `${store.node}-registry`,
  );
  assert.ok(registry !== undefined);
  return { store, registry, processes: run.faults.processesOnMachineOf(store) };
};

/** A kind of link failure, applied to each direction of each link of the machine. */
interface LinkFault {
  readonly name: string;
  readonly inject: (
    run: Fixture,
    from: SimulatedProcess,
    to: SimulatedProcess,
    isOutbound: boolean,
  ) => void;
}

const resetConnection = (process: SimulatedProcess, other: SimulatedProcess): void => {
  if (process.isAlive) process.execute(() => process.peerDisconnected(other.address));
};
const linkFaults: readonly LinkFault[] = [
  { name: 'silent', inject: (run, from, to) => run.world.network.cut(from.node, to.node) },
  { name: 'stalled', inject: (run, from, to) => run.world.network.stall(from.node, to.node) },
  { name: 'refused', inject: (run, from, to) => run.world.network.refuse(from.node, to.node) },
  {
    name: 'reset',
    inject: (run, from, to) => {
      run.world.network.cut(from.node, to.node);
      resetConnection(from, to);
    },
  },
  {
    name: 'outward only',
    inject: (run, from, to, isOutbound) => {
      if (isOutbound) run.world.network.cut(from.node, to.node);
    },
  },
  {
    name: 'inward only',
    inject: (run, from, to, isOutbound) => {
      if (!isOutbound) run.world.network.stall(from.node, to.node);
    },
  },
];

/** Disconnects a machine from all processes except those on its side of the partition. */
const isolateMachine = (
  run: Fixture,
  machine: Machine,
  linkFault: LinkFault,
  sameSide: readonly SimulatedProcess[] = [],
): void => {
  const isolated = [...machine.processes, ...sameSide];
  for (const inside of isolated) {
    for (const outside of run.world.allProcesses) {
      if (isolated.includes(outside)) continue;
      linkFault.inject(run, inside, outside, true);
      linkFault.inject(run, outside, inside, false);
    }
  }
};

/** A request to a registry during the partition, and its reply. */
interface Probe {
  readonly at: number;
  readonly verb: 'purge' | 'view';
  reply: (RegistryReply & { readonly at: number }) | undefined;
}

let probeCount = 0;
const sendProbe = (run: Fixture, registry: SimulatedRegistry, verb: Probe['verb']): Probe => {
  probeCount += 1;
  const id = toCommandId(`cut-off-${probeCount}`);
  const probe: Probe = { at: run.world.eventQueue.now, verb, reply: undefined };
  registry.handleRequest(
    verb === 'view'
      ? { verb, id, viewName: 'description' }
      : { verb, id, targets: [{ by: 'tag', tag: `none-${probeCount}` }] },
    (reply) => {
      probe.reply = { ...reply, at: run.world.eventQueue.now };
    },
  );
  return probe;
};

/** Applies a configuration, retried until it is accepted, and returns its generation. */
const applyAccepted = (run: Fixture, marker: number): number => {
  for (let attempt = 0; attempt < 30; attempt += 1) {
    const before = run.world.highestAcknowledgedGeneration();
    const write = run.world.apply(marker * 100 + attempt);
    run.world.runUntil(1500, () => write.reply !== undefined);
    if (write.reply?.status === 200 && run.world.highestAcknowledgedGeneration() > before)
      return run.world.highestAcknowledgedGeneration();
  }
  assert.fail('no configuration was accepted in 30 attempts');
};

/** Asserts that each probe got a timely reply, no command was confirmed and no view returned after the lease. */
const assertProbeReplies = (
  partitionedAt: number,
  restartedAt: number,
  probes: readonly Probe[],
  label: string,
): void => {
  for (const probe of probes) {
    const reply = probe.reply;
    const context = `${label}: ${probe.verb} ${Math.round(probe.at - partitionedAt)} ms after the partition: ${reply?.status}`;
    assert.ok(reply !== undefined, `${context}: no reply`);
    assert.ok(
      reply.at - probe.at <= replyLimitMs,
      `${context}, replied after ${reply.at - probe.at} ms`,
    );
    // A primary on this side may serve reads until its lease expires: no other store can change the state.
    if (probe.verb === 'view' && reply.at - partitionedAt <= maxLeaseMs) continue;
    assert.ok(reply.status === 503 || reply.status === 504, context);
    // A registry that was just disconnected or restarted may have forwarded a command before it detected that.
    const isDetected = [partitionedAt, restartedAt].every(
      (at) => probe.at < at || probe.at - at > detectionLimitMs,
    );
    if (probe.verb === 'view' || isDetected) assert.equal(reply.status, 503, context);
  }
};

/** Asserts that no node activated a configuration older than one acknowledged before. */
const assertNoStaleActivation = (
  acknowledged: readonly { readonly generation: number; readonly at: number }[],
  nodes: readonly SimulatedProxy[],
  label: string,
): void => {
  for (const node of nodes) {
    for (const activation of node.activations) {
      const newest = Math.max(
        0,
        ...acknowledged
          .filter((earlier) => earlier.at + propagationLimitMs < activation.at)
          .map((earlier) => earlier.generation),
      );
      assert.ok(
        activation.generation >= newest,
        `${label}: ${node.node} activated ${activation.generation} after ${newest} had been acknowledged`,
      );
    }
  }
};

interface PartitionOptions {
  /** Nodes on the disconnected machine's side of the partition. */
  readonly side?: (run: Fixture) => readonly SimulatedProcess[];
  /** Faults injected during the partition. */
  readonly duringPartition?: (run: Fixture, machine: Machine) => void;
}

/** Partitions the primary's machine, sends commands on both sides, starts edges, heals the partition. */
const runPartition = (
  seed: number,
  linkFault: LinkFault,
  { side, duringPartition }: PartitionOptions = {},
): Fixture => {
  const run = createFleet(seed);
  const { world } = run;
  const machine = primaryMachine(run);
  const { registry } = machine;
  const label = `${linkFault.name}, seed ${seed}`;
  const partitionedAt = world.eventQueue.now;
  isolateMachine(run, machine, linkFault, side?.(run));
  const probes: Probe[] = [];
  const probeUntil = (untilMs: number): void => {
    while (world.eventQueue.now - partitionedAt < untilMs) {
      if (registry.isAlive)
        probes.push(sendProbe(run, registry, 'view'), sendProbe(run, registry, 'purge'));
      world.runFor(250);
    }
  };
  // Wait for replies of the primary that are still in flight.
  world.runFor(100);
  probeUntil(4000);
  const acknowledged: { readonly generation: number; readonly at: number }[] = [];
  for (let round = 0; round < 3; round += 1) {
    const generation = applyAccepted(run, 50 + round);
    acknowledged.push({ generation, at: world.eventQueue.now });
  }
  // Edges without state: one has the disconnected registry among its seeds, the other has no other seed.
  const otherAddresses = world.registries
    .filter((other) => other !== registry)
    .map((registry) => registry.address);
  const newEdge = world.addEdge('fresh-edge', 1, [registry.address, ...otherAddresses.slice(0, 2)]);
  const isolatedEdge = world.addEdge('lost-edge', 2, [registry.address]);
  for (const other of world.allProcesses) {
    if (machine.processes.includes(other) || other === isolatedEdge) continue;
    world.network.cut(isolatedEdge.node, other.node);
    world.network.cut(other.node, isolatedEdge.node);
  }
  const startedAt = world.eventQueue.now;
  const newest = world.highestAcknowledgedGeneration();
  if (side === undefined)
    assert.ok(
      world.runUntil(1500, () => newEdge.activations.at(-1)?.generation === newest),
      `${label}: the new edge activated ${JSON.stringify(newEdge.activations)}, newest is ${newest}`,
    );
  const restartedAt = world.eventQueue.now;
  duringPartition?.(run, machine);
  probeUntil(Math.max(partitionMs, startedAt - partitionedAt + 3000));
  assert.deepEqual(
    isolatedEdge.activations,
    [],
    `${label}: the edge that reaches only the disconnected registry activates nothing`,
  );
  assertProbeReplies(
    partitionedAt,
    restartedAt,
    probes.filter((probe) => probe.at < world.eventQueue.now - replyLimitMs),
    label,
  );
  const healedAt = world.eventQueue.now;
  world.network.heal();
  world.runFor(3000);
  assertNoStaleActivation(acknowledged, world.proxies, label);
  assert.ok(
    world.runUntil(5000, () => world.proxies.every((proxy) => proxy.isReady)),
    `${label}: every node is ready after the partition`,
  );
  const finalGeneration = applyAccepted(run, 90);
  assert.ok(
    world.runUntil(3000, () =>
      world.proxies.every((proxy) => proxy.activations.at(-1)?.generation === finalGeneration),
    ),
    `${label}: ${finalGeneration} is not active on every node ${Math.round(world.eventQueue.now - healedAt)} ms after the partition`,
  );
  return run;
};

for (const linkFault of linkFaults)
  void test(`the fleet survives a partition of the primary's machine for twenty seconds (${linkFault.name})`, () => {
    for (const seed of seedRange(2)) assert.deepEqual(finishRun(runPartition(seed, linkFault)), []);
  });

const silentCut: LinkFault = {
  name: 'silent',
  inject: (run, from, to) => run.world.network.cut(from.node, to.node),
};

void test('processes that restart on the disconnected machine confirm no command and return no state', () => {
  for (const seed of seedRange(2)) {
    const duringPartition = (run: Fixture, machine: Machine): void => {
      for (const process of machine.processes) {
        process.kill();
        run.world.eventQueue.schedule(200, () => process.start());
      }
    };
    assert.deepEqual(finishRun(runPartition(seed, silentCut, { duringPartition })), []);
  }
});

void test('an edge partitioned together with the primary activates no stale configuration, even after a restart', () => {
  for (const seed of seedRange(2)) {
    const side = (run: Fixture): readonly SimulatedProcess[] => run.world.edges.slice(0, 1);
    const duringPartition = (run: Fixture): void => {
      const edge = run.world.edges[0];
      edge?.kill();
      run.world.eventQueue.schedule(100, () => edge?.start());
    };
    assert.deepEqual(finishRun(runPartition(seed, silentCut, { side, duringPartition })), []);
  }
});

void test('a registry disconnected only from the stores, or only from the voters, replies within a second', () => {
  for (const seed of seedRange(2)) {
    for (const role of ['stores', 'registries'] as const) {
      const run = createFleet(seed);
      const { world } = run;
      const primary = primaryMachine(run);
      const registry = world.registries.find((registry) => registry !== primary.registry);
      assert.ok(registry !== undefined);
      for (const other of world[role]) {
        if (other === registry) continue;
        world.network.cut(registry.node, other.node);
        world.network.cut(other.node, registry.node);
      }
      world.runFor(100);
      const probes: Probe[] = [];
      for (let elapsedMs = 0; elapsedMs < partitionMs; elapsedMs += 250) {
        probes.push(sendProbe(run, registry, 'view'), sendProbe(run, registry, 'purge'));
        world.runFor(250);
      }
      world.runFor(replyLimitMs);
      for (const probe of probes) {
        const context = `disconnected from ${role}, seed ${seed}: ${probe.verb} ${probe.reply?.status}`;
        assert.ok(probe.reply !== undefined && probe.reply.at - probe.at <= replyLimitMs, context);
        // A registry that still reaches the primary may forward commands, and the primary confirms them.
        if (role === 'stores') assert.ok([503, 504].includes(probe.reply.status), context);
      }
      world.network.heal();
      world.runFor(3000);
      assert.deepEqual(finishRun(run), []);
    }
  }
});
