/** Guards responses, pipelining and shutdown of the client listener over real sockets; origins are simulated. */

import assert from 'node:assert/strict';
import { Agent, type IncomingHttpHeaders, request } from 'node:http';
import { type Socket, connect, createServer } from 'node:net';
import { test } from 'node:test';
import {
  type Address,
  toAddress,
  toZoneName,
  toTimestamp,
  toServiceName,
} from '@switchwheel/types';
import { type ClientLimits } from '@switchwheel/configuration';
import { Cache } from '@switchwheel/proxy-core';
import {
  EdgeRouter,
  type AttemptHandlers,
  type AttemptRequest,
  defaultEdgeLimits,
  defaultHeaderNames,
} from '@switchwheel/routing';
import { compileDocument, newConfirmedEdgeAgent } from '@switchwheel/routing/testing';
import { ClientListener } from './client-listener.js';
import { bodyMemory } from './testing/body-memory.js';

const service = toServiceName('clips');
const now = toTimestamp(50_000);
const document = {
  format: 1,
  classes: [{ name: 'play', share: 1 }],
  services: [{ name: 'clips' }],
  limits: { bodyBytes: 100 },
  routes: [
    {
      name: 'clip',
      prefix: '/clips/',
      service: 'clips',
      class: 'play',
      cache: { lifetimeMs: 60_000 },
    },
    { name: 'edit', prefix: '/edit/', methods: ['POST'], service: 'clips', class: 'play' },
  ],
};

const freeAddress = async (): Promise<Address> => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  return toAddress(`127.0.0.1:${port}`);
};

/** Client that reads and writes raw bytes. */
class RawClient {
  readonly socket: Socket;
  readonly #parts: Buffer[] = [];
  bytes = 0;
  readonly closed: Promise<void>;

  constructor(socket: Socket) {
    this.socket = socket;
    socket.on('error', () => undefined);
    socket.on('data', (part: Buffer) => {
      this.#parts.push(part);
      this.bytes += part.length;
    });
    this.closed = new Promise((resolve) => {
      socket.once('close', () => resolve());
    });
  }

  get text(): string {
    return Buffer.concat(this.#parts).toString('latin1');
  }

  /** Returns the status codes of the received responses in order. */
  statuses(): readonly string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) => match[1] ?? '');
  }

  send(method: string, path: string, id: string, body = ''): void {
    const length = body === '' ? '' : `content-length: ${body.length}\r\n`;
    this.socket.write(
      `${method} ${path} HTTP/1.1\r\nhost: x\r\nswitchwheel-id: ${id}\r\n${length}\r\n${body}`,
    );
  }

  async until(condition: () => boolean): Promise<void> {
    while (!condition()) await pause(2);
  }
}

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

interface SentAttempt {
  readonly request: AttemptRequest;
  readonly handlers: AttemptHandlers;
  isCancelled: boolean;
}

/** Listener with a router and simulated origins. */
interface ListenerFixture {
  readonly listener: ClientListener;
  readonly limits: ClientLimits;
  readonly attempts: SentAttempt[];
  readonly fetch: (
    method: string,
    path: string,
    headers?: Record<string, string>,
    body?: string,
  ) => Promise<{
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
  }>;
  readonly agent: Agent;
  /** Opens a raw connection to the listener. */
  readonly connectRaw: () => Promise<RawClient>;
  readonly waitForAttempts: (count: number) => Promise<void>;
  isClosing: boolean;
}

const open = async (overrides: object = {}): Promise<ListenerFixture> => {
  const configuration = compileDocument({ ...document, ...overrides });
  const nodeAgent = newConfirmedEdgeAgent({
    configuration,
    service,
    origins: [{ instance: 'o1', address: '10.0.1.1:80' }],
    slots: 4,
    now,
  });
  const attempts: SentAttempt[] = [];
  const attemptWaiters: { readonly count: number; readonly resolve: () => void }[] = [];
  const originClient = {
    send: (request: AttemptRequest, handlers: AttemptHandlers) => {
      const attempt: SentAttempt = { request, handlers, isCancelled: false };
      attempts.push(attempt);
      for (const waiter of attemptWaiters) if (attempts.length >= waiter.count) waiter.resolve();
      return () => {
        attempt.isCancelled = true;
      };
    },
    closeIdleConnections: () => undefined,
  };
  const router = new EdgeRouter(
    { now: () => now, nodeAgent: () => nodeAgent },
    new Cache(1_000_000),
    originClient,
    {
      zone: toZoneName('a'),
      headerNames: defaultHeaderNames,
      limits: defaultEdgeLimits,
      maxActiveRequests: 10,
    },
    { seed: 7 },
  );
  router.updateFleet(nodeAgent);
  const fixture = { isClosing: false };
  const listener = new ClientListener(router, defaultHeaderNames, {
    isClosing: () => fixture.isClosing,
    bodyMemory,
  });
  const address = await freeAddress();
  await listener.listen(address);
  listener.applyLimits(configuration.header.limits);
  const agent = new Agent({ keepAlive: true, maxSockets: 4 });
  const [host = '', port = ''] = address.split(':');
  const fetch: ListenerFixture['fetch'] = (method, path, headers = {}, body = '') =>
    new Promise((resolve, reject) => {
      const clientRequest = request(
        {
          host,
          port: Number(port),
          method,
          path,
          agent,
          headers: { 'switchwheel-id': 't1', ...headers },
        },
        (response) => {
          const parts: Buffer[] = [];
          response.on('data', (part: Buffer) => parts.push(part));
          response.on('end', () => {
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: Buffer.concat(parts).toString(),
            });
          });
        },
      );
      clientRequest.on('error', reject);
      clientRequest.end(body);
    });
  const connectRaw = (): Promise<RawClient> =>
    new Promise((resolve) => {
      const socket = connect(Number(port), host, () => resolve(new RawClient(socket)));
    });
  const waitForAttempts = (count: number): Promise<void> =>
    attempts.length >= count
      ? Promise.resolve()
      : new Promise((resolve) => {
          attemptWaiters.push({ count, resolve });
        });
  return Object.assign(fixture, {
    listener,
    limits: configuration.header.limits,
    attempts,
    fetch,
    agent,
    connectRaw,
    waitForAttempts,
  });
};

