/** The rules of requests over real sockets at both ends: nothing is lost, mixed up, run twice or falsely rejected. */

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import {
  type RandomState,
  nextRandom,
  toAddress,
  toZoneName,
  toTimestamp,
  toServiceName,
} from '@switchwheel/types';
import { type NodeAgent, Cache } from '@switchwheel/proxy-core';
import { EdgeRouter, defaultEdgeLimits, defaultHeaderNames } from '@switchwheel/routing';
import { compileDocument, newEdgeAgent } from '@switchwheel/routing/testing';
import { ClientListener } from './client-listener.js';
import { HttpOriginClient } from './origin-client.js';
import { MisbehavingOrigin, originBehaviors } from './testing/misbehaving-origin.js';

const service = toServiceName('clips');
const unprocessedStatuses = new Set(['408', '421', '429', '503']);
const now = (): ReturnType<typeof toTimestamp> => toTimestamp(50_000 + performance.now());
const pause = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

const nodeAgentWith = (addresses: readonly string[]): NodeAgent =>
  newEdgeAgent({
    configuration: compileDocument({
      format: 1,
      classes: [{ name: 'all', share: 1 }],
      services: [{ name: 'clips' }],
      routes: [
        { name: 'read', prefix: '/read/', methods: ['GET'], service: 'clips', class: 'all' },
        { name: 'edit', prefix: '/edit/', methods: ['POST'], service: 'clips', class: 'all' },
      ],
    }),
    service,
    origins: addresses.map((address, index) => ({ instance: `o${index}`, address })),
    slots: 50,
    now: now(),
  });

/** A client that pipelines requests on one connection; it may leave before their answers. */
const pipeline = (
  port: number,
  requests: readonly { readonly id: string; readonly method: string }[],
  leaveMs: number | undefined,
): Promise<string> =>
  new Promise((done) => {
    const parts: Buffer[] = [];
    const socket = connect(port, '127.0.0.1', () => {
      for (const [at, { id, method }] of requests.entries()) {
        const last = at === requests.length - 1 ? 'connection: close\r\n' : '';
        const path = method === 'GET' ? '/read/x' : '/edit/x';
        const body = method === 'GET' ? '' : `asked ${id}`;
        const length = body === '' ? '' : `content-length: ${body.length}\r\n`;
        socket.write(
          `${method} ${path} HTTP/1.1\r\nhost: x\r\nswitchwheel-id: ${id}\r\nswitchwheel-deadline-ms: 1500\r\n${last}${length}\r\n${body}`,
        );
      }
      if (leaveMs !== undefined) setTimeout(() => socket.destroy(), leaveMs);
    });
    socket.on('data', (part: Buffer) => parts.push(part));
    socket.on('error', () => undefined);
    socket.on('close', () => done(Buffer.concat(parts).toString('latin1')));
  });

/** The answers of one connection: status, id and body of each. */
const answersIn = (text: string): readonly (readonly string[])[] =>
  [
    ...text.matchAll(
      /HTTP\/1\.1 (\d{3}) [^]*?switchwheel-id: (\S+)[^]*?\r\n\r\n([^]*?)(?=HTTP\/1\.1 |$)/g,
    ),
  ].map((found) => found.slice(1));

void test('over real sockets, with misbehaving origins and pipelining clients, each response is its own, nothing runs twice, and a stop loses none', async () => {
  let dice: RandomState = { seed: 11 };
  const chance = (): number => {
    const [value, next] = nextRandom(dice);
    dice = next;
    return value;
  };
  const origins = [1, 2, 3, 4].map(
    () =>
      new MisbehavingOrigin(
        () => originBehaviors[Math.floor(chance() * originBehaviors.length)] ?? 'complete',
      ),
  );
  const nodeAgent = nodeAgentWith(await Promise.all(origins.map((one) => one.listen())));
  const router = new EdgeRouter(
    { now, nodeAgent: () => nodeAgent },
    new Cache(1_000_000),
    new HttpOriginClient(defaultHeaderNames),
    {
      zone: toZoneName('a'),
      headerNames: defaultHeaderNames,
      limits: defaultEdgeLimits,
      maxActiveRequests: 1000,
    },
    { seed: 7 },
  );
  router.updateFleet(nodeAgent);
  const ticking = setInterval(() => router.tick(now()), 30);
  let closing = false;
  const listener = new ClientListener(router, defaultHeaderNames, { isClosing: () => closing });
  // An address that was free a moment ago.
  const spare = new MisbehavingOrigin(() => 'complete');
  const address = toAddress(await spare.listen());
  spare.close();
  const port = Number(address.split(':')[1]);
  await listener.listen(address);

  const statuses = new Map<string, string>();
  let completeCount = 0;
  const exchange = async (number: number): Promise<void> => {
    const requests = ['a', 'b'].map((part) => ({
      id: `t${number}${part}`,
      method: chance() < 0.5 ? 'POST' : 'GET',
    }));
    const leaveMs = chance() < 0.15 ? 1 + chance() * 30 : undefined;
    const answers = answersIn(await pipeline(port, requests, leaveMs));
    if (leaveMs === undefined) assert.equal(answers.length, requests.length, `LOST t${number}`);
    for (const [at, [status = '', id = '', body = '']] of answers.entries()) {
      assert.equal(id, requests[at]?.id, 'MIXED: the answer to another request');
      if (status === '200') assert.ok(`body of ${id}`.startsWith(body), `MIXED: ${body}`);
      if (status === '200' && body === `body of ${id}`) completeCount += 1;
      statuses.set(id, status);
    }
  };
  const exchanges: Promise<void>[] = [];
  for (let number = 0; number < 300; number += 1) {
    exchanges.push(exchange(number));
    await pause(2);
  }
  // A stop: what was read is answered, and no connection stays open.
  closing = true;
  await pause(50);
  listener.stopAccepting();
  await Promise.all(exchanges);
  assert.equal(listener.openRequests, 0);

  const counts = new Map<string, number>();
  for (const run of origins.flatMap((one) => one.handledRequests)) {
    counts.set(run.id, (counts.get(run.id) ?? 0) + 1);
    if (run.method === 'GET') continue;
    assert.equal(run.body, `asked ${run.id}`, 'UNASKED');
    assert.equal(counts.get(run.id), 1, `TWICE ${run.id}`);
    assert.ok(
      !unprocessedStatuses.has(statuses.get(run.id) ?? ''),
      `REFUSED ${run.id}: ${statuses.get(run.id) ?? ''}`,
    );
  }
  assert.ok(completeCount > 200, `${completeCount} complete responses`);
  clearInterval(ticking);
  listener.closeAllConnections();
  for (const origin of origins) origin.close();
});
