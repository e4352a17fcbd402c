import assert from 'node:assert/strict';
import { type Server, type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { toAddress, toInstanceId, toServiceName } from '@switchwheel/types';
import { type OriginResponse, type AttemptRequest, defaultHeaderNames } from '@switchwheel/routing';
import { HttpOriginClient } from './origin-client.js';

interface Stand {
  readonly server: Server;
  readonly order: (id: string, fresh?: boolean, method?: string) => AttemptRequest;
  readonly sockets: () => number;
}

/** An origin that answers each request with raw bytes. */
const origin = async (
  answer: (id: string, socket: Socket, number: number) => void,
): Promise<Stand> => {
  let many = 0;
  let number = 0;
  const server = createServer((socket) => {
    many += 1;
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      for (const found of bytes.toString('latin1').matchAll(/switchwheel-id: (\S+)/g)) {
        number += 1;
        answer(found[1] ?? '', socket, number);
      }
    });
  });
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const bound = server.address();
  const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
  return {
    server,
    sockets: () => many,
    order: (id, fresh = false, method = 'GET') => ({
      service: toServiceName('clips'),
      address: toAddress(`127.0.0.1:${port}`),
      instance: toInstanceId('o1'),
      id,
      method,
      target: '/x',
      timeoutMs: 2000,
      needsNewConnection: fresh,
      fields: [
        ['host', 'x'],
        ['switchwheel-id', id],
      ],
      body: Buffer.alloc(0),
    }),
  };
};

type Outcome =
  { readonly answer: OriginResponse } | { readonly broke: string; readonly sent: boolean };
const ask = (legs: HttpOriginClient, order: AttemptRequest): Promise<Outcome> =>
  new Promise((done) => {
    legs.send(order, {
      onResponse: (answer) => done({ answer }),
      onFailure: (sent, text) => done({ broke: text, sent }),
    });
  });
const whole = (id: string, body: string, more = ''): string =>
  `HTTP/1.1 200 OK\r\nswitchwheel-id: ${id}\r\n${more}content-length: ${body.length}\r\n\r\n${body}`;
const bodyOf = (outcome: Outcome): string =>
  'answer' in outcome ? outcome.answer.body.toString() : `broke: ${outcome.broke}`;

void test('an answer is whole and of the right request, over kept connections', async () => {
  const stand = await origin((id, socket) => socket.write(whole(id, `body of ${id}`)));
  const legs = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b', 'c'])
    assert.equal(bodyOf(await ask(legs, stand.order(id))), `body of ${id}`);
  assert.equal(stand.sockets(), 1);
  assert.equal(bodyOf(await ask(legs, stand.order('d', true, 'POST'))), 'body of d');
  assert.equal(stand.sockets(), 2, 'one that may not be repeated has a connection of its own');
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});

void test('a surplus answer, at once or in the place of the next one, is never told', async () => {
  const stand = await origin((id, socket, number) => {
    if (number === 1) socket.write(whole(id, 'one') + whole(id, 'surplus'));
    else if (number === 2) socket.write(whole('zz', "another one's"));
    else socket.write(whole(id, `body of ${id}`));
  });
  const legs = new HttpOriginClient(defaultHeaderNames);
  const first = await ask(legs, stand.order('a'));
  assert.ok(bodyOf(first) === 'one' || 'broke' in first);
  const second = await ask(legs, stand.order('b'));
  assert.ok('broke' in second && second.sent, 'it may have run');
  assert.equal(bodyOf(await ask(legs, stand.order('c'))), 'body of c');
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});

void test('a surplus answer that comes while nothing is asked ends the connection', async () => {
  let late: Socket | undefined;
  const stand = await origin((id, socket) => {
    late = socket;
    socket.write(whole(id, `body of ${id}`));
  });
  const legs = new HttpOriginClient(defaultHeaderNames);
  await ask(legs, stand.order('a'));
  const ended = new Promise<void>((done) => {
    late?.once('close', () => {
      done();
    });
  });
  late?.write(whole('a', 'late surplus'));
  await ended;
  assert.equal(bodyOf(await ask(legs, stand.order('b'))), 'body of b');
  assert.equal(stand.sockets(), 2);
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});

