/**
 * A response without a length ends with its connection. One whose connection is reset right behind its last bytes is not
 * complete: the runtime's event loop reports such a reset as an orderly end, so the end alone does not show it.
 */

import assert from 'node:assert/strict';
import { type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { toAddress, toInstanceId, toServiceName } from '@switchwheel/types';
import { defaultHeaderNames } from '@switchwheel/routing';
import { HttpOriginClient } from './origin-client.js';

const id = 't1';
const head = `HTTP/1.1 200 OK\r\n${defaultHeaderNames.requestId}: ${id}\r\n\r\n`;

/** The outcome of a request whose origin ends the connection behind its first bytes. */
const outcomeOf = async (
  needsNewConnection: boolean,
  finish: (socket: Socket) => void,
): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(`${head}a part`, () => finish(socket)));
  });
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const bound = server.address();
  assert.ok(bound !== null && typeof bound === 'object');
  const outcome = await new Promise<string>((done) => {
    new HttpOriginClient(defaultHeaderNames).send(
      {
        service: toServiceName('acts'),
        address: toAddress(`127.0.0.1:${bound.port}`),
        instance: toInstanceId('o1'),
        id,
        method: 'GET',
        target: '/',
        fields: [[defaultHeaderNames.requestId, id]],
        body: Buffer.alloc(0),
        timeoutMs: 1000,
        needsNewConnection,
      },
      {
        onResponse: () => done('complete'),
        onFailure: () => done('failed'),
      },
    );
  });
  server.close();
  return outcome;
};

for (const needsNewConnection of [true, false]) {
  void test(`a response without a length whose connection is reset is not complete, on a ${needsNewConnection ? 'new' : 'kept'} connection`, async () => {
    assert.equal(
      await outcomeOf(needsNewConnection, (socket) => socket.resetAndDestroy()),
      'failed',
    );
  });

  void test(`a response without a length whose connection ends in order is complete, on a ${needsNewConnection ? 'new' : 'kept'} connection`, async () => {
    assert.equal(await outcomeOf(needsNewConnection, (socket) => socket.end()), 'complete');
  });
}
