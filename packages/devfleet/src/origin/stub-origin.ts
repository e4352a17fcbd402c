import { createHash } from 'node:crypto';
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import got from 'got';
import meow from 'meow';
import { objectBytes } from './content.js';

// A stand-in for an origin: it announces itself, answers its health check, keeps to its slots, works, and writes down what it ran.
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
const { service, instance, slots, least, usual, release } = cli.flags;
const registries = cli.flags.registries.split(',').filter((one) => one !== '');

interface OriginBehaviour {
  slowMs: number;
  badShare: number;
  loseShare: number;
  corruptShare: number;
  cutShare: number;
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

const drawWorkMs = (): number => {
  const chance = Math.random();
  const usualPart = -Math.log(1 - chance) * (usual - least);
  return least + Math.min(usualPart, usual * 8) + behaviour.slowMs;
};

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const parts: Buffer[] = [];
  for await (const part of request) if (Buffer.isBuffer(part)) parts.push(part);
  return Buffer.concat(parts);
};

const sendResult = (request: IncomingMessage, response: ServerResponse, body: Buffer): void => {
  const url = new URL(request.url ?? '/', 'http://origin');
  const unsafe = request.method !== 'GET' && request.method !== 'HEAD';
  const id = request.headers['x-request-id'];
  if (unsafe && typeof id === 'string') runsByRequestId.set(id, (runsByRequestId.get(id) ?? 0) + 1);
  servedCount += 1;
  lastRunAt = Date.now();
  runTimestamps.push(Date.now());
  if (Math.random() < behaviour.loseShare) {
    request.socket.destroy();
    return;
  }
  response.setHeader('switchwheel-instance', behaviour.wrongName ? 'somebody-else' : instance);
  if (Math.random() < behaviour.badShare) {
    response.statusCode = 500;
    response.end('{"fault":"stand-in"}');
    return;
  }
  const size = Number(url.searchParams.get('size') ?? 200);
  const whole = unsafe
    ? Buffer.from(JSON.stringify({ done: id ?? null, bytes: body.length }))
    : objectBytes(url.pathname, revisions.get(url.pathname) ?? revisions.get('*') ?? 0, size);
  response.setHeader('content-type', 'application/octet-stream');
  response.setHeader('content-length', whole.length);
  response.setHeader(
    'content-digest',
    `sha-256=:${createHash('sha256').update(whole).digest('base64')}:`,
  );
  response.setHeader('etag', `"${createHash('sha1').update(whole).digest('hex').slice(0, 16)}"`);
  const tag = url.searchParams.get('tag');
  if (tag !== null) response.setHeader('cache-tag', tag);
  if (Math.random() < behaviour.corruptShare)
    whole[Math.floor(whole.length / 2)] = (whole[Math.floor(whole.length / 2)] ?? 0) ^ 0xff;
  if (Math.random() < behaviour.cutShare) {
    response.write(whole.subarray(0, Math.floor(whole.length / 2)), () => request.socket.destroy());
    return;
  }
  response.end(whole);
};

const server = createServer((request, response) => {
  response.setHeader('switchwheel-instance', behaviour.wrongName ? 'somebody-else' : instance);
  if (request.url === '/health') {
    response.statusCode = behaviour.state === 'up' ? 200 : 503;
    response.end(JSON.stringify({ service, instance, release, state: behaviour.state }));
    return;
  }
  const meant = request.headers['switchwheel-instance'];
  const unrun = (status: number): void => {
    rejectedCount += 1;
    response.statusCode = status;
    response.setHeader('switchwheel-unrun', 'true');
    request.resume();
    response.end('{"unrun":true}');
  };
  if (meant !== undefined && meant !== instance) {
    unrun(421);
    return;
  }
  if (usedSlots >= slots) {
    unrun(503);
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
server.keepAliveTimeout = 20_000;

const sendJson = (response: ServerResponse, value: object): void => {
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(value));
};

const control = createServer((request, response) => {
  void readBody(request).then(async (body) => {
    const raw: unknown = body.length === 0 ? {} : JSON.parse(body.toString());
    const given = new Map<string, unknown>(Object.entries(raw ?? {}));
    switch (request.url) {
      case '/mood':
        for (const [name, value] of given) {
          if (name === 'wrongName') behaviour.wrongName = value === true;
          else if (name === 'state')
            behaviour.state = value === 'leaving' ? 'leaving' : value === 'gone' ? 'gone' : 'up';
          else if (
            name === 'slowMs' ||
            name === 'badShare' ||
            name === 'loseShare' ||
            name === 'corruptShare' ||
            name === 'cutShare'
          )
            behaviour[name] = Number(value);
        }
        if (given.has('state')) await announce();
        sendJson(response, behaviour);
        break;
      case '/revision': {
        const path = given.get('path');
        revisions.set(typeof path === 'string' ? path : '*', Number(given.get('revision') ?? 0));
        sendJson(response, {});
        break;
      }
      case '/ran':
        sendJson(response, {
          ran: [...runsByRequestId],
          served: servedCount,
          rejected: rejectedCount,
          lastRun: lastRunAt,
          stamps: runTimestamps,
        });
        break;
      default:
        sendJson(response, {
          service,
          instance,
          release,
          used: usedSlots,
          served: servedCount,
          rejected: rejectedCount,
        });
    }
  });
});

const announce = async (): Promise<void> => {
  const start = Math.floor(Math.random() * registries.length);
  for (let at = 0; at < registries.length; at += 1) {
    const address = registries[(start + at) % registries.length] ?? '';
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
        timeout: { request: 1000 },
      })
      .catch(() => undefined);
    if (reply?.statusCode === 200 || reply?.statusCode === 409) return;
  }
};

const parseAddress = (address: string): { readonly host: string; readonly port: number } => {
  const cut = address.lastIndexOf(':');
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
};
server.listen({ ...parseAddress(cli.flags.listen), backlog: 512 }, () => {
  control.listen(parseAddress(cli.flags.control), () => {
    process.stderr.write('{"text":"started"}\n');
    void announce();
    setInterval(() => {
      void announce();
    }, 2000);
  });
});
process.on('SIGTERM', () => {
  behaviour.state = 'leaving';
  void announce().then(() => setTimeout(() => process.exit(0), 3000));
});
