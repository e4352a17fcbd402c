import assert from 'node:assert/strict';
import { Agent, type IncomingHttpHeaders, request } from 'node:http';
import { type Socket, connect, createServer } from 'node:net';
import { test } from 'node:test';
import {
  type Address,
  toAddress,
  toZoneName,
  toGeneration,
  toIncarnation,
  toInstanceId,
  toTimestamp,
  toNodeId,
  toRelease,
  toServiceName,
} from '@switchwheel/types';
import {
  type ClientLimits,
  buildConfiguration,
  splitIntoChunks,
  runToCompletion,
} from '@switchwheel/configuration';
import { type NodeAgent, Cache, newNodeAgent } from '@switchwheel/proxy-core';
import {
  EdgeRouter,
  type AttemptHandlers,
  type AttemptRequest,
  defaultEdgeLimits,
  defaultHeaderNames,
} from '@switchwheel/routing';
import { ClientListener } from './client-listener.js';

const service = toServiceName('clips');
const now = toTimestamp(50_000);
const description = {
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

interface Stand {
  readonly door: ClientListener;
  readonly limits: ClientLimits;
  readonly legs: { readonly order: AttemptRequest; readonly ears: AttemptHandlers; cut: boolean }[];
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
  readonly sent: (many: number) => Promise<void>;
  closing: boolean;
}

const open = async (changes: object = {}): Promise<Stand> => {
  const bundle = runToCompletion(splitIntoChunks({ ...description, ...changes }));
  assert.ok(bundle.isOk);
  const { hash, chunkHashes, chunks } = bundle.value;
  const built = runToCompletion(
    buildConfiguration(
      chunkHashes.map((one) => chunks.get(one) ?? ''),
      toGeneration(1),
      hash,
    ),
  );
  assert.ok(built.isOk);
  const member = {
    node: toNodeId('e1'),
    role: 'edge' as const,
    area: toZoneName('a'),
    address: toAddress('10.0.0.1:1'),
    incarnation: toIncarnation(1),
  };
  const fresh = newNodeAgent(member, [], { seed: 3 });
  const instance = toInstanceId('o1');
  const origins = new Map([
    [
      instance,
      {
        service,
        instance,
        address: toAddress('10.0.1.1:80'),
        release: toRelease('r1'),
        slots: 4,
        state: 'up' as const,
        lastHeardAt: now,
      },
    ],
  ]);
  const cabin: NodeAgent = {
    ...fresh,
    compiledConfiguration: built.value,
    purgesCurrentAsOf: now,
    configFreshness: {
      newestGeneration: built.value.generation,
      confirmedAsOf: now,
      pendingGenerations: [],
    },
    nodeSession: { ...fresh.nodeSession, registryHeardAt: now, origins, members: [member] },
  };
  const legs: Stand['legs'] = [];
  const waiting: { readonly many: number; readonly done: () => void }[] = [];
  const port = {
    send: (one: AttemptRequest, ears: AttemptHandlers) => {
      const leg = { order: one, ears, cut: false };
      legs.push(leg);
      for (const each of waiting) if (legs.length >= each.many) each.done();
      return () => {
        leg.cut = true;
      };
    },
    forget: () => undefined,
  };
  const line = new EdgeRouter(
    { now: () => now, nodeAgent: () => cabin },
    new Cache(1_000_000),
    port,
    {
      zone: toZoneName('a'),
      headerNames: defaultHeaderNames,
      limits: defaultEdgeLimits,
      maxActiveRequests: 10,
    },
    { seed: 7 },
  );
  line.updateFleet(cabin);
  const stand = { closing: false };
  const door = new ClientListener(line, defaultHeaderNames, { isClosing: () => stand.closing });
  const at = await freeAddress();
  await door.listen(at);
  door.applyLimits(built.value.header.limits);
  const agent = new Agent({ keepAlive: true, maxSockets: 4 });
  const [host = '', number = ''] = at.split(':');
  const ask: Stand['ask'] = (method, path, headers = {}, body = '') =>
    new Promise((done, fail) => {
      const asked = request(
        {
          host,
          port: Number(number),
          method,
          path,
          agent,
          headers: { 'switchwheel-id': 't1', ...headers },
        },
        (answer) => {
          const parts: Buffer[] = [];
          answer.on('data', (part: Buffer) => parts.push(part));
          answer.on('end', () => {
            done({
              status: answer.statusCode ?? 0,
              headers: answer.headers,
              body: Buffer.concat(parts).toString(),
            });
          });
        },
      );
      asked.on('error', fail);
      asked.end(body);
    });
  const dial = (): Promise<RawClient> =>
    new Promise((done) => {
      const socket = connect(Number(number), host, () => done(new RawClient(socket)));
    });
  const sent = (many: number): Promise<void> =>
    legs.length >= many
      ? Promise.resolve()
      : new Promise((done) => {
          waiting.push({ many, done });
        });
  return Object.assign(stand, {
    door,
    limits: built.value.header.limits,
    legs,
    ask,
    agent,
    dial,
    sent,
  });
};

const answer = (stand: Stand, at: number, body: string, status = 200): void =>
  stand.legs[at]?.ears.onResponse({
    status,
    fields: [
      ['etag', '"v1"'],
      ['x-own', 'yes'],
    ],
    body: Buffer.from(body),
    isUnprocessed: false,
  });
const end = (stand: Stand): void => {
  stand.door.stopAccepting();
  stand.door.closeAllConnections();
  stand.agent.destroy();
};

void test("a kept answer is told whole, in ranges, and as not modified, each with the caller's own id", async () => {
  const stand = await open();
  const first = stand.ask('GET', '/clips/1', { range: 'bytes=2-4' });
  await stand.sent(1);
  assert.ok(
    stand.legs[0]?.order.fields.every(([name]) => name !== 'range'),
    'the origin is asked for the whole',
  );
  answer(stand, 0, 'abcdefgh');
  const part = await first;
  assert.deepEqual(
    [part.status, part.body, part.headers['content-range'], part.headers['switchwheel-id']],
    [206, 'cde', 'bytes 2-4/8', 't1'],
  );
  const whole = await stand.ask('GET', '/clips/1', { 'switchwheel-id': 't2' });
  assert.deepEqual(
    [whole.status, whole.body, whole.headers['switchwheel-id'], whole.headers['x-own']],
    [200, 'abcdefgh', 't2', 'yes'],
  );
  assert.equal((await stand.ask('GET', '/clips/1', { 'if-none-match': '"v1"' })).status, 304);
  assert.equal((await stand.ask('GET', '/clips/1', { range: 'bytes=99-' })).status, 416);
  assert.equal((await stand.ask('GET', '/clips/1', { range: 'bytes=6-' })).body, 'gh');
  assert.equal(stand.legs.length, 1);
  end(stand);
});

void test('a stopping edge answers what is under way whole, and sends callers elsewhere', async () => {
  const stand = await open();
  const under = stand.ask('POST', '/edit/1', {}, 'body');
  await stand.sent(1);
  stand.closing = true;
  stand.door.stopAccepting();
  answer(stand, 0, 'done');
  const told = await under;
  assert.deepEqual([told.status, told.body, told.headers.connection], [200, 'done', 'close']);
  await assert.rejects(stand.ask('POST', '/edit/2', {}, 'body'), 'no new connection is taken');
  end(stand);
});

void test('what callers may not send is refused, and no route is told as such', async () => {
  const stand = await open();
  assert.equal(
    (await stand.ask('POST', '/edit/1', { connection: 'close' }, 'x'.repeat(101))).status,
    413,
  );
  assert.equal((await stand.ask('GET', '/nowhere/')).status, 404);
  assert.equal(stand.legs.length, 0);
  end(stand);
});

void test('when its caller leaves, a request that is not shared is broken off at the origin', async () => {
  const stand = await open();
  const gone = stand.ask('POST', '/edit/1', {}, 'body');
  await stand.sent(1);
  stand.agent.destroy();
  await assert.rejects(gone);
  await new Promise<void>((done) => {
    const look = (): void => {
      if (stand.legs[0]?.cut === true) done();
      else setImmediate(look);
    };
    look();
  });
  end(stand);
});

void test('a stop cuts no answer that is still being written to a slow client', async () => {
  const stand = await open();
  const client = await stand.dial();
  client.socket.pause();
  client.send('POST', '/edit/1', 'a', 'body');
  await stand.sent(1);
  const size = 24 * 1024 * 1024;
  answer(stand, 0, 'x'.repeat(size));
  await pause(20);
  stand.door.stopAccepting();
  client.socket.resume();
  await client.until(() => client.bytes > size || client.socket.destroyed);
  assert.ok(client.bytes > size, `${client.bytes} bytes of more than ${size} came`);
  end(stand);
});

void test('a stop leaves no connection open once its answers are out, and cuts none that is asked again', async () => {
  const stand = await open();
  const [resting, busy] = [await stand.dial(), await stand.dial()];
  resting.send('POST', '/edit/1', 'a', 'body');
  await stand.sent(1);
  answer(stand, 0, 'first');
  await resting.until(() => resting.text.endsWith('first'));
  busy.send('POST', '/edit/2', 'b', 'body');
  await stand.sent(2);
  stand.door.stopAccepting();
  await resting.closed;
  answer(stand, 1, 'second');
  await busy.closed;
  assert.ok(busy.text.endsWith('second'));
  end(stand);
});

void test('pipelined requests are answered in their order, each with its own answer', async () => {
  const stand = await open();
  const client = await stand.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await stand.sent(2);
  answer(stand, 1, 'second');
  answer(stand, 0, 'first');
  await client.until(() => client.text.endsWith('second'));
  assert.match(client.text, /switchwheel-id: a[^]*first[^]*switchwheel-id: b[^]*second/);
  end(stand);
});

void test('a stopping edge answers all pipelined requests that it read before it closes', async () => {
  const stand = await open();
  const client = await stand.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await stand.sent(2);
  stand.closing = true;
  stand.door.stopAccepting();
  answer(stand, 0, 'first');
  await client.until(() => client.text.includes('first') || client.socket.destroyed);
  await pause(20);
  answer(stand, 1, 'second');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '200']);
  assert.ok(client.text.endsWith('second'));
  assert.equal(client.text.match(/connection: close/g)?.length, 1, 'only the last one closes');
  end(stand);
});

