import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Moment,
  isEpoch,
  isGeneration,
  toAddress,
  toAreaName,
  toEpoch,
  toFleetId,
  toGeneration,
  toHash,
  toIncarnation,
  toMoment,
  toNodeId,
  noSeq,
} from '@switchwheel/types';
import type { FrameOf, Member } from '@switchwheel/transport';
import { type Registry, newRegistry } from './state.js';
import { registryStep } from './machine.js';

const member = (role: Member['role'], node: string, port: number): Member => ({
  node: toNodeId(node),
  role,
  area: toAreaName('a'),
  address: toAddress(`10.0.0.1:${port}`),
  incarnation: toIncarnation(1),
});
const edge = member('edge', 'e1', 7001);
const store = member('store', 's1', 7002);
const fleet = toFleetId('f1');

const hint = (epoch: number, generation: number): FrameOf<'hint'> => ({
  kind: 'hint',
  node: store.node,
  address: store.address,
  epoch: toEpoch(epoch),
  fleet,
  offer: {
    generation: toGeneration(generation),
    hash: toHash(String(generation % 10).repeat(64)),
    pieces: [],
  },
  origins: [],
});
const from = (
  one: Member,
): {
  readonly node: Member['node'];
  readonly address: Member['address'];
  readonly incarnation: Member['incarnation'];
} => ({ node: one.node, address: one.address, incarnation: one.incarnation });
const heartbeat = (generation: number): FrameOf<'heartbeat'> => ({
  kind: 'heartbeat',
  member: edge,
  seq: noSeq,
  at: toMoment(1),
  bye: false,
  held: [],
  purged: noSeq,
  report: {
    generation: toGeneration(generation),
    phase: generation === 0 ? 'none' : 'applied',
    ready: generation > 0,
    health: { name: 'proxy', healthy: true, text: '', parts: [] },
  },
});

const offered = (state: Registry, generation: number, now: Moment): number | undefined => {
  const done = registryStep(state, {
    kind: 'frame',
    now,
    from: from(edge),
    frame: heartbeat(generation),
  });
  const heard = done.effects.map((one) =>
    one.kind === 'send' && one.frame.kind === 'heartbeat-reply'
      ? one.frame.offer?.generation
      : undefined,
  );
  return heard.find((one) => one !== undefined);
};
const hear = (state: Registry, word: FrameOf<'hint'>, now: Moment): Registry =>
  registryStep(state, { kind: 'frame', now, from: from(store), frame: word }).state;

void test('after a full loss a node that runs nothing gets the newest that disks hold, before there is a primary', () => {
  assert.ok(isEpoch(3) && isGeneration(5));
  const born = toMoment(1000);
  const start = newRegistry(member('registry', 'r1', 7000), [], born, { seed: 1 }, undefined, true);
  const told = hear(hear(hear(start, hint(3, 5), born), hint(2, 9), born), hint(3, 7), born);
  assert.equal(offered(told, 0, toMoment(1100)), undefined, 'it listens first');
  assert.equal(
    offered(told, 0, toMoment(1400)),
    7,
    'the highest epoch, then the highest generation',
  );
  assert.equal(
    offered(told, 4, toMoment(1400)),
    undefined,
    'one that runs something waits for the primary',
  );
  const plain = newRegistry(member('registry', 'r1', 7000), [], born, { seed: 1 });
  assert.equal(
    offered(hear(plain, hint(3, 5), born), 0, toMoment(1400)),
    undefined,
    'only where the setting says so',
  );
});
