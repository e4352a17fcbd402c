/**
 * What a registry sends nodes of the newest confirmed configuration while the primary's row for a node
 * still names an older one: the rollout may be late, but neither a refusal of an unknown route nor an
 * offer may go by the old row for long.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toGeneration, toHash, toTimestamp } from '@switchwheel/types';
import type { ConfigManifest, FrameOf, Member } from '@switchwheel/transport';
import {
  edge,
  feedOf,
  heartbeatOf,
  peerOf,
  registry,
  repliesToEdge,
  statusOf,
  store,
} from '../testing/registry-fixtures.js';
import { type RegistryState, newRegistryState } from './state.js';
import { registryTransition } from './transition.js';

/** Well under the time within which a confirmed configuration has to be in force. */
const longestHold = 1000;

const offer = (generation: number): ConfigManifest => ({
  generation: toGeneration(generation),
  hash: toHash(String(generation).repeat(64).slice(0, 64)),
  pieces: [],
});

/** A feed with the newest configuration, and a row for the edge that names an older one. */
const feed = (at: number, serial: number): FrameOf<'feed'> =>
  feedOf(serial, {
    at: toTimestamp(at),
    offers: [offer(5)],
    current: offer(5),
    desired: [{ node: edge.node, generation: offer(4).generation, hash: offer(4).hash }],
  });

const heartbeat = (seq: number, at: number): FrameOf<'heartbeat'> =>
  heartbeatOf(seq, {
    at: toTimestamp(at),
    report: statusOf({ generation: offer(4).generation, hash: offer(4).hash }),
  });

/** A registry and the answers that the edge gets from it. */
class Conversation {
  state: RegistryState = newRegistryState(registry, [], toTimestamp(900), { seed: 1 });
  readonly replies: FrameOf<'heartbeat-reply'>[] = [];

  receive(by: Member, frame: FrameOf<'heartbeat'> | FrameOf<'feed'>, now: number): void {
    const done = registryTransition(this.state, {
      kind: 'frameReceived',
      now: toTimestamp(now),
      from: peerOf(by),
      frame,
    });
    this.state = done.state;
    this.replies.push(...repliesToEdge(done));
  }
}

void test('a node gets the newest confirmed generation, whatever its row names', () => {
  const conversation = new Conversation();
  conversation.receive(store, feed(1000, 1), 1000);
  conversation.receive(edge, heartbeat(1, 1010), 1010);
  assert.equal(conversation.replies.at(-1)?.newest, 5);
});

void test('an outdated row holds the newest configuration back for a bounded time only', () => {
  const conversation = new Conversation();
  conversation.receive(store, feed(1000, 1), 1000);
  for (let at = 1010, seq = 1; at <= 1000 + longestHold; at += 100, seq += 1) {
    conversation.receive(store, feed(at, 1), at);
    conversation.receive(edge, heartbeat(seq, at), at);
  }
  assert.equal(conversation.replies[0]?.offer?.generation, undefined, 'the roll-out has its time');
  const offered = conversation.replies.flatMap((one) =>
    one.offer === undefined ? [] : [one.offer],
  );
  assert.deepEqual([...new Set(offered.map((one) => one.generation))], [5]);
});
