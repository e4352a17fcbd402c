/**
 * Sends a shield's requests to origins and streams the responses. Responses are verified by the response verifier of
 * proxy-core; the service leader decides on retries.
 */

import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import got, { type Request } from 'got';
import type { InstanceId } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import {
  type OriginAttemptHandlers,
  type AttemptPort,
  type OriginAttemptRequest,
  fieldValue,
} from '@switchwheel/proxy-core';
import { headerFieldsOf } from '../http/header-fields.js';

const connectTimeoutMs = 600;
const healthCheckTimeoutMs = 1000;
const keepAliveAgentOptions = {
  keepAlive: true,
  maxSockets: 256,
  keepAliveMsecs: 1000,
  timeout: 15_000,
};
const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

/** Streaming origin client with keep-alive connections per instance. */
export class StreamingOriginClient implements AttemptPort {
  readonly #agents = new Map<InstanceId, Agent>();
  readonly #cancelByName = new Map<string, () => void>();

  /** Closes the idle connections to instances that are not live; attempts in flight continue. */
  retainInstances(liveInstances: ReadonlySet<InstanceId>): void {
    for (const [instance, agent] of this.#agents) {
      if (liveInstances.has(instance)) continue;
      for (const sockets of Object.values(agent.freeSockets))
        for (const socket of sockets ?? []) socket.destroy();
      this.#agents.delete(instance);
    }
  }

  /** Cancels the named attempt, if it is in flight. */
  cancel(name: string): void {
    this.#cancelByName.get(name)?.();
  }

  /** Sends a request to an origin once; `cancel` with the same name cancels it. */
  send(name: string, attempt: OriginAttemptRequest, handlers: OriginAttemptHandlers): void {
    const connection = { isOpen: false };
    const abort = new AbortController();
    const stream = this.#openStream(attempt, abort.signal);
    this.#cancelByName.set(name, () => {
      this.#cancelByName.delete(name);
      abort.abort();
      stream.destroy();
    });
    stream.on('request', (request: ClientRequest) => {
      request.on('socket', (socket: Socket) => {
        if (!socket.connecting) connection.isOpen = true;
        else
          socket.once('connect', () => {
            connection.isOpen = true;
          });
      });
    });
    void readResponse(stream, handlers)
      .catch((error: unknown) => {
        handlers.onFailed({
          mayHaveBeenSent: connection.isOpen,
          isTimeout: error instanceof Error && error.name === 'TimeoutError',
          text: error instanceof Error ? error.message : 'broke off',
        });
      })
      .finally(() => this.cancel(name));
  }

  #openStream(attempt: OriginAttemptRequest, signal: AbortSignal): Request {
    const { address, target, timeoutMs, body } = attempt;
    const usuallyHasNoBody = attempt.method === 'GET' || attempt.method === 'HEAD';
    const stream = got.stream(`http://${address}${target}`, {
      method: methodOf(attempt.method),
      retry: { limit: 0 },
      throwHttpErrors: false,
      decompress: false,
      followRedirect: false,
      timeout: { request: timeoutMs, connect: Math.min(connectTimeoutMs, timeoutMs) },
      signal,
      headers: headersOf(attempt),
      ...(body.length > 0 && !usuallyHasNoBody ? { body: Buffer.from(body) } : {}),
      agent: { http: this.#agentFor(attempt) },
      cookieJar: undefined,
      http2: false,
      dnsCache: false,
    });
    // For a method that allows a body, got sends the request only once the stream has ended.
    if (!usuallyHasNoBody && body.length === 0) stream.end();
    return stream;
  }

  /** A non-idempotent request uses a new connection, so that a refused connection proves that it was not sent. */
  #agentFor({ instance, isIdempotent }: OriginAttemptRequest): Agent {
    if (!isIdempotent) return new Agent({ keepAlive: false });
    const existing = this.#agents.get(instance);
    if (existing !== undefined) return existing;
    const agent = new Agent(keepAliveAgentOptions);
    this.#agents.set(instance, agent);
    return agent;
  }
}

const methodOf = (name: string): (typeof methods)[number] =>
  methods.find((method) => method === name) ?? 'GET';

const headersOf = ({
  fields,
  instance,
  service,
}: OriginAttemptRequest): Record<string, string | string[]> => ({
  ...groupByName(fields),
  'switchwheel-instance': instance,
  'switchwheel-service': service,
  'user-agent': fieldValue(fields, 'user-agent') ?? 'switchwheel',
});

const groupByName = (fields: HeaderFields): Record<string, string | string[]> => {
  const valuesByName = new Map<string, string[]>();
  for (const [name, value] of fields)
    valuesByName.set(name, [...(valuesByName.get(name) ?? []), value]);
  return Object.fromEntries(
    [...valuesByName].map(([name, values]) => [
      name,
      values.length === 1 ? (values[0] ?? '') : values,
    ]),
  );
};

const readResponse = async (stream: Request, handlers: OriginAttemptHandlers): Promise<void> => {
  const message = await new Promise<IncomingMessage>((resolve, reject) => {
    stream.once('response', resolve);
    stream.once('error', reject);
  });
  handlers.onHead(message.statusCode ?? 0, headerFieldsOf(message));
  for await (const part of stream) {
    const chunk: Buffer = Buffer.isBuffer(part) ? part : Buffer.from(String(part));
    await new Promise<void>((resume) => {
      handlers.onChunk(chunk, resume);
    });
  }
  handlers.onEnd();
};

/** Health check: whether the origin responds with status 200 and identifies itself as the given instance. */
export const checkOriginHealth = async (
  url: string,
  service: string,
  instance: string,
): Promise<boolean> => {
  try {
    const response = await got(url, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
      timeout: { request: healthCheckTimeoutMs },
      headers: { 'switchwheel-instance': instance, 'switchwheel-service': service },
    });
    return response.statusCode === 200 && response.headers['switchwheel-instance'] === instance;
  } catch {
    return false;
  }
};
