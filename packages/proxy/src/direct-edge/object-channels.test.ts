/** Guards the channels between edges over real sockets: a reply reaches only the process that sent the request. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { type TestContext, test } from 'node:test';
import {
  type Address,
  toAddress,
  toDurationMs,
  toGeneration,
  toIncarnation,
  toNodeId,
  toRouteName,
} from '@switchwheel/types';
import { ChannelPool, type FrameOf, type ObjectFrame } from '@switchwheel/transport';
import type { PeerConnection } from '@switchwheel/routing';
import { connectObjectChannels } from './object-channels.js';

const freeAddress = async (): Promise<Address> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  assert.ok(bound !== null && typeof bound === 'object');
  server.close();
  await once(server, 'close');
  return toAddress(`127.0.0.1:${bound.port}`);
};

/** A frame of another edge, with the connection for replies to it. */
interface Received {
  readonly from: PeerConnection;
  readonly frame: ObjectFrame;
}

/** Channels of one process of an edge, and the frames of other edges that it received. */
class EdgeChannels {
  readonly pool: ChannelPool;
  readonly #received: Received[] = [];
  #onReceived: () => void = () => undefined;
  #onDisconnected: () => void = () => undefined;

  constructor(name: string, address: Address, incarnation: number) {
    this.pool = new ChannelPool({
      node: toNodeId(name),
      address,
      incarnation: toIncarnation(incarnation),
    });
    connectObjectChannels(this.pool, {
      handlePeerFrame: (from, frame) => {
        this.#received.push({ from, frame });
        this.#onReceived();
      },
      handlePeerDisconnect: () => this.#onDisconnected(),
    });
  }

  /** Resolves with the next frame that was received. */
  async receive(): Promise<Received> {
    for (;;) {
      const next = this.#received.shift();
      if (next !== undefined) return next;
      await new Promise<void>((resolve) => {
        this.#onReceived = resolve;
      });
    }
  }

  /** Resolves once a channel was closed. */
  disconnected(): Promise<void> {
    return new Promise((resolve) => {
      this.#onDisconnected = resolve;
    });
  }
}

const startChannels = async (
  context: TestContext,
  name: string,
  address: Address,
  incarnation: number,
): Promise<EdgeChannels> => {
  const channels = new EdgeChannels(name, address, incarnation);
  context.after(() => channels.pool.close());
  await channels.pool.listen();
  return channels;
};

const request = (target: string): FrameOf<'object-request'> => ({
  kind: 'object-request',
  id: 1,
  callerId: 'c1',
  generation: toGeneration(1),
  route: toRouteName('clip'),
  host: 'one.example',
  target,
  fields: [],
  left: toDurationMs(1000),
});

const refusal = (retryAfter: number): FrameOf<'object-status'> => ({
  kind: 'object-status',
  id: 1,
  state: 'refused',
  retryAfter: toDurationMs(retryAfter),
});

// Guards against MIXED: a restarted edge received the reply to its earlier process, under the id of its own query.
void test('a reply to a process that has ended does not reach the next process at its address', async (context) => {
  const ownerAddress = await freeAddress();
  const requesterAddress = await freeAddress();
  const owner = await startChannels(context, 'owner', ownerAddress, 1);
  const earlier = await startChannels(context, 'requester', requesterAddress, 1);
  earlier.pool.send(ownerAddress, request('/clips/1'));
  const first = await owner.receive();
  const disconnected = owner.disconnected();
  earlier.pool.close();
  await disconnected;

  const restarted = await startChannels(context, 'requester', requesterAddress, 2);
  restarted.pool.send(ownerAddress, request('/clips/2'));
  const second = await owner.receive();
  assert.equal(first.from.send(refusal(111)), false, 'the reply to the ended process is not sent');
  assert.equal(second.from.send(refusal(222)), true);
  assert.deepEqual((await restarted.receive()).frame, refusal(222));
});
