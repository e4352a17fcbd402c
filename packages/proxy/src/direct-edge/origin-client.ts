import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';
import type { Socket } from 'node:net';
import type { InstanceId } from '@switchwheel/types';
import { type HeaderFields, splitAddress } from '@switchwheel/transport';
import type {
  AttemptHandlers,
  AttemptRequest,
  OriginClient,
  HeaderNames,
} from '@switchwheel/routing';
import { fieldValue } from '@switchwheel/proxy-core';

/** How long a connection may take to open. */
const connectTimeoutMs = 300;
/** Idle connections to one origin that are kept. */
const maxIdleConnections = 8;
/** How long a connection may be idle here: well before an origin closes it. */
const idleTimeoutMs = 4000;
/** The least status that a final answer may bear; lower ones are interim answers or none at all. */
const minFinalStatus = 200;
const maxBodyBytes = 64 * 1024 * 1024;

const toFields = (message: IncomingMessage): HeaderFields => {
  const out: HeaderFields = [];
  const raw = message.rawHeaders;
  for (let at = 0; at + 1 < raw.length; at += 2) out.push([raw[at] ?? '', raw[at + 1] ?? '']);
  return out;
};

/**
 * Whether a connection whose end was just told was reset. The event loop tells a reset that comes together with the last
 * bytes as an orderly end; the peer's address, asked for now for the first time, is gone only after a reset.
 */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/** Whether only the end of its connection shows where an answer ends. */
const endsWithConnection = ({ headers }: IncomingMessage): boolean =>
  headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;

/** Bytes that come while nothing is asked belong to no request: the connection ends. */
const destroyOnUnexpectedData = function onStray(this: Socket): void {
  this.destroy();
};

/** The agent's own decision, which its types hide: it keeps no connection that its origin will close within a second. */
const baseAgent: { readonly keepSocketAlive: (this: Agent, socket: Socket) => unknown } =
  Agent.prototype;

/** Connections that are kept open; nothing is ever read from an idle one. */
class KeepAliveAgent extends Agent {
  override keepSocketAlive(socket: Socket): boolean {
    if (socket.bytesRead === 0 || socket.readableLength > 0 || socket.destroyed) return false;
    if (baseAgent.keepSocketAlive.call(this, socket) === false) return false;
    socket.on('data', destroyOnUnexpectedData);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Socket, asked: ClientRequest): void {
    socket.off('data', destroyOnUnexpectedData);
    super.reuseSocket(socket, asked);
  }
}

/** Sends requests to origins with the plain HTTP client: no retries, no redirects, each answer whole and of the right request. */
export class HttpOriginClient implements OriginClient {
  readonly #headerNames: HeaderNames;
  readonly #agents = new Map<InstanceId, KeepAliveAgent>();
  /** Connections opened, for the figures. */
  openedConnections = 0;

  constructor(words: HeaderNames) {
    this.#headerNames = words;
  }

  forget(instance: InstanceId): void {
    const agent = this.#agents.get(instance);
    if (agent === undefined) return;
    for (const list of Object.values(agent.freeSockets))
      for (const socket of list ?? []) socket.destroy();
    this.#agents.delete(instance);
  }

  send(order: AttemptRequest, ears: AttemptHandlers): () => void {
    const { host, port } = splitAddress(order.address);
    const headers = order.fields.flat();
    const bare = order.method === 'GET' || order.method === 'HEAD';
    if (!bare || order.body.length > 0) headers.push('Content-Length', String(order.body.length));
    const asked = request({
      host,
      port,
      method: order.method,
      path: order.target,
      headers,
      agent: order.needsNewConnection ? false : this.#agentOf(order.instance),
      setHost: false,
    });
    let over = false;
    const ending = { wasReset: false };
    let stopWatching = (): void => undefined;
    // Whether a whole answer was read: what comes behind it, or happens then, does not spoil it.
    let whole = (): boolean => false;
    // Until the connection is open nothing can have been sent.
    let sent = false;
    const end = (): boolean => {
      if (over) return false;
      over = true;
      clearTimeout(late);
      stopWatching();
      return true;
    };
    const broke = (text: string): void => {
      if (!end()) return;
      asked.destroy();
      ears.onFailure(sent, text);
    };
    const late = setTimeout(() => {
      if (!sent) broke('the connection did not open');
    }, connectTimeoutMs);
    asked.on('socket', (socket: Socket) => {
      const noteEnd = (): void => {
        ending.wasReset = isReset(socket);
      };
      // Before the HTTP client hears of the end, and takes an answer without a length for whole.
      socket.prependListener('end', noteEnd);
      stopWatching = () => socket.off('end', noteEnd);
      if (!socket.connecting) {
        sent = true;
        return;
      }
      socket.setNoDelay(true);
      socket.once('connect', () => {
        sent = true;
        this.openedConnections += 1;
      });
    });
    asked.on('error', (fault) => {
      if (!whole()) broke(fault.message);
    });
    asked.on('close', () => {
      if (!whole()) broke('the connection closed');
    });
    asked.on('response', (message) => {
      whole = () => message.complete;
      this.#readResponse(order, message, broke, (answer) => {
        if (ending.wasReset && endsWithConnection(message)) broke('the connection was reset');
        else if (end()) ears.onResponse(answer);
      });
    });
    asked.end(order.body.length > 0 ? order.body : undefined);
    return () => {
      if (end()) asked.destroy();
    };
  }

  #readResponse(
    order: AttemptRequest,
    message: IncomingMessage,
    broke: (text: string) => void,
    done: (answer: Parameters<AttemptHandlers['onResponse']>[0]) => void,
  ): void {
    const status = message.statusCode ?? 0;
    const fields = toFields(message);
    const lower: HeaderFields = fields.map(([name, value]) => [name.toLowerCase(), value]);
    if (fieldValue(lower, this.#headerNames.requestId) !== order.id) {
      broke('an answer to another request');
      message.socket.destroy();
      return;
    }
    if (status < minFinalStatus) {
      broke('a status that is no answer');
      message.socket.destroy();
      return;
    }
    const unrun = status === 421 || fieldValue(lower, this.#headerNames.unprocessed) !== undefined;
    if (
      status >= 200 &&
      status < 300 &&
      this.#headerNames.originProof !== undefined &&
      fieldValue(lower, this.#headerNames.originProof) === undefined
    ) {
      broke('a success without its proof');
      message.socket.destroy();
      return;
    }
    const told = fieldValue(lower, 'content-length');
    const list: Buffer[] = [];
    let size = 0;
    message.on('data', (part: Buffer) => {
      list.push(part);
      size += part.length;
      if (size > maxBodyBytes) broke('an answer that is too large');
    });
    message.on('error', (fault) => broke(fault.message));
    message.on('aborted', () => broke('the answer broke off'));
    message.on('end', () => {
      const bodiless = order.method === 'HEAD' || status === 204 || status === 304;
      if (!message.complete || (!bodiless && told !== undefined && Number(told) !== size)) {
        broke('the answer is not whole');
        return;
      }
      done({
        status,
        fields: lower,
        body: list.length === 1 ? (list[0] ?? Buffer.alloc(0)) : Buffer.concat(list),
        isUnprocessed: unrun,
      });
    });
  }

  #agentOf(instance: InstanceId): KeepAliveAgent {
    const known = this.#agents.get(instance);
    if (known !== undefined) return known;
    const agent = new KeepAliveAgent({
      keepAlive: true,
      maxFreeSockets: maxIdleConnections,
      scheduling: 'lifo',
      timeout: idleTimeoutMs,
    });
    this.#agents.set(instance, agent);
    return agent;
  }
}
