/** One core machine is cut off from the others for twenty seconds, in each way that it can be. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { maxLeaseMs } from '@switchwheel/election';
import { toCommandId } from '@switchwheel/types';
import type { SimulatedProxy } from '../processes/proxy.js';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import type { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

const cutSpan = 20_000;
/** How long a registry may take to know that it is cut off, and a call to be answered there. */
const knownAfter = 1300;
const answerLimit = 1000;
/** How long after its acknowledgement a node may still start on the configuration before. */
const spreadLimit = 2000;

/** The machine that is cut off: a store with its registry. */
interface Machine {
  readonly store: SimulatedStore;
  readonly registry: SimulatedRegistry;
  readonly actors: readonly SimulatedProcess[];
}

const fleet = (seed: number): Fixture => {
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
  const registry = run.world.registries.find((one) => one.node === `${store.node}-registry`);
  assert.ok(registry !== undefined);
  return { store, registry, actors: run.faults.processesOnMachineOf(store) };
};

/** One way to lose a machine: what is done to each direction of each of its links. */
interface Cut {
  readonly name: string;
  readonly link: (
    run: Fixture,
    from: SimulatedProcess,
    to: SimulatedProcess,
    outward: boolean,
  ) => void;
}

const reset = (one: SimulatedProcess, other: SimulatedProcess): void => {
  if (one.isAlive) one.execute(() => one.peerDisconnected(other.address));
};
const cutWays: readonly Cut[] = [
  { name: 'silent', link: (run, from, to) => run.world.network.cut(from.node, to.node) },
  { name: 'stalled', link: (run, from, to) => run.world.network.stall(from.node, to.node) },
  { name: 'refused', link: (run, from, to) => run.world.network.refuse(from.node, to.node) },
  {
    name: 'reset',
    link: (run, from, to) => {
      run.world.network.cut(from.node, to.node);
      reset(from, to);
    },
  },
  {
    name: 'outward only',
    link: (run, from, to, outward) => {
      if (outward) run.world.network.cut(from.node, to.node);
    },
  },
  {
    name: 'inward only',
    link: (run, from, to, outward) => {
      if (!outward) run.world.network.stall(from.node, to.node);
    },
  },
];

/** Cuts a machine off from all others but those of its own side. */
const cutOff = (
  run: Fixture,
  machine: Machine,
  way: Cut,
  side: readonly SimulatedProcess[] = [],
): void => {
  const inner = [...machine.actors, ...side];
  for (const one of inner) {
    for (const other of run.world.allProcesses) {
      if (inner.includes(other)) continue;
      way.link(run, one, other, true);
      way.link(run, other, one, false);
    }
  }
};

/** Asks a registry now and then, and keeps what it answers. */
interface Asked {
  readonly at: number;
  readonly verb: 'purge' | 'view';
  told: (RegistryReply & { readonly at: number }) | undefined;
}

let serial = 0;
const ask = (run: Fixture, registry: SimulatedRegistry, verb: Asked['verb']): Asked => {
  serial += 1;
  const id = toCommandId(`cut-off-${serial}`);
  const asked: Asked = { at: run.world.eventQueue.now, verb, told: undefined };
  registry.handleRequest(
    verb === 'view'
      ? { verb, id, viewName: 'description' }
      : { verb, id, targets: [{ by: 'tag', tag: `none-${serial}` }] },
    (told) => {
      asked.told = { ...told, at: run.world.eventQueue.now };
    },
  );
  return asked;
};

/** Applies a configuration, with as many tries as it takes; gives its generation. */
const applied = (run: Fixture, mark: number): number => {
  for (let turn = 0; turn < 30; turn += 1) {
    const before = run.world.highestAcknowledgedGeneration();
    const write = run.world.apply(mark * 100 + turn);
    run.world.runUntil(1500, () => write.reply !== undefined);
    if (write.reply?.status === 200 && run.world.highestAcknowledgedGeneration() > before)
      return run.world.highestAcknowledgedGeneration();
  }
  assert.fail('no description is taken');
};

/** What the cut-off registry said: no command confirmed, no reply after the lease, each within a second. */
const judgeAnswers = (
  since: number,
  restartedAt: number,
  asked: readonly Asked[],
  name: string,
): void => {
  for (const one of asked) {
    const told = one.told;
    const what = `${name}: ${one.verb} ${Math.round(one.at - since)} ms after the cut: ${told?.status}`;
    assert.ok(told !== undefined, `${what}: no answer`);
    assert.ok(told.at - one.at <= answerLimit, `${what} in ${told.at - one.at} ms`);
    // A primary on this side may tell what is stored for as long as its lease stands: nobody else can change it.
    if (one.verb === 'view' && told.at - since <= maxLeaseMs) continue;
    assert.ok(told.status === 503 || told.status === 504, what);
    // One that has just been cut off, or restarted, may have passed an order on before it knew.
    const known = [since, restartedAt].every((at) => one.at < at || one.at - at > knownAfter);
    if (one.verb === 'view' || known) assert.equal(told.status, 503, what);
  }
};

/** No node came to run a configuration that an acknowledged one had replaced. */
const judgeAdopted = (
  acks: readonly { readonly generation: number; readonly at: number }[],
  nodes: readonly SimulatedProxy[],
  name: string,
): void => {
  for (const node of nodes) {
    for (const one of node.activations) {
      const newest = Math.max(
        0,
        ...acks.filter((ack) => ack.at + spreadLimit < one.at).map((ack) => ack.generation),
      );
      assert.ok(
        one.generation >= newest,
        `${name}: ${node.node} took ${one.generation} though ${newest} had been confirmed`,
      );
    }
  }
};