void test('a request that comes after the last answer was decided is not begun', async () => {
  const stand = await open();
  const client = await stand.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await stand.sent(2);
  stand.closing = true;
  answer(stand, 1, 'second');
  client.send('POST', '/edit/3', 'c', 'body');
  await pause(20);
  assert.equal(stand.legs.length, 2, 'the third one can have no answer any more');
  answer(stand, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '200']);
  end(stand);
});

void test('bytes that are no request, behind one under way, do not take the place of its answer', async () => {
  const stand = await open();
  const client = await stand.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  await stand.sent(1);
  client.socket.write('this is no request\r\n\r\n');
  await pause(20);
  assert.equal(client.text, '', 'the first request is not answered yet');
  answer(stand, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '400']);
  assert.match(client.text, /switchwheel-id: a[^]*firstHTTP/);
  end(stand);
});

void test('a head that takes too long, behind a request under way, ends nothing of it', async () => {
  const stand = await open({ limits: { bodyBytes: 100, headerMs: 100 } });
  const client = await stand.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  await stand.sent(1);
  client.socket.write('POST /edit/2 HTTP/1.1\r\nhost');
  await pause(1500);
  assert.equal(client.text, '', 'the first request is not answered yet');
  answer(stand, 0, 'first');
  await client.closed;
  assert.deepEqual(client.statuses(), ['200', '408']);
  end(stand);
});

void test('a connection lives as long as its last answer said, also when a new configuration shortens that', async () => {
  const stand = await open({ limits: { bodyBytes: 100, idleMs: 2000 } });
  const client = await stand.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  await stand.sent(1);
  stand.door.applyLimits({ ...stand.limits, idleMs: 300 });
  answer(stand, 0, 'first');
  await client.until(() => client.text.endsWith('first'));
  assert.match(client.text, /timeout=2/);
  await pause(1700);
  client.send('POST', '/edit/2', 'b', 'body');
  await Promise.race([stand.sent(2), client.closed]);
  assert.equal(stand.legs.length, 2);
  answer(stand, 1, 'second');
  await client.until(() => client.text.endsWith('second'));
  end(stand);
});

void test('when a client leaves, each of its pipelined requests is broken off and none counts as open', async () => {
  const stand = await open();
  const client = await stand.dial();
  client.send('POST', '/edit/1', 'a', 'body');
  client.send('POST', '/edit/2', 'b', 'body');
  await stand.sent(2);
  client.socket.destroy();
  await client.closed;
  await pause(50);
  assert.deepEqual([stand.legs.map((one) => one.cut), stand.door.openRequests], [[true, true], 0]);
  end(stand);
});
