/** Guards the origin client against incomplete, surplus, mismatched and malformed responses. */

import assert from 'node:assert/strict';
import { type Server, type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { toAddress, toInstanceId, toServiceName } from '@switchwheel/types';
import { type OriginResponse, type AttemptRequest, defaultHeaderNames } from '@switchwheel/routing';
import { HttpOriginClient } from './origin-client.js';

/** Server that responds with raw bytes, and a factory for requests to it. */
interface OriginFixture {
  readonly server: Server;
  readonly attempt: (id: string, needsNewConnection?: boolean, method?: string) => AttemptRequest;
  readonly sockets: () => number;
}

/** Starts an origin that responds to each request with raw bytes. */
const startOrigin = async (
  respond: (id: string, socket: Socket, requestNumber: number) => void,
): Promise<OriginFixture> => {
  let socketCount = 0;
  let requestCount = 0;
  const server = createServer((socket) => {
    socketCount += 1;
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      for (const match of bytes.toString('latin1').matchAll(/switchwheel-id: (\S+)/g)) {
        requestCount += 1;
        respond(match[1] ?? '', socket, requestCount);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
  return {
    server,
    sockets: () => socketCount,
    attempt: (id, needsNewConnection = false, method = 'GET') => ({
      service: toServiceName('clips'),
      address: toAddress(`127.0.0.1:${port}`),
      instance: toInstanceId('o1'),
      id,
      method,
      target: '/x',
      timeoutMs: 2000,
      needsNewConnection,
      fields: [
        ['host', 'x'],
        ['switchwheel-id', id],
      ],
      body: Buffer.alloc(0),
    }),
  };
};

type Outcome =
  | { readonly response: OriginResponse }
  | { readonly failure: string; readonly mayHaveReachedOrigin: boolean };
const exchange = (client: HttpOriginClient, attempt: AttemptRequest): Promise<Outcome> =>
  new Promise((resolve) => {
    client.send(attempt, {
      onResponse: (response) => resolve({ response }),
      onFailure: (mayHaveReachedOrigin, failure) => resolve({ failure, mayHaveReachedOrigin }),
    });
  });
const responseText = (id: string, body: string, extraHeaders = ''): string =>
  `HTTP/1.1 200 OK\r\nswitchwheel-id: ${id}\r\n${extraHeaders}content-length: ${body.length}\r\n\r\n${body}`;
const bodyOf = (outcome: Outcome): string =>
  'response' in outcome ? outcome.response.body.toString() : `failed: ${outcome.failure}`;

void test('over persistent connections each response is complete and belongs to its request', async () => {
  const fixture = await startOrigin((id, socket) =>
    socket.write(responseText(id, `body of ${id}`)),
  );
  const client = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b', 'c'])
    assert.equal(bodyOf(await exchange(client, fixture.attempt(id))), `body of ${id}`);
  assert.equal(fixture.sockets(), 1);
  assert.equal(bodyOf(await exchange(client, fixture.attempt('d', true, 'POST'))), 'body of d');
  assert.equal(fixture.sockets(), 2, 'a non-idempotent request uses a new connection');
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});

void test('a surplus response is never delivered, whether sent at once or in place of the next response', async () => {
  const fixture = await startOrigin((id, socket, requestNumber) => {
    if (requestNumber === 1) socket.write(responseText(id, 'one') + responseText(id, 'surplus'));
    else if (requestNumber === 2) socket.write(responseText('zz', "another one's"));
    else socket.write(responseText(id, `body of ${id}`));
  });
  const client = new HttpOriginClient(defaultHeaderNames);
  const first = await exchange(client, fixture.attempt('a'));
  assert.ok(bodyOf(first) === 'one' || 'failure' in first);
  const second = await exchange(client, fixture.attempt('b'));
  assert.ok('failure' in second && second.mayHaveReachedOrigin, 'the request may have run');
  assert.equal(bodyOf(await exchange(client, fixture.attempt('c'))), 'body of c');
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});

void test('a surplus response while no request is in flight closes the connection', async () => {
  let lateSocket: Socket | undefined;
  const fixture = await startOrigin((id, socket) => {
    lateSocket = socket;
    socket.write(responseText(id, `body of ${id}`));
  });
  const client = new HttpOriginClient(defaultHeaderNames);
  await exchange(client, fixture.attempt('a'));
  const ended = new Promise<void>((resolve) => {
    lateSocket?.once('close', () => {
      resolve();
    });
  });
  lateSocket?.write(responseText('a', 'late surplus'));
  await ended;
  assert.equal(bodyOf(await exchange(client, fixture.attempt('b'))), 'body of b');
  assert.equal(fixture.sockets(), 2);
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});

void test('a truncated, malformed or aborted response, or one without the proof header, is a failure that states whether the request may have been sent', async () => {
  const fixture = await startOrigin((id, socket, requestNumber) => {
    if (requestNumber === 1)
      socket.end(`HTTP/1.1 200 OK\r\nswitchwheel-id: ${id}\r\ncontent-length: 10\r\n\r\nhalf`);
    else if (requestNumber === 2) socket.end('this is not HTTP at all\r\n\r\n');
    else if (requestNumber === 3) socket.resetAndDestroy();
    else socket.write(responseText(id, 'no proof'));
  });
  const client = new HttpOriginClient({ ...defaultHeaderNames, originProof: 'proof' });
  for (const id of ['a', 'b', 'c', 'd']) {
    const outcome = await exchange(client, fixture.attempt(id, id < 'c'));
    assert.ok('failure' in outcome && outcome.mayHaveReachedOrigin, id);
  }
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
  const refused = await exchange(client, {
    ...fixture.attempt('e'),
    address: toAddress('127.0.0.1:1'),
  });
  assert.ok(
    'failure' in refused && !refused.mayHaveReachedOrigin,
    'after a refused connection the request was not sent',
  );
});

void test('a response with the unprocessed header or status 421 counts as not run', async () => {
  const fixture = await startOrigin((id, socket, requestNumber) =>
    socket.write(
      requestNumber === 1
        ? `HTTP/1.1 503 Full\r\nswitchwheel-id: ${id}\r\nswitchwheel-unrun: 1\r\ncontent-length: 0\r\n\r\n`
        : `HTTP/1.1 421 Not me\r\nswitchwheel-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    ),
  );
  const client = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b']) {
    const outcome = await exchange(client, fixture.attempt(id));
    assert.ok('response' in outcome && outcome.response.isUnprocessed);
  }
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});

void test('data after a complete response does not invalidate it, and its connection is not reused', async () => {
  const surplusData = ['this is no answer\r\n\r\n', responseText('zz', 'surplus')];
  const fixture = await startOrigin((id, socket, requestNumber) =>
    socket.write(responseText(id, `body of ${id}`) + (surplusData[requestNumber - 1] ?? '')),
  );
  const client = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b', 'c', 'd'])
    assert.equal(bodyOf(await exchange(client, fixture.attempt(id))), `body of ${id}`);
  assert.equal(fixture.sockets(), 3);
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});

void test('a status below 200 as the final response is a failure', async () => {
  const fixture = await startOrigin((id, socket, requestNumber) =>
    socket.write(
      `HTTP/1.1 ${['099', '000', '101'][requestNumber - 1] ?? '200'} X\r\nswitchwheel-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    ),
  );
  const client = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b', 'c']) {
    const outcome = await exchange(client, fixture.attempt(id));
    assert.ok('failure' in outcome && outcome.mayHaveReachedOrigin, id);
  }
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});

void test('a connection that its origin will close within a second is not reused', async () => {
  const fixture = await startOrigin((id, socket, requestNumber) =>
    socket.write(
      responseText(id, `body of ${id}`, `keep-alive: timeout=${requestNumber === 1 ? 1 : 2}\r\n`),
    ),
  );
  const client = new HttpOriginClient(defaultHeaderNames);
  await exchange(client, fixture.attempt('a'));
  await exchange(client, fixture.attempt('b'));
  assert.equal(fixture.sockets(), 2);
  await exchange(client, fixture.attempt('c'));
  assert.equal(fixture.sockets(), 2, 'the connection is reused within its announced timeout');
  await new Promise<void>((resolve) => {
    setTimeout(resolve, 1300);
  });
  assert.equal(bodyOf(await exchange(client, fixture.attempt('d'))), 'body of d');
  assert.equal(fixture.sockets(), 3);
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});

void test('surplus data on a connection never reaches the next request', async () => {
  const fixture = await startOrigin((id, socket, requestNumber) => {
    socket.write(responseText(id, `body of ${id}`));
    // A delayed surplus response with the id of the previous request.
    if (requestNumber % 2 === 1)
      setTimeout(() => socket.write(responseText(id, 'surplus')), requestNumber);
  });
  const client = new HttpOriginClient(defaultHeaderNames);
  for (let number = 0; number < 40; number += 1) {
    const id = `r${number}`;
    const outcome = await exchange(client, fixture.attempt(id, number % 3 === 0));
    if ('response' in outcome) assert.equal(bodyOf(outcome), `body of ${id}`);
    else assert.ok(outcome.mayHaveReachedOrigin);
    await new Promise<void>((resolve) => {
      setTimeout(resolve, number % 4);
    });
  }
  client.closeIdleConnections(toInstanceId('o1'));
  fixture.server.close();
});