const respond = (fixture: ListenerFixture, index: number, body: string, status = 200): void =>
  fixture.attempts[index]?.handlers.onResponse({
    status,
    fields: [
      ['etag', '"v1"'],
      ['x-own', 'yes'],
    ],
    body: Buffer.from(body),
    isUnprocessed: false,
  });
const closeFixture = (fixture: ListenerFixture): void => {
  fixture.listener.stopAccepting();
  fixture.listener.closeAllConnections();
  fixture.agent.destroy();
};

void test("a cached response is served completely, as a range and as not modified, each time with the client's own id", async () => {
  const fixture = await open();
  const first = fixture.fetch('GET', '/clips/1', { range: 'bytes=2-4' });
  await fixture.waitForAttempts(1);
  assert.ok(
    fixture.attempts[0]?.request.fields.every(([name]) => name !== 'range'),
    'the complete object is requested from the origin',
  );
  respond(fixture, 0, 'abcdefgh');
  const part = await first;
  assert.deepEqual(
    [part.status, part.body, part.headers['content-range'], part.headers['switchwheel-id']],
    [206, 'cde', 'bytes 2-4/8', 't1'],
  );
  const whole = await fixture.fetch('GET', '/clips/1', { 'switchwheel-id': 't2' });
  assert.deepEqual(
    [whole.status, whole.body, whole.headers['switchwheel-id'], whole.headers['x-own']],
    [200, 'abcdefgh', 't2', 'yes'],
  );
  assert.equal((await fixture.fetch('GET', '/clips/1', { 'if-none-match': '"v1"' })).status, 304);
  assert.equal((await fixture.fetch('GET', '/clips/1', { range: 'bytes=99-' })).status, 416);
  assert.equal((await fixture.fetch('GET', '/clips/1', { range: 'bytes=6-' })).body, 'gh');
  assert.equal(fixture.attempts.length, 1);
  closeFixture(fixture);
});

void test('during shutdown an edge completes requests in progress and accepts no new connections', async () => {
  const fixture = await open();
  const inProgress = fixture.fetch('POST', '/edit/1', {}, 'body');
  await fixture.waitForAttempts(1);
  fixture.isClosing = true;
  fixture.listener.stopAccepting();
  respond(fixture, 0, 'done');
  const response = await inProgress;
  assert.deepEqual(
    [response.status, response.body, response.headers.connection],
    [200, 'done', 'close'],
  );
  await assert.rejects(
    fixture.fetch('POST', '/edit/2', {}, 'body'),
    'no new connection is accepted',
  );
  closeFixture(fixture);
});

void test('a body over the limit is rejected with 413, and an unknown route with 404', async () => {
  const fixture = await open();
  assert.equal(
    (await fixture.fetch('POST', '/edit/1', { connection: 'close' }, 'x'.repeat(101))).status,
    413,
  );
  assert.equal((await fixture.fetch('GET', '/nowhere/')).status, 404);
  assert.equal(fixture.attempts.length, 0);
  closeFixture(fixture);
});

void test('when its client disconnects, an uncacheable request is cancelled at the origin', async () => {
  const fixture = await open();
  const abandoned = fixture.fetch('POST', '/edit/1', {}, 'body');
  await fixture.waitForAttempts(1);
  fixture.agent.destroy();
  await assert.rejects(abandoned);
  await new Promise<void>((resolve) => {
    const checkCancelled = (): void => {
      if (fixture.attempts[0]?.isCancelled === true) resolve();
      else setImmediate(checkCancelled);
    };
    checkCancelled();
  });
  closeFixture(fixture);
});

