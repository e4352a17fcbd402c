/** Guards against accepted corrupt or stale frames, and against channels that stay open to a dead peer. */

import assert from 'node:assert/strict';
import { type Socket, createConnection, createServer } from 'node:net';
import { once } from 'node:events';
import { test } from 'node:test';
import { Encoder } from 'cbor-x';
import {
  primaryLease,
  toAddress,
  toEpoch,
  toHash,
  toIncarnation,
  toNodeId,
} from '@switchwheel/types';
import { Channel } from './channel.js';
import { frameLifetimeMs, prependSendTime } from './frame-age.js';
import { encodeFrame } from './frame-decoder.js';
import { protocolVersion } from './hello.js';
import type { Peer } from './process-event.js';

const peerNamed = (name: string): Peer => ({
  node: toNodeId(name),
  address: toAddress('127.0.0.1:1'),
  incarnation: toIncarnation(1),
});

/** Both ends of a connection. */
interface SocketPair {
  readonly near: Socket;
  readonly far: Socket;
  readonly close: () => void;
}

const socketPair = async (): Promise<SocketPair> => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  assert.ok(bound !== null && typeof bound === 'object');
  const near = createConnection(bound.port, '127.0.0.1');
  const far = await new Promise<Socket>((resolve) => {
    server.once('connection', resolve);
  });
  return {
    near,
    far,
    close: () => {
      near.destroy();
      far.destroy();
      server.close();
    },
  };
};

/** Resolves with the reason for the closing of a channel. */
const closeReason = (channel: Channel): Promise<string> =>
  new Promise((resolve) => {
    channel.on('closed', resolve);
  });

void test('frames arrive in order after both sides have sent their hello', async () => {
  const { near, far, close } = await socketPair();
  const sender = new Channel(near, peerNamed('one'), 'control');
  const receiver = new Channel(far, peerNamed('two'), 'control');
  const received: string[] = [];
  const allReceived = new Promise<void>((resolve) => {
    receiver.on('frame', (frame) => {
      if (frame.kind === 'piece') received.push(frame.data);
      if (received.length === 3) resolve();
    });
  });
  sender.on('up', () => {
    for (const data of ['a', 'b', 'c'])
      sender.send({ kind: 'piece', hash: toHash('0'.repeat(64)), data });
  });
  await allReceived;
  assert.deepEqual([received, receiver.peer?.node], [['a', 'b', 'c'], 'one']);
  close();
});

void test('corrupt frames, unknown frames and other protocol versions close the channel with a reason', async () => {
  const coder = new Encoder({ useRecords: false });
  const hello = {
    switchwheel: 'hello',
    protocol: protocolVersion,
    lane: 'control',
    ...peerNamed('one'),
  };
  const corrupt = encodeFrame(coder.encode({ kind: 'piece' }));
  corrupt[9] = (corrupt[9] ?? 0) ^ 1;
  const cases: readonly (readonly [readonly Uint8Array[], RegExp])[] = [
    [[Buffer.from('GET / HTTP/1.1\r\n\r\n')], /foreign/],
    [[encodeFrame(coder.encode({ ...hello, protocol: 99 }))], /protocol 99, this program uses 3/],
    [[encodeFrame(coder.encode(hello)), corrupt], /checksum/],
    [
      [
        encodeFrame(coder.encode(hello)),
        encodeFrame(prependSendTime(coder.encode({ kind: 'nonsense' }), 0)),
      ],
      /foreign/,
    ],
  ];
  for (const [parts, expected] of cases) {
    const { near, far, close } = await socketPair();
    const reason = closeReason(new Channel(far, peerNamed('two'), 'control'));
    for (const part of parts) near.write(part);
    assert.match(await reason, expected);
    close();
  }
});

void test('a channel is closed when nothing arrives within the keepalive timeout', async () => {
  const { near, far, close } = await socketPair();
  // The peer reads but sends nothing, not even a hello.
  near.resume();
  assert.equal(
    await closeReason(new Channel(far, peerNamed('two'), 'control')),
    'keepalive timeout: nothing received from the peer',
  );
  close();
});

void test('a frame that was in transit for too long is dropped, and later frames are delivered', async () => {
  const { near, far, close } = await socketPair();
  const sender = new Channel(near, peerNamed('one'), 'control');
  const receiver = new Channel(far, peerNamed('two'), 'control');
  const received: string[] = [];
  const allReceived = new Promise<void>((resolve) => {
    receiver.on('frame', (frame) => {
      received.push(frame.kind === 'handover' ? `epoch ${frame.epoch}` : frame.kind);
      if (received.length === 3) resolve();
    });
  });
  const handover = (epoch: number): Parameters<Channel['send']>[0] => ({
    kind: 'handover',
    duty: primaryLease,
    epoch: toEpoch(epoch),
  });
  sender.on('up', () => {
    const now = performance.now();
    sender.send(handover(1), now);
    sender.send(handover(2), now - frameLifetimeMs - 1000);
    sender.send({ kind: 'piece', hash: toHash('0'.repeat(64)), data: 'a' }, now - 20_000);
    sender.send(handover(3), now);
  });
  await allReceived;
  assert.deepEqual(received, ['epoch 1', 'piece', 'epoch 3']);
  assert.equal(receiver.expiredFrameCount, 1);
  close();
});
