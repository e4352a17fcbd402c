/** Guards against cached responses that outlast a purge because of a reply to a heartbeat of an earlier process. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  noEpoch,
  noGeneration,
  noSeq,
  toAddress,
  toDurationMs,
  toIncarnation,
  toNodeId,
  toTimestamp,
  toZoneName,
} from '@switchwheel/types';
import type { FrameOf, Member, Peer } from '@switchwheel/transport';
import { nodeAgentTransition } from './node-agent.js';
import { mayServeFromCache } from './readiness.js';
import { type NodeAgent, newNodeAgent } from './state.js';

const registry: Peer = {
  node: toNodeId('r1'),
  address: toAddress('10.0.0.1:1'),
  incarnation: toIncarnation(1),
};
const edge: Member = {
  node: toNodeId('e1'),
  role: 'edge',
  area: toZoneName('a'),
  address: toAddress('10.0.0.2:1'),
  incarnation: toIncarnation(1),
};

const replyTo = (heartbeatAt: number): FrameOf<'heartbeat-reply'> => ({
  kind: 'heartbeat-reply',
  at: toTimestamp(heartbeatAt),
  registry: registry.node,
  incarnation: registry.incarnation,
  age: toDurationMs(0),
  epoch: noEpoch,
  newest: noGeneration,
  newestAge: toDurationMs(0),
  purges: [],
  floor: noSeq,
  top: noSeq,
  verdicts: [],
  releases: [],
  vacant: [],
});

/** Edge that sent its first heartbeat at 1000, and got a reply at 1010 that echoes a time. */
const edgeWithReply = (heartbeatAt: number): NodeAgent => {
  const agent = newNodeAgent(edge, [registry.address], { seed: 1 });
  const ticked = nodeAgentTransition(agent, { kind: 'tick', now: toTimestamp(1000) });
  return nodeAgentTransition(ticked.state, {
    kind: 'frameReceived',
    now: toTimestamp(1010),
    from: registry,
    frame: replyTo(heartbeatAt),
  }).state;
};

void test('a reply to a heartbeat of this process lets the cache serve for a limited time', () => {
  const agent = edgeWithReply(1000);
  assert.equal(mayServeFromCache(agent, toTimestamp(1100)), true);
  assert.equal(mayServeFromCache(agent, toTimestamp(20_000)), false);
});

// Guards against STALE: the cache served without news of purges until the clock reached its time of before the restart.
void test('a reply that echoes a later time of the clock does not let the cache serve', () => {
  const agent = edgeWithReply(1_000_000);
  assert.equal(mayServeFromCache(agent, toTimestamp(20_000)), false);
});
