/** Guards against lost, mixed-up, duplicated and falsely rejected requests, over real sockets at both ends. */

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
import { bodyMemory } from './testing/body-memory.js';
import { MisbehavingOrigin, originBehaviors } from './testing/misbehaving-origin.js';

const service = toServiceName('clips');
const unprocessedStatuses = new Set(['408', '421', '429', '503']);
const now = (): ReturnType<typeof toTimestamp> => toTimestamp(50_000 + performance.now());
const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
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

/** Pipelines requests on one connection, and disconnects after `disconnectAfterMs` if that is given. */
const pipeline = (
  port: number,
  requests: readonly { readonly id: string; readonly method: string }[],
  disconnectAfterMs: number | undefined,
): Promise<string> =>
  new Promise((resolve) => {
    const parts: Buffer[] = [];
    const socket = connect(port, '127.0.0.1', () => {
      for (const [index, { id, method }] of requests.entries()) {
        const last = index === requests.length - 1 ? 'connection: close\r\n' : '';
        const path = method === 'GET' ? '/read/x' : '/edit/x';
        const body = method === 'GET' ? '' : `sent by ${id}`;
        const length = body === '' ? '' : `content-length: ${body.length}\r\n`;
        socket.write(
          `${method} ${path} HTTP/1.1\r\nhost: x\r\nswitchwheel-id: ${id}\r\nswitchwheel-deadline-ms: 1500\r\n${last}${length}\r\n${body}`,
        );
      }
      if (disconnectAfterMs !== undefined) setTimeout(() => socket.destroy(), disconnectAfterMs);
    });
    socket.on('data', (part: Buffer) => parts.push(part));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(parts).toString('latin1')));
  });

/** Returns the status, id and body of each response of a connection. */
const responsesIn = (text: string): readonly (readonly string[])[] =>
  [
    ...text.matchAll(
      /HTTP\/1\.1 (\d{3}) [^]*?switchwheel-id: (\S+)[^]*?\r\n\r\n([^]*?)(?=HTTP\/1\.1 |$)/g,
    ),
  ].map((match) => match.slice(1));

void test('with misbehaving origins and pipelining clients each response belongs to its request, no POST request runs twice, and a shutdown loses no response', async () => {
  let randomState: RandomState = { seed: 11 };
  const random = (): number => {
    const [value, next] = nextRandom(randomState);
    randomState = next;
    return value;
  };
  const origins = [1, 2, 3, 4].map(
    () =>
      new MisbehavingOrigin(
        () => originBehaviors[Math.floor(random() * originBehaviors.length)] ?? 'complete',
      ),
  );
  const nodeAgent = nodeAgentWith(await Promise.all(origins.map((origin) => origin.listen())));
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
  const ticker = setInterval(() => router.tick(now()), 30);
  let isClosing = false;
  const listener = new ClientListener(router, defaultHeaderNames, {
    isClosing: () => isClosing,
    bodyMemory,
  });
  // Finds a free address.
  const portFinder = new MisbehavingOrigin(() => 'complete');
  const address = toAddress(await portFinder.listen());
  portFinder.close();
  const port = Number(address.split(':')[1]);
  await listener.listen(address);

  const statuses = new Map<string, string>();
  let completeCount = 0;
  const exchange = async (number: number): Promise<void> => {
    const requests = ['a', 'b'].map((part) => ({
      id: `t${number}${part}`,
      method: random() < 0.5 ? 'POST' : 'GET',
    }));
    const disconnectAfterMs = random() < 0.15 ? 1 + random() * 30 : undefined;
    const responses = responsesIn(await pipeline(port, requests, disconnectAfterMs));
    if (disconnectAfterMs === undefined)
      assert.equal(responses.length, requests.length, `responses of t${number} are lost`);
    for (const [index, [status = '', id = '', body = '']] of responses.entries()) {
      assert.equal(id, requests[index]?.id, 'the response has the id of another request');
      if (status === '200')
        assert.ok(
          `body of ${id}`.startsWith(body),
          `the response has the body of another request: ${body}`,
        );
      if (status === '200' && body === `body of ${id}`) completeCount += 1;
      statuses.set(id, status);
    }
  };
  const exchanges: Promise<void>[] = [];
  for (let number = 0; number < 300; number += 1) {
    exchanges.push(exchange(number));
    await pause(2);
  }
  // Shutdown: all requests that were read get a response, and no connection stays open.
  isClosing = true;
  await pause(50);
  listener.stopAccepting();
  await Promise.all(exchanges);
  assert.equal(listener.openRequests, 0);

  const counts = new Map<string, number>();
  for (const run of origins.flatMap((origin) => origin.handledRequests)) {
    counts.set(run.id, (counts.get(run.id) ?? 0) + 1);
    if (run.method === 'GET') continue;
    assert.equal(
      run.body,
      `sent by ${run.id}`,
      'an origin ran a request with a body that was not sent',
    );
    assert.equal(counts.get(run.id), 1, `${run.id} ran twice`);
    assert.ok(
      !unprocessedStatuses.has(statuses.get(run.id) ?? ''),
      `${run.id} ran and was rejected with ${statuses.get(run.id) ?? ''}`,
    );
  }
  assert.ok(completeCount > 200, `${completeCount} complete responses`);
  clearInterval(ticker);
  listener.closeAllConnections();
  for (const origin of origins) origin.close();
});
