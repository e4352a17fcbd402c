/**
 * Stub origin: announces itself to the registries, answers health checks, limits concurrent requests to its slots, delays
 * each response by a random processing time and records the requests it ran. Faults are set and records read at its control
 * address.
 */

import { createHash } from 'node:crypto';
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import got from 'got';
import meow from 'meow';
import { increment } from '@switchwheel/types';
import { objectBytes } from './content.js';

const defaultObjectBytes = 200;
const etagLength = 16;
const keepAliveTimeoutMs = 20_000;
const announceIntervalMs = 2000;
const announceTimeoutMs = 1000;
/** Time for which the origin keeps serving after SIGTERM. */
const shutdownDelayMs = 3000;
/** Cap of the random part of the processing time, as a multiple of the mean. */
const maxWorkFactor = 8;

const cli = meow('', {
  importMeta: import.meta,
  flags: {
    service: { type: 'string', isRequired: true },
    instance: { type: 'string', isRequired: true },
    listen: { type: 'string', isRequired: true },
    control: { type: 'string', isRequired: true },
    slots: { type: 'number', default: 6 },
    least: { type: 'number', default: 5 },
    usual: { type: 'number', default: 15 },
    release: { type: 'string', default: 'r1' },
    registries: { type: 'string', default: '' },
  },
});
const { service, instance, slots, least: minWorkMs, usual: meanWorkMs, release } = cli.flags;
const registries = cli.flags.registries.split(',').filter((address) => address !== '');

/** Injected misbehaviour; its members are the JSON of `POST /mood`. */
interface OriginBehaviour {
  /** Milliseconds added to the processing time of each request. */
  slowMs: number;
  /**
   * Fractions of requests, from 0 to 1: answered with 500, closed without a response, answered with a corrupted or a
   * truncated body.
   */
  badShare: number;
  loseShare: number;
  corruptShare: number;
  cutShare: number;
  /** Whether responses carry the name of another instance. */
  wrongName: boolean;
  state: 'up' | 'leaving' | 'gone';
}
const behaviour: OriginBehaviour = {
  slowMs: 0,
  badShare: 0,
  loseShare: 0,
  corruptShare: 0,
  cutShare: 0,
  wrongName: false,
  state: 'up',
};
const revisions = new Map<string, number>();
const runsByRequestId = new Map<string, number>();
const runTimestamps: number[] = [];
let usedSlots = 0;
let servedCount = 0;
let rejectedCount = 0;
let lastRunAt = 0;

/** Draws a processing time: the minimum plus an exponentially distributed, capped part. */
const drawWorkMs = (): number => {
  const uniform = Math.random();
  const excessMs = -Math.log(1 - uniform) * (meanWorkMs - minWorkMs);
  return minWorkMs + Math.min(excessMs, meanWorkMs * maxWorkFactor) + behaviour.slowMs;
};

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const parts: Buffer[] = [];
  for await (const part of request) if (Buffer.isBuffer(part)) parts.push(part);
  return Buffer.concat(parts);
};

const recordRun = (request: IncomingMessage, isUnsafe: boolean): void => {
  const id = request.headers['x-request-id'];
  if (isUnsafe && typeof id === 'string') increment(runsByRequestId, id);
  servedCount += 1;
  lastRunAt = Date.now();
  runTimestamps.push(Date.now());
};

const setInstanceHeader = (response: ServerResponse): void => {
  response.setHeader('switchwheel-instance', behaviour.wrongName ? 'somebody-else' : instance);
};

const setContentHeaders = (response: ServerResponse, content: Buffer, tag: string | null): void => {
  const digest = createHash('sha256').update(content).digest('base64');
  const etag = createHash('sha1').update(content).digest('hex').slice(0, etagLength);
  response.setHeader('content-type', 'application/octet-stream');
  response.setHeader('content-length', content.length);
  response.setHeader('content-digest', `sha-256=:${digest}:`);
  response.setHeader('etag', `"${etag}"`);
  if (tag !== null) response.setHeader('cache-tag', tag);
};

const sendResult = (request: IncomingMessage, response: ServerResponse, body: Buffer): void => {
  const url = new URL(request.url ?? '/', 'http://origin');
  const isUnsafe = request.method !== 'GET' && request.method !== 'HEAD';
  recordRun(request, isUnsafe);
  if (Math.random() < behaviour.loseShare) {
    request.socket.destroy();
    return;
  }
  setInstanceHeader(response);
  if (Math.random() < behaviour.badShare) {
    response.statusCode = 500;
    response.end('{"fault":"stand-in"}');
    return;
  }
  const { pathname, searchParams } = url;
  const revision = revisions.get(pathname) ?? revisions.get('*') ?? 0;
  const content = isUnsafe
    ? Buffer.from(
        JSON.stringify({ done: request.headers['x-request-id'] ?? null, bytes: body.length }),
      )
    : objectBytes(pathname, revision, Number(searchParams.get('size') ?? defaultObjectBytes));
  setContentHeaders(response, content, searchParams.get('tag'));
  const middle = Math.floor(content.length / 2);
  // The digest header covers the original content, so that the receiver can detect the corruption.
  if (Math.random() < behaviour.corruptShare) content[middle] = (content[middle] ?? 0) ^ 0xff;
  if (Math.random() < behaviour.cutShare) {
    response.write(content.subarray(0, middle), () => request.socket.destroy());
    return;
  }
  response.end(content);
};

