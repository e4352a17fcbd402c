/**
 * An answer without a length ends with its connection. One whose connection is reset right behind its last bytes is not
 * whole: the runtime's event loop tells such a reset as an orderly end, so the end alone does not show it.
 */
import assert from 'node:assert/strict';
import { type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { toAddress, toInstanceId, toServiceName } from '@switchwheel/types';
import { defaultHeaderNames } from '@switchwheel/routing';
import { HttpOriginClient } from './origin-client.js';

const id = 't1';
const head = `HTTP/1.1 200 OK\r\n${defaultHeaderNames.requestId}: ${id}\r\n\r\n`;

/** What becomes of a request whose origin ends the connection behind its first bytes. */
const ask = async (fresh: boolean, finish: (socket: Socket) => void): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(`${head}a part`, () => finish(socket)));
  });
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const spot = server.address();
  assert.ok(spot !== null && typeof spot === 'object');
  const outcome = await new Promise<string>((done) => {
    new HttpOriginClient(defaultHeaderNames).send(
      {
        service: toServiceName('acts'),
        address: toAddress(`127.0.0.1:${spot.port}`),
        instance: toInstanceId('o1'),
        id,
        method: 'GET',
        target: '/',
        fields: [[defaultHeaderNames.requestId, id]],
        body: Buffer.alloc(0),
        timeoutMs: 1000,
        needsNewConnection: fresh,
      },
      {
        onResponse: () => done('told as whole'),
        onFailure: () => done('broke'),
      },
    );
  });
  server.close();
  return outcome;
};

for (const fresh of [true, false]) {
  void test(`an answer without a length whose connection is reset is not told as whole, on a ${fresh ? 'new' : 'kept'} connection`, async () => {
    assert.equal(await ask(fresh, (socket) => socket.resetAndDestroy()), 'broke');
  });

  void test(`an answer without a length whose connection ends in order is whole, on a ${fresh ? 'new' : 'kept'} connection`, async () => {
    assert.equal(await ask(fresh, (socket) => socket.end()), 'told as whole');
  });
}
