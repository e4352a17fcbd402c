/** Guards against uploads that take an edge over its memory, which ends the requests of others (LOST). */

import assert from 'node:assert/strict';
import { type ClientRequest, type IncomingMessage, Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { toAddress, toServiceName, toTimestamp, toZoneName } from '@switchwheel/types';
import { Cache } from '@switchwheel/proxy-core';
import {
  type AttemptHandlers,
  type AttemptRequest,
  EdgeRouter,
  defaultEdgeLimits,
  defaultHeaderNames,
} from '@switchwheel/routing';
import { compileDocument, newConfirmedEdgeAgent } from '@switchwheel/routing/testing';
import { ClientListener } from './client-listener.js';

const service = toServiceName('archive');
const now = toTimestamp(50_000);
const mebibyte = 1024 * 1024;
const uploadBytes = 8 * mebibyte;
/** Time within which bodies must begin to wait. */
const waitLimitMs = 5000;
const bodyMemory = { bodyBytes: 20 * mebibyte, smallBodyBytes: mebibyte };
const configuration = compileDocument({
  format: 1,
  classes: [{ name: 'play', share: 1 }],
  services: [{ name: 'archive' }],
  limits: { bodyBytes: 9 * mebibyte },
  routes: [
    { name: 'edit', prefix: '/edit/', methods: ['POST'], service: 'archive', class: 'play' },
  ],
});

interface Answer {
  readonly status: number;
  readonly wasKept: boolean;
  readonly retryAfter: string | undefined;
}

interface SentRequest {
  readonly answer: Promise<Answer>;
  readonly clientRequest: ClientRequest;
  /** Connection that the request is sent on. */
  readonly socket: Promise<Socket>;
}

/** A listener on loopback whose origin answers when told. */
class UploadFixture {
  readonly listener: ClientListener;
  readonly counts: ReadonlyMap<string, number>;
  readonly #attempts: { readonly request: AttemptRequest; readonly handlers: AttemptHandlers }[] =
    [];
  #onAttempt: () => void = () => undefined;
  readonly #agent = new Agent({ keepAlive: true });
  #port = 0;

  constructor() {
    const nodeAgent = newConfirmedEdgeAgent({
      configuration,
      service,
      origins: [{ instance: 'o1', address: '10.0.1.1:80' }],
      slots: 100,
      now,
    });
    const router = new EdgeRouter(
      { now: () => now, nodeAgent: () => nodeAgent },
      new Cache(1_000_000),
      {
        send: (attempt, handlers) => {
          this.#attempts.push({ request: attempt, handlers });
          this.#onAttempt();
          return () => undefined;
        },
        closeIdleConnections: () => undefined,
      },
      {
        zone: toZoneName('a'),
        headerNames: defaultHeaderNames,
        limits: defaultEdgeLimits,
        maxActiveRequests: 100,
      },
      { seed: 7 },
    );
    router.updateFleet(nodeAgent);
    this.counts = router.counts;
    this.listener = new ClientListener(router, defaultHeaderNames, {
      isClosing: () => false,
      bodyMemory,
    });
    this.listener.applyLimits(configuration.header.limits);
  }

  async listen(): Promise<void> {
    this.#port = 20_000 + (process.pid % 10_000);
    for (;;) {
      try {
        await this.listener.listen(toAddress(`127.0.0.1:${this.#port}`));
        return;
      } catch {
        this.#port += 1;
      }
    }
  }

  close(): void {
    this.#agent.destroy();
    this.listener.stopAccepting();
    this.listener.closeAllConnections();
  }

  /** Sends a request; the body is sent with its length or in chunks. */
  post(
    id: string,
    body: Buffer,
    { isChunked = false, timeLeftMs = 20_000, agent = this.#agent } = {},
  ): SentRequest {
    const clientRequest = request({
      host: '127.0.0.1',
      port: this.#port,
      method: 'POST',
      path: `/edit/${id}`,
      agent,
      headers: {
        'switchwheel-id': id,
        'switchwheel-deadline-ms': String(timeLeftMs),
        ...(isChunked ? {} : { 'content-length': String(body.length) }),
      },
    });
    const answer = new Promise<Answer>((resolve, reject) => {
      clientRequest.on('error', reject);
      clientRequest.on('response', (response: IncomingMessage) => {
        response.resume();
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            wasKept: response.headers.connection !== 'close',
            retryAfter: response.headers['retry-after'],
          }),
        );
      });
    });
    const socket = new Promise<Socket>((resolve) => {
      clientRequest.once('socket', resolve);
    });
    clientRequest.write(body.subarray(0, body.length / 2));
    clientRequest.end(body.subarray(body.length / 2));
    return { answer, clientRequest, socket };
  }

  get attemptCount(): number {
    return this.#attempts.length;
  }

  /** Waits until the origin has got a number of requests in all. */
  async untilAttempts(count: number): Promise<void> {
    while (this.#attempts.length < count)
      await new Promise<void>((resolve) => {
        this.#onAttempt = resolve;
      });
  }

  /** Waits until the origin has got a request; returns its index. */
  async untilAttemptOf(id: string): Promise<number> {
    for (let count = 1; ; count += 1) {
      await this.untilAttempts(count);
      if (this.#attempts[count - 1]?.request.id === id) return count - 1;
    }
  }

  /** Waits until a number of bodies wait for memory. */
  async untilWaiting(count: number): Promise<void> {
    const startedAt = performance.now();
    while (this.listener.bodyBudget.waitingBodies < count) {
      assert.ok(performance.now() - startedAt < waitLimitMs, 'too few bodies wait for memory');
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  answerAttempt(index: number, expectedBody: Buffer): void {
    const attempt = this.#attempts[index];
    assert.ok(attempt !== undefined);
    assert.ok(attempt.request.body.equals(expectedBody), 'the body is unchanged');
    attempt.handlers.onResponse({
      status: 200,
      fields: [],
      body: Buffer.from('stored'),
      isUnprocessed: false,
    });
  }
}

const withFixture = async (play: (fixture: UploadFixture) => Promise<void>): Promise<void> => {
  const fixture = new UploadFixture();
  await fixture.listen();
  try {
    await play(fixture);
  } finally {
    fixture.close();
  }
};

const upload = Buffer.alloc(uploadBytes, 'a recording ');
const correction = Buffer.from('a correction');

// Guards against review/5: four uploads within the limit of a body, held at once, took an edge over its memory.
for (const isChunked of [false, true]) {
  void test(`uploads ${isChunked ? 'in chunks' : 'with a length'} wait for memory, are served, and small requests go on beside them`, async () => {
    await withFixture(async (fixture) => {
      const uploads = ['u1', 'u2', 'u3', 'u4'].map((id) => fixture.post(id, upload, { isChunked }));
      await fixture.untilAttempts(1);
      await fixture.untilWaiting(2);
      assert.ok(fixture.attemptCount <= 2);
      assert.ok(
        fixture.listener.bodyBudget.heldBytes <= bodyMemory.bodyBytes + bodyMemory.smallBodyBytes,
      );
      const small = fixture.post('small', correction);
      const smallIndex = await fixture.untilAttemptOf('small');
      fixture.answerAttempt(smallIndex, correction);
      assert.equal((await small.answer).status, 200);
      for (let index = 0; index <= uploads.length; index += 1) {
        await fixture.untilAttempts(index + 1);
        if (index !== smallIndex) fixture.answerAttempt(index, upload);
      }
      const answers = await Promise.all(uploads.map(({ answer }) => answer));
      assert.deepEqual(
        answers.map(({ status }) => status),
        [200, 200, 200, 200],
      );
      assert.equal(fixture.listener.bodyBudget.heldBytes, 0);
    });
  });
}

for (const isChunked of [false, true]) {
  void test(`an upload ${isChunked ? 'in chunks' : 'with a length'} that gets no memory in its time is refused, on a connection that stays usable`, async () => {
    await withFixture(async (fixture) => {
      const [first, second] = [fixture.post('u1', upload), fixture.post('u2', upload)];
      await fixture.untilAttempts(2);
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      const refused = fixture.post('u3', upload, { isChunked, timeLeftMs: 300, agent });
      assert.deepEqual(await refused.answer, { status: 503, wasKept: true, retryAfter: '0.3' });
      assert.equal(fixture.counts.get('bodies_rejected'), 1);
      const next = fixture.post('next', correction, { agent });
      await fixture.untilAttempts(3);
      assert.equal(await next.socket, await refused.socket, 'the connection is used again');
      fixture.answerAttempt(2, correction);
      assert.equal((await next.answer).status, 200);
      agent.destroy();
      fixture.answerAttempt(0, upload);
      fixture.answerAttempt(1, upload);
      assert.equal((await first.answer).status, 200);
      assert.equal((await second.answer).status, 200);
      assert.equal(fixture.listener.bodyBudget.heldBytes, 0);
    });
  });
}

void test('the memory of an upload is returned when its client goes away', async () => {
  await withFixture(async (fixture) => {
    const [first, second] = [fixture.post('u1', upload), fixture.post('u2', upload)];
    await fixture.untilAttempts(2);
    const third = fixture.post('u3', upload);
    await fixture.untilWaiting(1);
    const hasFailed = assert.rejects(first.answer);
    first.clientRequest.destroy();
    await hasFailed;
    await fixture.untilAttempts(3);
    fixture.answerAttempt(await fixture.untilAttemptOf('u2'), upload);
    fixture.answerAttempt(await fixture.untilAttemptOf('u3'), upload);
    assert.equal((await second.answer).status, 200);
    assert.equal((await third.answer).status, 200);
  });
});