/** Rejects a request without running it, and declares so in a header. */
const rejectWithoutRunning = (
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
): void => {
  rejectedCount += 1;
  response.statusCode = status;
  response.setHeader('switchwheel-unrun', 'true');
  request.resume();
  response.end('{"unrun":true}');
};

const server = createServer((request, response) => {
  setInstanceHeader(response);
  if (request.url === '/health') {
    response.statusCode = behaviour.state === 'up' ? 200 : 503;
    response.end(JSON.stringify({ service, instance, release, state: behaviour.state }));
    return;
  }
  const intendedInstance = request.headers['switchwheel-instance'];
  if (intendedInstance !== undefined && intendedInstance !== instance) {
    rejectWithoutRunning(request, response, 421);
    return;
  }
  if (usedSlots >= slots) {
    rejectWithoutRunning(request, response, 503);
    return;
  }
  usedSlots += 1;
  void readBody(request)
    .then((body) => {
      setTimeout(() => {
        usedSlots -= 1;
        sendResult(request, response, body);
      }, drawWorkMs());
    })
    .catch(() => {
      usedSlots -= 1;
    });
});
server.keepAliveTimeout = keepAliveTimeoutMs;

const sendJson = (response: ServerResponse, value: object): void => {
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(value));
};

/** Sets the given members of the behaviour; ignores unknown names. */
const changeBehaviour = (changes: ReadonlyMap<string, unknown>): void => {
  for (const [name, value] of changes) {
    switch (name) {
      case 'wrongName':
        behaviour.wrongName = value === true;
        break;
      case 'state':
        behaviour.state = value === 'leaving' ? 'leaving' : value === 'gone' ? 'gone' : 'up';
        break;
      case 'slowMs':
      case 'badShare':
      case 'loseShare':
      case 'corruptShare':
      case 'cutShare':
        behaviour[name] = Number(value);
        break;
    }
  }
};

const handleControl = async (
  path: string | undefined,
  body: ReadonlyMap<string, unknown>,
): Promise<object> => {
  switch (path) {
    case '/mood':
      changeBehaviour(body);
      if (body.has('state')) await announce();
      return behaviour;
    case '/revision': {
      const object = body.get('path');
      revisions.set(typeof object === 'string' ? object : '*', Number(body.get('revision') ?? 0));
      return {};
    }
    case '/ran':
      return {
        ran: [...runsByRequestId],
        served: servedCount,
        rejected: rejectedCount,
        lastRun: lastRunAt,
        stamps: runTimestamps,
      };
    default:
      return {
        service,
        instance,
        release,
        used: usedSlots,
        served: servedCount,
        rejected: rejectedCount,
      };
  }
};

const control = createServer((request, response) => {
  void readBody(request).then(async (body) => {
    const raw: unknown = body.length === 0 ? {} : JSON.parse(body.toString());
    const members = new Map<string, unknown>(Object.entries(raw ?? {}));
    sendJson(response, await handleControl(request.url, members));
  });
});

/** Announces the origin to the first registry that accepts or refuses it, starting with a random one. */
const announce = async (): Promise<void> => {
  const startIndex = Math.floor(Math.random() * registries.length);
  for (let offset = 0; offset < registries.length; offset += 1) {
    const address = registries[(startIndex + offset) % registries.length] ?? '';
    const reply = await got
      .post(`http://${address}/v1/origins`, {
        json: {
          service,
          instance,
          address: cli.flags.listen,
          release,
          slots,
          state: behaviour.state,
        },
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: announceTimeoutMs },
      })
      .catch(() => undefined);
    if (reply?.statusCode === 200 || reply?.statusCode === 409) return;
  }
};

const parseAddress = (address: string): { readonly host: string; readonly port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
server.listen({ ...parseAddress(cli.flags.listen), backlog: 512 }, () => {
  control.listen(parseAddress(cli.flags.control), () => {
    process.stderr.write('{"text":"started"}\n');
    void announce();
    setInterval(() => {
      void announce();
    }, announceIntervalMs);
  });
});
process.on('SIGTERM', () => {
  behaviour.state = 'leaving';
  void announce().then(() => setTimeout(() => process.exit(0), shutdownDelayMs));
});
