import assert from 'node:assert/strict';
import { Agent, type IncomingHttpHeaders, request } from 'node:http';
import { createServer } from 'node:net';
import { test } from 'node:test';
import {
  type Address,
  toAddress,
  toAreaName,
  toGeneration,
  toIncarnation,
  toInstanceId,
  toMoment,
  toNodeId,
  toRelease,
  toServiceName,
} from '@switchwheel/types';
import { build, cut, finish } from '@switchwheel/configuration';
import { type Cabin, Cache, newCabin } from '@switchwheel/proxy-core';
import {
  DirectLine,
  type LegEars,
  type LegOrder,
  plainBounds,
  plainWords,
} from '@switchwheel/routing';
import { DirectDoor } from './door.js';

const service = toServiceName('clips');
const now = toMoment(50_000);
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

interface Stand {
  readonly door: DirectDoor;
  readonly legs: { readonly order: LegOrder; readonly ears: LegEars; cut: boolean }[];
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
  readonly sent: (many: number) => Promise<void>;
  closing: boolean;
}

const open = async (): Promise<Stand> => {
  const bundle = finish(cut(description));
  assert.ok(bundle.isOk);
  const { hash, order, pieces } = bundle.value;
  const built = finish(
    build(
      order.map((one) => pieces.get(one) ?? ''),
      toGeneration(1),
      hash,
    ),
  );
  assert.ok(built.isOk);
  const member = {
    node: toNodeId('e1'),
    role: 'edge' as const,
    area: toAreaName('a'),
    address: toAddress('10.0.0.1:1'),
    incarnation: toIncarnation(1),
  };
  const fresh = newCabin(member, [], { seed: 3 });
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
        at: now,
      },
    ],
  ]);
  const cabin: Cabin = {
    ...fresh,
    table: built.value,
    asOf: now,
    wanted: { generation: built.value.generation, asOf: now },
    berth: { ...fresh.berth, registryHeardAt: now, origins, members: [member] },
  };
  const legs: Stand['legs'] = [];
  const waiting: { readonly many: number; readonly done: () => void }[] = [];
  const port = {
    send: (one: LegOrder, ears: LegEars) => {
      const leg = { order: one, ears, cut: false };
      legs.push(leg);
      for (const each of waiting) if (legs.length >= each.many) each.done();
      return () => {
        leg.cut = true;
      };
    },
    forget: () => undefined,
  };
  const line = new DirectLine(
    { now: () => now, cabin: () => cabin },
    new Cache(1_000_000),
    port,
    { area: toAreaName('a'), words: plainWords, bounds: plainBounds, most: 10 },
    { seed: 7 },
  );
  line.learn(cabin);
  const stand = { closing: false };
  const door = new DirectDoor(line, plainWords, { closing: () => stand.closing });
  const at = await freeAddress();
  await door.listen(at);
  door.hold(built.value.head.limits);
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
  const sent = (many: number): Promise<void> =>
    legs.length >= many
      ? Promise.resolve()
      : new Promise((done) => {
          waiting.push({ many, done });
        });
  return Object.assign(stand, { door, legs, ask, agent, sent });
};

const answer = (stand: Stand, at: number, body: string, status = 200): void =>
  stand.legs[at]?.ears.answered({
    status,
    fields: [
      ['etag', '"v1"'],
      ['x-own', 'yes'],
    ],
    body: Buffer.from(body),
    unrun: false,
  });
const end = (stand: Stand): void => {
  stand.door.shut();
  stand.door.hang();
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
  stand.door.shut();
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
