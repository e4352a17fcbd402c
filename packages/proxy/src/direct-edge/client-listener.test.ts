/** The listener over real sockets, with origins that the test stands in for. */

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
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const bound = server.address();
  const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
  await new Promise<void>((done) => {
    server.close(() => {
      done();
    });
  });
  return toAddress(`127.0.0.1:${port}`);
};

/** A client at the level of bytes. */
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
    this.closed = new Promise((done) => {
      socket.once('close', () => done());
    });
  }

  get text(): string {
    return Buffer.concat(this.#parts).toString('latin1');
  }

  /** The status codes of the answers received, in their order. */
  statuses(): readonly string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((found) => found[1] ?? '');
  }

  send(method: string, path: string, id: string, body = ''): void {
    const length = body === '' ? '' : `content-length: ${body.length}\r\n`;
    this.socket.write(
      `${method} ${path} HTTP/1.1\r\nhost: x\r\nswitchwheel-id: ${id}\r\n${length}\r\n${body}`,
    );
  }

  async until(holds: () => boolean): Promise<void> {
    while (!holds()) await pause(2);
  }
}

const pause = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

interface SentAttempt {
  readonly request: AttemptRequest;
  readonly handlers: AttemptHandlers;
  isCancelled: boolean;
}

/** A listener with a router whose origins the test stands in for. */
interface ListenerFixture {
  readonly listener: ClientListener;
  readonly limits: ClientLimits;
  readonly attempts: SentAttempt[];
  readonly ask: (
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
  /** Opens a connection on which a test reads and writes bytes. */
  readonly dial: () => Promise<RawClient>;
  readonly sent: (count: number) => Promise<void>;
  closing: boolean;
}

const open = async (changes: object = {}): Promise<ListenerFixture> => {
  const configuration = compileDocument({ ...document, ...changes });
  const nodeAgent = newConfirmedEdgeAgent({
    configuration,
    service,
    origins: [{ instance: 'o1', address: '10.0.1.1:80' }],
    slots: 4,
    now,
  });
  const attempts: SentAttempt[] = [];
  const waiting: { readonly count: number; readonly done: () => void }[] = [];
  const originClient = {
    send: (request: AttemptRequest, handlers: AttemptHandlers) => {
      const attempt: SentAttempt = { request, handlers, isCancelled: false };
      attempts.push(attempt);
      for (const each of waiting) if (attempts.length >= each.count) each.done();
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
  const fixture = { closing: false };
  const listener = new ClientListener(router, defaultHeaderNames, {
    isClosing: () => fixture.closing,
  });
  const at = await freeAddress();
  await listener.listen(at);
  listener.applyLimits(configuration.header.limits);
  const agent = new Agent({ keepAlive: true, maxSockets: 4 });
  const [host = '', number = ''] = at.split(':');
  const ask: ListenerFixture['ask'] = (method, path, headers = {}, body = '') =>
    new Promise((done, fail) => {
      const clientRequest = request(
        {
          host,
          port: Number(number),
          method,
          path,
          agent,
          headers: { 'switchwheel-id': 't1', ...headers },
        },
        (response) => {
          const parts: Buffer[] = [];
          response.on('data', (part: Buffer) => parts.push(part));
          response.on('end', () => {
            done({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: Buffer.concat(parts).toString(),
            });
          });
        },
      );
      clientRequest.on('error', fail);
      clientRequest.end(body);
    });
  const dial = (): Promise<RawClient> =>
    new Promise((done) => {
      const socket = connect(Number(number), host, () => done(new RawClient(socket)));
    });
  const sent = (count: number): Promise<void> =>
    attempts.length >= count
      ? Promise.resolve()
      : new Promise((done) => {
          waiting.push({ count, done });
        });
  return Object.assign(fixture, {
    listener,
    limits: configuration.header.limits,
    attempts,
    ask,
    agent,
    dial,
    sent,
  });
};

const answer = (fixture: ListenerFixture, at: number, body: string, status = 200): void =>
  fixture.attempts[at]?.handlers.onResponse({
    status,
    fields: [
      ['etag', '"v1"'],
      ['x-own', 'yes'],
    ],
    body: Buffer.from(body),
    isUnprocessed: false,
  });
const end = (fixture: ListenerFixture): void => {
  fixture.listener.stopAccepting();
  fixture.listener.closeAllConnections();
  fixture.agent.destroy();
};

void test("a cached response is served whole, in ranges, and as not modified, each with the client's own id", async () => {
  const fixture = await open();
  const first = fixture.ask('GET', '/clips/1', { range: 'bytes=2-4' });
  await fixture.sent(1);
  assert.ok(
    fixture.attempts[0]?.request.fields.every(([name]) => name !== 'range'),
    'the origin is asked for the whole',
  );
  answer(fixture, 0, 'abcdefgh');
  const part = await first;
  assert.deepEqual(
    [part.status, part.body, part.headers['content-range'], part.headers['switchwheel-id']],
    [206, 'cde', 'bytes 2-4/8', 't1'],
  );
  const whole = await fixture.ask('GET', '/clips/1', { 'switchwheel-id': 't2' });
  assert.deepEqual(
    [whole.status, whole.body, whole.headers['switchwheel-id'], whole.headers['x-own']],
    [200, 'abcdefgh', 't2', 'yes'],
  );
  assert.equal((await fixture.ask('GET', '/clips/1', { 'if-none-match': '"v1"' })).status, 304);
  assert.equal((await fixture.ask('GET', '/clips/1', { range: 'bytes=99-' })).status, 416);
  assert.equal((await fixture.ask('GET', '/clips/1', { range: 'bytes=6-' })).body, 'gh');
  assert.equal(fixture.attempts.length, 1);
  end(fixture);
});

void test('a stopping edge completes requests in progress, and accepts no new connection', async () => {
  const fixture = await open();
  const under = fixture.ask('POST', '/edit/1', {}, 'body');
  await fixture.sent(1);
  fixture.closing = true;
  fixture.listener.stopAccepting();
  answer(fixture, 0, 'done');
  const told = await under;
  assert.deepEqual([told.status, told.body, told.headers.connection], [200, 'done', 'close']);
  await assert.rejects(fixture.ask('POST', '/edit/2', {}, 'body'), 'no new connection is taken');
  end(fixture);
});

void test('a body over the limit and an unknown route are refused, each with its status', async () => {
  const fixture = await open();
  assert.equal(
    (await fixture.ask('POST', '/edit/1', { connection: 'close' }, 'x'.repeat(101))).status,
    413,
  );
  assert.equal((await fixture.ask('GET', '/nowhere/')).status, 404);
  assert.equal(fixture.attempts.length, 0);
  end(fixture);
});

void test('when its client leaves, a request that is not shared is cancelled at the origin', async () => {
  const fixture = await open();
  const gone = fixture.ask('POST', '/edit/1', {}, 'body');
  await fixture.sent(1);
  fixture.agent.destroy();
  await assert.rejects(gone);
  await new Promise<void>((done) => {
    const look = (): void => {
      if (fixture.attempts[0]?.isCancelled === true) done();
      else setImmediate(look);
    };
    look();
  });
  end(fixture);
});

void test('a stop cuts no response that is still being written to a slow client', async () => {
  const fixture = await open();
  const client = await fixture.dial();
  client.socket.pause();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.sent(1);
  const size = 24 * 1024 * 1024;
  answer(fixture, 0, 'x'.repeat(size));
  await pause(20);
  fixture.listener.stopAccepting();
  client.socket.resume();
  await client.until(() => client.bytes > size || client.socket.destroyed);
  assert.ok(client.bytes > size, `${client.bytes} bytes of more than ${size} came`);
  end(fixture);
});

void test('a stop closes idle connections, and the others once their responses are out', async () => {
  const fixture = await open();
  const [resting, busy] = [await fixture.dial(), await fixture.dial()];
  resting.send('POST', '/edit/1', 'a', 'body');
  await fixture.sent(1);
  answer(fixture, 0, 'first');
  await resting.until(() => resting.text.endsWith('first'));
  busy.send('POST', '/edit/2', 'b', 'body');
  await fixture.sent(2);
  fixture.listener.stopAccepting();
  await resting.closed;
  answer(fixture, 1, 'second');
  await busy.closed;
  assert.ok(busy.text.endsWith('second'));
  end(fixture);
});

void test('pipelined requests get their responses in order, each its own', async () => {
  const fixture = await open();
  const client = await fixture.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.sent(2);
  answer(fixture, 1, 'second');
  answer(fixture, 0, 'first');
  await client.until(() => client.text.endsWith('second'));
  assert.match(client.text, /switchwheel-id: a[^]*first[^]*switchwheel-id: b[^]*second/);
  end(fixture);
});

void test('a stopping edge responds to all pipelined requests that it has read before it closes', async () => {
  const fixture = await open();
  const client = await fixture.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.sent(2);
  fixture.closing = true;
  fixture.listener.stopAccepting();
  answer(fixture, 0, 'first');
  await client.until(() => client.text.includes('first') || client.socket.destroyed);
  await pause(20);
  answer(fixture, 1, 'second');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '200']);
  assert.ok(client.text.endsWith('second'));
  assert.equal(client.text.match(/connection: close/g)?.length, 1, 'only the last one closes');
  end(fixture);
});

void test('a request that comes after the last response was decided is not begun', async () => {
  const fixture = await open();
  const client = await fixture.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.sent(2);
  fixture.closing = true;
  answer(fixture, 1, 'second');
  client.send('POST', '/edit/3', 'c', 'body');
  await pause(20);
  assert.equal(fixture.attempts.length, 2, 'the third one can have no answer any more');
  answer(fixture, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '200']);
  end(fixture);
});

