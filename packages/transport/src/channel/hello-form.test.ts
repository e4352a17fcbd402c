/** Guards against accidental changes of the hello, which processes of other versions must be able to decode. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type Socket, createConnection, createServer } from 'node:net';
import { test } from 'node:test';
import { Encoder } from 'cbor-x';
import * as v from 'valibot';
import { toAddress, toIncarnation, toNodeId } from '@switchwheel/types';
import { Channel } from './channel.js';
import type { ChannelKind } from './hello.js';
import { FrameDecoder } from './frame-decoder.js';

const channelKinds: readonly ChannelKind[] = ['control', 'data', 'objects'];
const coder = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Decodes the first frame that arrives at a socket. */
const firstFrame = async (socket: Socket): Promise<unknown> => {
  const decoder = new FrameDecoder();
  for await (const bytes of socket) {
    const frames = decoder.feed(v.parse(v.instance(Buffer), bytes));
    const [first] = frames.unwrapOr([]);
    if (first !== undefined) return coder.decode(first);
  }
  throw new Error('channel closed before a frame arrived');
};

/** Returns the hello that a new channel of a kind sends. */
const receiveHello = async (channelKind: ChannelKind): Promise<unknown> => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  assert.ok(bound !== null && typeof bound === 'object');
  const accepted = new Promise<Socket>((resolve) => server.once('connection', resolve));
  const sender = createConnection(bound.port, '127.0.0.1');
  const receiver = await accepted;
  try {
    const self = {
      node: toNodeId('store-1'),
      address: toAddress('127.0.0.1:1'),
      incarnation: toIncarnation(7),
    };
    new Channel(sender, self, channelKind);
    return await firstFrame(receiver);
  } finally {
    sender.destroy();
    receiver.destroy();
    server.close();
  }
};

for (const channelKind of channelKinds)
  void test(`a channel of kind ${channelKind} starts with the hello that peers expect`, async () => {
    const { at, ...hello } = v.parse(
      v.looseObject({ at: v.pipe(v.number(), v.finite()) }),
      await receiveHello(channelKind),
    );
    assert.ok(at >= 0);
    assert.deepEqual(hello, {
      switchwheel: 'hello',
      protocol: 3,
      lane: channelKind,
      node: 'store-1',
      address: '127.0.0.1:1',
      incarnation: 7,
    });
  });