interface CutRun {
  /** Which nodes are on the side that is cut off. */
  readonly side?: (run: Fixture) => readonly SimulatedProcess[];
  /** What happens in the midst of the cut. */
  readonly midway?: (run: Fixture, machine: Machine) => void;
}

/** The whole course: a cut of the primary's machine, orders on both sides, starts of edges, the healing. */
const play = (seed: number, way: Cut, { side, midway }: CutRun = {}): Fixture => {
  const run = fleet(seed);
  const { world } = run;
  const machine = primaryMachine(run);
  const { registry } = machine;
  const name = `${way.name}, seed ${seed}`;
  const since = world.eventQueue.now;
  cutOff(run, machine, way, side?.(run));
  const asked: Asked[] = [];
  const look = (until: number): void => {
    while (world.eventQueue.now - since < until) {
      if (registry.isAlive) asked.push(ask(run, registry, 'view'), ask(run, registry, 'purge'));
      world.runFor(250);
    }
  };
  // The first calls come after the last answer of the primary that was under way.
  world.runFor(100);
  look(4000);
  const acks: { readonly generation: number; readonly at: number }[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    const generation = applied(run, 50 + turn);
    acks.push({ generation, at: world.eventQueue.now });
  }
  // Edges with an empty memory: one knows the cut-off registry among others, one nothing else.
  const others = world.registries.filter((one) => one !== registry).map((one) => one.address);
  const fresh = world.addEdge('fresh-edge', 1, [registry.address, ...others.slice(0, 2)]);
  const lost = world.addEdge('lost-edge', 2, [registry.address]);
  for (const other of world.allProcesses) {
    if (machine.actors.includes(other) || other === lost) continue;
    world.network.cut(lost.node, other.node);
    world.network.cut(other.node, lost.node);
  }
  const started = world.eventQueue.now;
  const newest = world.highestAcknowledgedGeneration();
  if (side === undefined)
    assert.ok(
      world.runUntil(1500, () => fresh.activations.at(-1)?.generation === newest),
      `${name}: the fresh edge runs ${JSON.stringify(fresh.activations)} of ${newest}`,
    );
  const restartedAt = world.eventQueue.now;
  midway?.(run, machine);
  look(Math.max(cutSpan, started - since + 3000));
  assert.deepEqual(lost.activations, [], `${name}: an edge met the cut-off registry alone`);
  judgeAnswers(
    since,
    restartedAt,
    asked.filter((one) => one.at < world.eventQueue.now - answerLimit),
    name,
  );
  const cutEnd = world.eventQueue.now;
  world.network.heal();
  world.runFor(3000);
  judgeAdopted(acks, world.proxies, name);
  assert.ok(
    world.runUntil(5000, () => world.proxies.every((one) => one.isReady)),
    `${name}: all are ready again`,
  );
  const last = applied(run, 90);
  assert.ok(
    world.runUntil(3000, () =>
      world.proxies.every((one) => one.activations.at(-1)?.generation === last),
    ),
    `${name}: ${last} is in force ${Math.round(world.eventQueue.now - cutEnd)} ms after the cut`,
  );
  return run;
};

for (const way of cutWays)
  void test(`the primary's machine is cut off for twenty seconds, ${way.name}`, () => {
    for (const seed of seedRange(2)) assert.deepEqual(finishRun(play(seed, way)), []);
  });

const silent: Cut = {
  name: 'silent',
  link: (run, from, to) => run.world.network.cut(from.node, to.node),
};

void test('processes of the cut-off machine restart there: they hand out and confirm nothing', () => {
  for (const seed of seedRange(2)) {
    const midway = (run: Fixture, machine: Machine): void => {
      for (const one of machine.actors) {
        one.kill();
        run.world.eventQueue.schedule(200, () => one.start());
      }
    };
    assert.deepEqual(finishRun(play(seed, silent, { midway })), []);
  }
});

void test('the primary is cut off with its clients: an edge on its side takes nothing old and starts on nothing', () => {
  for (const seed of seedRange(2)) {
    const side = (run: Fixture): readonly SimulatedProcess[] => run.world.edges.slice(0, 1);
    const midway = (run: Fixture): void => {
      const edge = run.world.edges[0];
      edge?.kill();
      run.world.eventQueue.schedule(100, () => edge?.start());
    };
    assert.deepEqual(finishRun(play(seed, silent, { side, midway })), []);
  }
});

void test('a registry that is cut off from the stores alone, or from the voters alone, answers within a second', () => {
  for (const seed of seedRange(2)) {
    for (const role of ['stores', 'registries'] as const) {
      const run = fleet(seed);
      const { world } = run;
      const primary = primaryMachine(run);
      const registry = world.registries.find((one) => one !== primary.registry);
      assert.ok(registry !== undefined);
      for (const other of world[role]) {
        if (other === registry) continue;
        world.network.cut(registry.node, other.node);
        world.network.cut(other.node, registry.node);
      }
      world.runFor(100);
      const asked: Asked[] = [];
      for (let at = 0; at < cutSpan; at += 250) {
        asked.push(ask(run, registry, 'view'), ask(run, registry, 'purge'));
        world.runFor(250);
      }
      world.runFor(answerLimit);
      for (const one of asked) {
        const what = `cut off from ${role}, seed ${seed}: ${one.verb} ${one.told?.status}`;
        assert.ok(one.told !== undefined && one.told.at - one.at <= answerLimit, what);
        // While it still reaches the primary it may pass calls on; those are confirmed there.
        if (role === 'stores') assert.ok([503, 504].includes(one.told.status), what);
      }
      world.network.heal();
      world.runFor(3000);
      assert.deepEqual(finishRun(run), []);
    }
  }
});