void test('bytes that are no request, behind one in progress, do not take the place of its response', async () => {
  const fixture = await open();
  const client = await fixture.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.sent(1);
  client.socket.write('this is no request\r\n\r\n');
  await pause(20);
  assert.equal(client.text, '', 'the first request is not answered yet');
  answer(fixture, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '400']);
  assert.match(client.text, /switchwheel-id: a[^]*firstHTTP/);
  end(fixture);
});

void test('a head that takes too long, behind a request in progress, does not end that request', async () => {
  const fixture = await open({ limits: { bodyBytes: 100, headerMs: 100 } });
  const client = await fixture.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.sent(1);
  client.socket.write('POST /edit/2 HTTP/1.1\r\nhost');
  await pause(1500);
  assert.equal(client.text, '', 'the first request is not answered yet');
  answer(fixture, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '408']);
  end(fixture);
});

void test('a connection is kept as long as its last response announced, also when a new configuration shortens that', async () => {
  const fixture = await open({ limits: { bodyBytes: 100, idleMs: 2000 } });
  const client = await fixture.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  await fixture.sent(1);
  fixture.listener.applyLimits({ ...fixture.limits, idleMs: 300 });
  answer(fixture, 0, 'first');
  await client.until(() => client.text.endsWith('first'));
  assert.match(client.text, /timeout=2/);
  await pause(1700);
  client.send('POST', '/edit/2', 'b', 'body');
  await Promise.race([fixture.sent(2), client.closed]);
  assert.equal(fixture.attempts.length, 2);
  answer(fixture, 1, 'second');
  await client.until(() => client.text.endsWith('second'));
  end(fixture);
});

void test('when a client leaves, each of its pipelined requests is cancelled and none counts as open', async () => {
  const fixture = await open();
  const client = await fixture.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await fixture.sent(2);
  client.socket.destroy();
  await client.closed;
  await pause(50);
  assert.deepEqual(
    [fixture.attempts.map((attempt) => attempt.isCancelled), fixture.listener.openRequests],
    [[true, true], 0],
  );
  end(fixture);
});
