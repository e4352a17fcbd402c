import assert from 'node:assert/strict';
import { type Socket, createConnection, createServer } from 'node:net';
import { once } from 'node:events';
import { test } from 'node:test';
import { Encoder } from 'cbor-x';
import * as fc from 'fast-check';
import {
  primaryLease,
  toAddress,
  toEpoch,
  toHash,
  toIncarnation,
  toNodeId,
} from '@switchwheel/types';
import { Channel, protocolVersion } from './channel.js';
import { FrameAgeEstimator, frameLifetimeMs, prependSendTime } from './frame-age.js';
import { FrameDecoder, encodeFrame } from './frame-decoder.js';

const me = (name: string): ConstructorParameters<typeof Channel>[1] => ({
  node: toNodeId(name),
  address: toAddress('127.0.0.1:1'),
  incarnation: toIncarnation(1),
});

/** A pair of sockets, joined. */
const pair = async (): Promise<{
  readonly near: Socket;
  readonly far: Socket;
  readonly end: () => void;
}> => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const spot = server.address();
  assert.ok(spot !== null && typeof spot === 'object');
  const near = createConnection(spot.port, '127.0.0.1');
  const far = await new Promise<Socket>((done) => {
    server.once('connection', done);
  });
  return {
    near,
    far,
    end: () => {
      near.destroy();
      far.destroy();
      server.close();
    },
  };
};

const closed = (channel: Channel): Promise<string> =>
  new Promise((done) => {
    channel.on('closed', done);
  });

void test('a hello each way, then frames in their order', async () => {
  const { near, far, end } = await pair();
  const [one, two] = [
    new Channel(near, me('one'), 'control'),
    new Channel(far, me('two'), 'control'),
  ];
  const got: string[] = [];
  const both = new Promise<void>((done) => {
    two.on('frame', (frame) => {
      if (frame.kind === 'piece') got.push(frame.data);
      if (got.length === 3) done();
    });
  });
  one.on('up', () => {
    for (const data of ['a', 'b', 'c'])
      one.send({ kind: 'piece', hash: toHash('0'.repeat(64)), data });
  });
  await both;
  assert.deepEqual([got, two.peer?.node], [['a', 'b', 'c'], 'one']);
  end();
});

void test('corrupt frames, foreign frames and other protocols end the channel with the reason', async () => {
  const coder = new Encoder({ useRecords: false });
  const hello = { switchwheel: 'hello', protocol: protocolVersion, lane: 'control', ...me('one') };
  const bad = encodeFrame(coder.encode({ kind: 'piece' }));
  bad[9] = (bad[9] ?? 0) ^ 1;
  const cases: readonly (readonly [readonly Uint8Array[], RegExp])[] = [
    [[Buffer.from('GET / HTTP/1.1\r\n\r\n')], /foreign/],
    [[encodeFrame(coder.encode({ ...hello, protocol: 99 }))], /protocol 99, this program speaks 3/],
    [[encodeFrame(coder.encode(hello)), bad], /checksum/],
    [
      [
        encodeFrame(coder.encode(hello)),
        encodeFrame(prependSendTime(coder.encode({ kind: 'nonsense' }), 0)),
      ],
      /foreign/,
    ],
  ];
  for (const [parts, reason] of cases) {
    const { near, far, end } = await pair();
    const over = closed(new Channel(far, me('two'), 'control'));
    for (const part of parts) near.write(part);
    assert.match(await over, reason);
    end();
  }
});

void test('a side that is silent is given up, as after a cut that nobody told of', async () => {
  const { near, far, end } = await pair();
  // The other side reads and says nothing, not even a hello.
  near.resume();
  assert.equal(await closed(new Channel(far, me('two'), 'control')), 'silent');
  end();
});

void test('frames come out as they went in, however the bytes are cut', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 }),
      (bodies, cuts) => {
        const whole = Buffer.concat(bodies.map(encodeFrame));
        const cutter = new FrameDecoder();
        const out: Uint8Array[] = [];
        let at = 0;
        for (let turn = 0; at < whole.length; turn += 1) {
          const size = cuts[turn % cuts.length] ?? 1;
          out.push(...cutter.feed(whole.subarray(at, at + size)).unwrapOr([]));
          at += size;
        }
        assert.deepEqual(
          out.map((one) => Buffer.from(one).toString('hex')),
          bodies.map((one) => Buffer.from(one).toString('hex')),
        );
      },
    ),
    { seed: 3, numRuns: 200 },
  );
});

void test('a frame that waited in the channel for too long is dropped, what comes after it is not', async () => {
  const { near, far, end } = await pair();
  const [one, two] = [
    new Channel(near, me('one'), 'control'),
    new Channel(far, me('two'), 'control'),
  ];
  const got: string[] = [];
  const done = new Promise<void>((settle) => {
    two.on('frame', (frame) => {
      got.push(frame.kind === 'handover' ? `epoch ${frame.epoch}` : frame.kind);
      if (got.length === 3) settle();
    });
  });
  const handover = (epoch: number): Parameters<Channel['send']>[0] => ({
    kind: 'handover',
    duty: primaryLease,
    epoch: toEpoch(epoch),
  });
  one.on('up', () => {
    const now = performance.now();
    one.send(handover(1), now);
    one.send(handover(2), now - frameLifetimeMs - 1000);
    one.send({ kind: 'piece', hash: toHash('0'.repeat(64)), data: 'a' }, now - 20_000);
    one.send(handover(3), now);
  });
  await done;
  assert.deepEqual(got, ['epoch 1', 'piece', 'epoch 3']);
  assert.equal(two.expiredFrameCount, 1);
  end();
});

void test('age is what exceeds the quickest frame, whatever the two clocks show and however they drift', () => {
  const age = new FrameAgeEstimator();
  assert.equal(age.measure(5000, 100), 0, 'the first one sets the difference');
  const slower = age.measure(5100, 203);
  assert.ok(slower > 2.8 && slower <= 3, String(slower));
  assert.equal(age.measure(5200, 300), 0, 'as quick as the first');
  assert.ok(age.measure(5300, 2400) > frameLifetimeMs, 'held back for two seconds');
  // One clock runs 500 ppm faster than the other for a day.
  const drifting = new FrameAgeEstimator();
  for (let at = 0; at < 86_400_000; at += 60_000)
    assert.ok(drifting.measure(at, at * 1.0005) < 100, String(at));
  // A stall of twenty seconds is not taken for drift.
  assert.ok(drifting.measure(86_400_000, 86_400_000 * 1.0005 + 20_000) > 19_000);
});
