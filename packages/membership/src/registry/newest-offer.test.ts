/**
 * Guards against nodes that keep an older configuration, or don't know that there is a newer one, while the primary's
 * row for them is outdated.
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

/** Upper bound for the time for which a rollout may withhold a confirmed configuration. */
const maxHoldMs = 1000;

const offer = (generation: number): ConfigManifest => ({
  generation: toGeneration(generation),
  hash: toHash(String(generation).repeat(64).slice(0, 64)),
  pieces: [],
});

/** Feed with generation 5 as current, and a row for the edge with generation 4. */
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

/** A registry, with the replies that the edge gets from it. */
class RegistrySession {
  state: RegistryState = newRegistryState(registry, [], toTimestamp(900), { seed: 1 });
  readonly replies: FrameOf<'heartbeat-reply'>[] = [];

  receive(sender: Member, frame: FrameOf<'heartbeat'> | FrameOf<'feed'>, now: number): void {
    const result = registryTransition(this.state, {
      kind: 'frameReceived',
      now: toTimestamp(now),
      from: peerOf(sender),
      frame,
    });
    this.state = result.state;
    this.replies.push(...repliesToEdge(result));
  }
}

void test('heartbeat replies hold the newest confirmed generation even if the desired one is older', () => {
  const session = new RegistrySession();
  session.receive(store, feed(1000, 1), 1000);
  session.receive(edge, heartbeat(1, 1010), 1010);
  assert.equal(session.replies.at(-1)?.newest, 5);
});

void test('an outdated desired row withholds the newest configuration for a bounded time only', () => {
  const session = new RegistrySession();
  session.receive(store, feed(1000, 1), 1000);
  for (let at = 1010, seq = 1; at <= 1000 + maxHoldMs; at += 100, seq += 1) {
    session.receive(store, feed(at, 1), at);
    session.receive(edge, heartbeat(seq, at), at);
  }
  assert.equal(
    session.replies[0]?.offer?.generation,
    undefined,
    'no offer while the rollout withholds it',
  );
  const offered = session.replies.flatMap((reply) =>
    reply.offer === undefined ? [] : [reply.offer],
  );
  assert.deepEqual([...new Set(offered.map((manifest) => manifest.generation))], [5]);
});
