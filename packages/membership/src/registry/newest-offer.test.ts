/**
 * What a registry tells nodes of the newest confirmed description while the primary's row for a node still names an older
 * one: the engine may be late, but neither a refusal of an unknown route nor an offer may go by the old row for long.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  noSeq,
  toAddress,
  toZoneName,
  toEpoch,
  toFleetId,
  toGeneration,
  toHash,
  toIncarnation,
  toTimestamp,
  toNodeId,
  toSeq,
} from '@switchwheel/types';
import type { FrameOf, Member, ConfigManifest } from '@switchwheel/transport';
import { registryTransition } from './transition.js';
import { type RegistryState, newRegistryState } from './state.js';

/** Well under the time within which a confirmed description has to be in force. */
const longestHold = 1000;

const member = (role: Member['role'], node: string, port: number): Member => ({
  node: toNodeId(node),
  role,
  area: toZoneName('a'),
  address: toAddress(`10.0.0.1:${port}`),
  incarnation: toIncarnation(1),
});
const edge = member('edge', 'e1', 7001);
const store = member('store', 's1', 7002);

const offer = (generation: number): ConfigManifest => ({
  generation: toGeneration(generation),
  hash: toHash(String(generation).repeat(64).slice(0, 64)),
  pieces: [],
});

/** The primary's word: the newest description, and a row for the edge that names an older one. */
const feed = (at: number, serial: number): FrameOf<'feed'> => ({
  kind: 'feed',
  at: toTimestamp(at),
  epoch: toEpoch(1),
  serial: toSeq(serial),
  fleet: toFleetId('f1'),
  offers: [offer(5)],
  current: offer(5),
  desired: [{ node: edge.node, generation: offer(4).generation, hash: offer(4).hash }],
  purges: [],
  floor: noSeq,
  top: noSeq,
  verdicts: [],
  releases: [],
});

const heartbeat = (seq: number, at: number): FrameOf<'heartbeat'> => ({
  kind: 'heartbeat',
  member: edge,
  seq: toSeq(seq),
  at: toTimestamp(at),
  bye: false,
  held: [],
  purged: noSeq,
  report: {
    generation: offer(4).generation,
    hash: offer(4).hash,
    phase: 'applied',
    ready: true,
    health: { name: 'proxy', healthy: true, text: '', parts: [] },
  },
});

/** A registry and the answers that the edge gets from it. */
class Conversation {
  state: RegistryState = newRegistryState(member('registry', 'r1', 7000), [], toTimestamp(900), {
    seed: 1,
  });
  readonly replies: FrameOf<'heartbeat-reply'>[] = [];

  hear(by: Member, frame: FrameOf<'heartbeat'> | FrameOf<'feed'>, now: number): void {
    const { node, address, incarnation } = by;
    const done = registryTransition(this.state, {
      kind: 'frameReceived',
      now: toTimestamp(now),
      from: { node, address, incarnation },
      frame,
    });
    this.state = done.state;
    for (const one of done.effects)
      if (one.kind === 'send' && one.to === edge.address && one.frame.kind === 'heartbeat-reply')
        this.replies.push(one.frame);
  }
}

void test('a node is told the newest confirmed generation, whatever its row names', () => {
  const talk = new Conversation();
  talk.hear(store, feed(1000, 1), 1000);
  talk.hear(edge, heartbeat(1, 1010), 1010);
  assert.equal(talk.replies.at(-1)?.newest, 5);
});

void test('a row that stays behind holds the newest description back for a bounded time only', () => {
  const talk = new Conversation();
  talk.hear(store, feed(1000, 1), 1000);
  for (let at = 1010, seq = 1; at <= 1000 + longestHold; at += 100, seq += 1) {
    talk.hear(store, feed(at, 1), at);
    talk.hear(edge, heartbeat(seq, at), at);
  }
  assert.equal(talk.replies[0]?.offer?.generation, undefined, 'the roll-out has its time');
  const offered = talk.replies.flatMap((one) => (one.offer === undefined ? [] : [one.offer]));
  assert.deepEqual([...new Set(offered.map((one) => one.generation))], [5]);
});