void test('shutdown does not truncate a response that is still being written to a slow client', async () => {
  const fixture = await open();
  const client = await fixture.connectRaw();
  client.socket.pause();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.waitForAttempts(1);
  const size = 24 * 1024 * 1024;
  respond(fixture, 0, 'x'.repeat(size));
  await pause(20);
  fixture.listener.stopAccepting();
  client.socket.resume();
  await client.until(() => client.bytes > size || client.socket.destroyed);
  assert.ok(client.bytes > size, `${client.bytes} bytes received of more than ${size}`);
  closeFixture(fixture);
});

void test('shutdown closes idle connections immediately, and the others after their responses', async () => {
  const fixture = await open();
  const [idle, busy] = [await fixture.connectRaw(), await fixture.connectRaw()];
  idle.send('POST', '/edit/1', 'a', 'body');
  await fixture.waitForAttempts(1);
  respond(fixture, 0, 'first');
  await idle.until(() => idle.text.endsWith('first'));
  busy.send('POST', '/edit/2', 'b', 'body');
  await fixture.waitForAttempts(2);
  fixture.listener.stopAccepting();
  await idle.closed;
  respond(fixture, 1, 'second');
  await busy.closed;
  assert.ok(busy.text.endsWith('second'));
  closeFixture(fixture);
});

void test('pipelined requests get their own responses in order', async () => {
  const fixture = await open();
  const client = await fixture.connectRaw();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.waitForAttempts(2);
  respond(fixture, 1, 'second');
  respond(fixture, 0, 'first');
  await client.until(() => client.text.endsWith('second'));
  assert.match(client.text, /switchwheel-id: a[^]*first[^]*switchwheel-id: b[^]*second/);
  closeFixture(fixture);
});

void test('during shutdown an edge responds to all pipelined requests that it has read before it closes the connection', async () => {
  const fixture = await open();
  const client = await fixture.connectRaw();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.waitForAttempts(2);
  fixture.isClosing = true;
  fixture.listener.stopAccepting();
  respond(fixture, 0, 'first');
  await client.until(() => client.text.includes('first') || client.socket.destroyed);
  await pause(20);
  respond(fixture, 1, 'second');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '200']);
  assert.ok(client.text.endsWith('second'));
  assert.equal(
    client.text.match(/connection: close/g)?.length,
    1,
    'only the last response closes the connection',
  );
  closeFixture(fixture);
});

void test('a request that arrives after the last response was announced is not started', async () => {
  const fixture = await open();
  const client = await fixture.connectRaw();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.waitForAttempts(2);
  fixture.isClosing = true;
  respond(fixture, 1, 'second');
  client.send('POST', '/edit/3', 'c', 'body');
  await pause(20);
  assert.equal(fixture.attempts.length, 2, 'the third request can no longer get a response');
  respond(fixture, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '200']);
  closeFixture(fixture);
});

void test('a malformed message after a request in progress is answered after that request', async () => {
  const fixture = await open();
  const client = await fixture.connectRaw();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.waitForAttempts(1);
  client.socket.write('this is no request\r\n\r\n');
  await pause(20);
  assert.equal(client.text, '', 'the first request has no response yet');
  respond(fixture, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '400']);
  assert.match(client.text, /switchwheel-id: a[^]*firstHTTP/);
  closeFixture(fixture);
});

void test('a request head that times out after a request in progress does not end that request', async () => {
  const fixture = await open({ limits: { bodyBytes: 100, headerMs: 100 } });
  const client = await fixture.connectRaw();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.waitForAttempts(1);
  client.socket.write('POST /edit/2 HTTP/1.1\r\nhost');
  await pause(1500);
  assert.equal(client.text, '', 'the first request has no response yet');
  respond(fixture, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '408']);
  closeFixture(fixture);
});

void test('a connection stays open as long as its last response announced, also when a new configuration shortens the timeout', async () => {
  const fixture = await open({ limits: { bodyBytes: 100, idleMs: 2000 } });
  const client = await fixture.connectRaw();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.waitForAttempts(1);
  fixture.listener.applyLimits({ ...fixture.limits, idleMs: 300 });
  respond(fixture, 0, 'first');
  await client.until(() => client.text.endsWith('first'));
  assert.match(client.text, /timeout=2/);
  await pause(1700);
  client.send('POST', '/edit/2', 'b', 'body');
  await Promise.race([fixture.waitForAttempts(2), client.closed]);
  assert.equal(fixture.attempts.length, 2);
  respond(fixture, 1, 'second');
  await client.until(() => client.text.endsWith('second'));
  closeFixture(fixture);
});

void test('when a client disconnects, each of its pipelined requests is cancelled and none counts as open', async () => {
  const fixture = await open();
  const client = await fixture.connectRaw();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.waitForAttempts(2);
  client.socket.destroy();
  await client.closed;
  await pause(50);
  assert.deepEqual(
    [fixture.attempts.map((attempt) => attempt.isCancelled), fixture.listener.openRequests],
    [[true, true], 0],
  );
  closeFixture(fixture);
});
