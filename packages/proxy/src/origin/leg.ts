import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import got, { type Request } from 'got';
import type { InstanceId } from '@switchwheel/types';
import type { Fields } from '@switchwheel/transport';
import { type LegEars, type LegPort, type LegRequest, fieldOf } from '@switchwheel/proxy-core';

const openSpan = 600;

const toFields = (message: IncomingMessage): Fields => {
  const out: Fields = [];
  for (let at = 0; at + 1 < message.rawHeaders.length; at += 2)
    out.push([(message.rawHeaders[at] ?? '').toLowerCase(), message.rawHeaders[at + 1] ?? '']);
  return out;
};

const toHeaders = (fields: Fields): Record<string, string | string[]> => {
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
export class Origins implements LegPort {
  readonly #agents = new Map<InstanceId, Agent>();
  readonly #under = new Map<string, () => void>();

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
  only(standing: ReadonlySet<InstanceId>): void {
    for (const [instance, agent] of this.#agents) {
      if (standing.has(instance)) continue;
      // Legs under way end by themselves; nothing new goes out on these channels.
      for (const list of Object.values(agent.freeSockets))
        for (const socket of list ?? []) socket.destroy();
      this.#agents.delete(instance);
    }
  }

  drop(name: string): void {
    this.#under.get(name)?.();
  }

  /** Sends a request to an origin once. */
  send(name: string, one: LegRequest, ears: LegEars): void {
    const seen = { opened: false };
    const plain = one.method === 'GET' || one.method === 'HEAD';
    const abort = new AbortController();
    const stream: Request = got.stream(`http://${one.address}${one.target}`, {
      method: toMethod(one.method),
      retry: { limit: 0 },
      throwHttpErrors: false,
      decompress: false,
      followRedirect: false,
      timeout: { request: one.spanMs, connect: Math.min(openSpan, one.spanMs) },
      signal: abort.signal,
      headers: {
        ...toHeaders(one.fields),
        'switchwheel-instance': one.instance,
        'switchwheel-service': one.service,
        'user-agent': fieldOf(one.fields, 'user-agent') ?? 'switchwheel',
      },
      ...(one.body.length > 0 && !plain ? { body: Buffer.from(one.body) } : {}),
      ...(one.repeatable
        ? { agent: { http: this.#agentOf(one.instance) } }
        : { agent: { http: new Agent({ keepAlive: false }) } }),
      cookieJar: undefined,
      http2: false,
      dnsCache: false,
    });
    // A stream for a method with a body waits for its end.
    if (!plain && one.body.length === 0) stream.end();
    this.#under.set(name, () => {
      this.#under.delete(name);
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
    void this.#take(stream, ears)
      .catch((problem: unknown) => {
        const slow = problem instanceof Error && problem.name === 'TimeoutError';
        ears.broke({
          opened: seen.opened,
          slow,
          text: problem instanceof Error ? problem.message : 'broke off',
        });
      })
      .finally(() => this.drop(name));
  }

  async #take(stream: Request, ears: LegEars): Promise<void> {
    const message = await new Promise<IncomingMessage>((done, fail) => {
      stream.once('response', done);
      stream.once('error', fail);
    });
    ears.head(message.statusCode ?? 0, toFields(message));
    for await (const part of stream) {
      const bytes: Buffer = Buffer.isBuffer(part) ? part : Buffer.from(String(part));
      await new Promise<void>((more) => {
        ears.part(bytes, more);
      });
    }
    ears.ended();
  }
}

/** Asks an origin whether it is well, and whether it is the one meant. */
export const probe = async (url: string, service: string, instance: string): Promise<boolean> => {
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