void test('what breaks off, is cut short, is no answer or lacks its proof is no answer; whether it was sent is told', async () => {
  const stand = await origin((id, socket, number) => {
    if (number === 1)
      socket.end(`HTTP/1.1 200 OK\r\nswitchwheel-id: ${id}\r\ncontent-length: 10\r\n\r\nhalf`);
    else if (number === 2) socket.end('this is not HTTP at all\r\n\r\n');
    else if (number === 3) socket.resetAndDestroy();
    else socket.write(whole(id, 'no proof'));
  });
  const legs = new HttpOriginClient({ ...defaultHeaderNames, originProof: 'proof' });
  for (const id of ['a', 'b', 'c', 'd']) {
    const outcome = await ask(legs, stand.order(id, id < 'c'));
    assert.ok('broke' in outcome && outcome.sent, id);
  }
  legs.forget(toInstanceId('o1'));
  stand.server.close();
  const nobody = await ask(legs, { ...stand.order('e'), address: toAddress('127.0.0.1:1') });
  assert.ok('broke' in nobody && !nobody.sent, 'a refused connection is certain');
});

void test('an origin that says so did not run the request', async () => {
  const stand = await origin((id, socket, number) =>
    socket.write(
      number === 1
        ? `HTTP/1.1 503 Full\r\nswitchwheel-id: ${id}\r\nswitchwheel-unrun: 1\r\ncontent-length: 0\r\n\r\n`
        : `HTTP/1.1 421 Not me\r\nswitchwheel-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    ),
  );
  const legs = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b']) {
    const outcome = await ask(legs, stand.order(id));
    assert.ok('answer' in outcome && outcome.answer.isUnprocessed);
  }
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});

void test('bytes behind a whole answer do not spoil it, and their connection is not used again', async () => {
  const junk = ['this is no answer\r\n\r\n', whole('zz', 'surplus')];
  const stand = await origin((id, socket, number) =>
    socket.write(whole(id, `body of ${id}`) + (junk[number - 1] ?? '')),
  );
  const legs = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b', 'c', 'd'])
    assert.equal(bodyOf(await ask(legs, stand.order(id))), `body of ${id}`);
  assert.equal(stand.sockets(), 3);
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});

void test('a status that no answer may bear is a broken answer', async () => {
  const stand = await origin((id, socket, number) =>
    socket.write(
      `HTTP/1.1 ${['099', '000', '101'][number - 1] ?? '200'} X\r\nswitchwheel-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    ),
  );
  const legs = new HttpOriginClient(defaultHeaderNames);
  for (const id of ['a', 'b', 'c']) {
    const outcome = await ask(legs, stand.order(id));
    assert.ok('broke' in outcome && outcome.sent, id);
  }
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});

void test('a connection that its origin will close within a second is not used again', async () => {
  const stand = await origin((id, socket, number) =>
    socket.write(whole(id, `body of ${id}`, `keep-alive: timeout=${number === 1 ? 1 : 2}\r\n`)),
  );
  const legs = new HttpOriginClient(defaultHeaderNames);
  await ask(legs, stand.order('a'));
  await ask(legs, stand.order('b'));
  assert.equal(stand.sockets(), 2);
  await ask(legs, stand.order('c'));
  assert.equal(stand.sockets(), 2, 'it is used while it surely stands');
  await new Promise<void>((done) => {
    setTimeout(done, 1300);
  });
  assert.equal(bodyOf(await ask(legs, stand.order('d'))), 'body of d');
  assert.equal(stand.sockets(), 3);
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});

void test('what an answer left behind on a connection is never told to the next request', async () => {
  const stand = await origin((id, socket, number) => {
    socket.write(whole(id, `body of ${id}`));
    // A surplus answer under the id of the request before, some moments later.
    if (number % 2 === 1) setTimeout(() => socket.write(whole(id, 'surplus')), number);
  });
  const legs = new HttpOriginClient(defaultHeaderNames);
  for (let number = 0; number < 40; number += 1) {
    const id = `r${number}`;
    const outcome = await ask(legs, stand.order(id, number % 3 === 0));
    if ('answer' in outcome) assert.equal(bodyOf(outcome), `body of ${id}`);
    else assert.ok(outcome.sent);
    await new Promise<void>((done) => {
      setTimeout(done, number % 4);
    });
  }
  legs.forget(toInstanceId('o1'));
  stand.server.close();
});
