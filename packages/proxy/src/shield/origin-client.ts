import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import got, { type Request } from 'got';
import type { InstanceId } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import {
  type AttemptHandlers,
  type AttemptPort,
  type AttemptRequest,
  fieldValue,
} from '@switchwheel/proxy-core';

const connectTimeoutMs = 600;

const toFields = (message: IncomingMessage): HeaderFields => {
  const out: HeaderFields = [];
  for (let at = 0; at + 1 < message.rawHeaders.length; at += 2)
    out.push([(message.rawHeaders[at] ?? '').toLowerCase(), message.rawHeaders[at + 1] ?? '']);
  return out;
};

const toHeaders = (fields: HeaderFields): Record<string, string | string[]> => {
  const out = new Map<string, string[]>();
  for (const [name, value] of fields) out.set(name, [...(out.get(name) ?? []), value]);
  return Object.fromEntries(
    [...out].map(([name, values]) => [name, values.length === 1 ? (values[0] ?? '') : values]),
  );
};

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;
const toMethod = (raw: string): (typeof methods)[number] =>
  methods.find((one) => one === raw) ?? 'GET';

/** Channels to origins: those kept open are closed when the instance is gone. */
export class StreamingOriginClient implements AttemptPort {
  readonly #agents = new Map<InstanceId, Agent>();
  readonly #cancelByName = new Map<string, () => void>();

  #agentOf(instance: InstanceId): Agent {
    const known = this.#agents.get(instance);
    if (known !== undefined) return known;
    const agent = new Agent({
      keepAlive: true,
      maxSockets: 256,
      keepAliveMsecs: 1000,
      timeout: 15_000,
    });
    this.#agents.set(instance, agent);
    return agent;
  }

  /** Closes the channels to all instances but those that stand. */
  retainInstances(standing: ReadonlySet<InstanceId>): void {
    for (const [instance, agent] of this.#agents) {
      if (standing.has(instance)) continue;
      // Legs under way end by themselves; nothing new goes out on these channels.
      for (const list of Object.values(agent.freeSockets))
        for (const socket of list ?? []) socket.destroy();
      this.#agents.delete(instance);
    }
  }

  cancel(name: string): void {
    this.#cancelByName.get(name)?.();
  }

  /** Sends a request to an origin once. */
  send(name: string, one: AttemptRequest, ears: AttemptHandlers): void {
    const seen = { opened: false };
    const plain = one.method === 'GET' || one.method === 'HEAD';
    const abort = new AbortController();
    const stream: Request = got.stream(`http://${one.address}${one.target}`, {
      method: toMethod(one.method),
      retry: { limit: 0 },
      throwHttpErrors: false,
      decompress: false,
      followRedirect: false,
      timeout: { request: one.timeoutMs, connect: Math.min(connectTimeoutMs, one.timeoutMs) },
      signal: abort.signal,
      headers: {
        ...toHeaders(one.fields),
        'switchwheel-instance': one.instance,
        'switchwheel-service': one.service,
        'user-agent': fieldValue(one.fields, 'user-agent') ?? 'switchwheel',
      },
      ...(one.body.length > 0 && !plain ? { body: Buffer.from(one.body) } : {}),
      ...(one.isIdempotent
        ? { agent: { http: this.#agentOf(one.instance) } }
        : { agent: { http: new Agent({ keepAlive: false }) } }),
      cookieJar: undefined,
      http2: false,
      dnsCache: false,
    });
    // A stream for a method with a body waits for its end.
    if (!plain && one.body.length === 0) stream.end();
    this.#cancelByName.set(name, () => {
      this.#cancelByName.delete(name);
      abort.abort();
      stream.destroy();
    });
    stream.on('request', (request: ClientRequest) => {
      request.on('socket', (socket: Socket) => {
        if (!socket.connecting) seen.opened = true;
        else
          socket.once('connect', () => {
            seen.opened = true;
          });
      });
    });
    void this.#readResponse(stream, ears)
      .catch((problem: unknown) => {
        const slow = problem instanceof Error && problem.name === 'TimeoutError';
        ears.failed({
          mayHaveBeenSent: seen.opened,
          isTimeout: slow,
          text: problem instanceof Error ? problem.message : 'broke off',
        });
      })
      .finally(() => this.cancel(name));
  }

  async #readResponse(stream: Request, ears: AttemptHandlers): Promise<void> {
    const message = await new Promise<IncomingMessage>((done, fail) => {
      stream.once('response', done);
      stream.once('error', fail);
    });
    ears.head(message.statusCode ?? 0, toFields(message));
    for await (const part of stream) {
      const bytes: Buffer = Buffer.isBuffer(part) ? part : Buffer.from(String(part));
      await new Promise<void>((more) => {
        ears.chunk(bytes, more);
      });
    }
    ears.ended();
  }
}

/** Asks an origin whether it is well, and whether it is the one meant. */
export const probeOrigin = async (
  url: string,
  service: string,
  instance: string,
): Promise<boolean> => {
  try {
    const result = await got(url, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
      timeout: { request: 1000 },
      headers: { 'switchwheel-instance': instance, 'switchwheel-service': service },
    });
    return result.statusCode === 200 && result.headers['switchwheel-instance'] === instance;
  } catch {
    return false;
  }
};
