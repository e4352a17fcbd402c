import { Agent, type IncomingMessage, request } from 'node:http';
import type { Deployment, Traffic } from '../deployment/schema.js';
import { objectBytes, objectSize } from '../origin/content.js';
import type { Machine } from '../fleet/fleet.js';

/** What one request came to, as its caller saw it. */
export interface RequestRecord {
  readonly traffic: Traffic;
  readonly id: string;
  readonly path: string;
  readonly sentAt: number;
  readonly elapsedMs: number;
  readonly status: number;
  /** `result`, `rejected`, `unknown`, or what else the answer called itself; `broken` where the channel broke. */
  readonly outcome: string;
  readonly answeredBy: string;
  readonly bodyMatches: 'yes' | 'no' | 'unread';
  readonly revision: number | undefined;
  readonly edge: string;
  /** What a refusal or a fault gave as its reason. */
  readonly reason: string;
}

/** Callers: open loop, each request at its own time whether or not others are answered. */
export class LoadGenerator {
  readonly records: RequestRecord[] = [];
  readonly #deployment: Deployment;
  readonly #agents = new Map<string, Agent>();
  readonly #edges: () => readonly Machine[];
  readonly #requestsPerSecond: number;
  #sentCount = 0;
  #pendingCount = 0;
  #timer: NodeJS.Timeout | undefined;
  #dueCount = 0;
  /** How often a caller that got no result asks again at once. */
  maxImmediateRetries = 0;

  constructor(deployment: Deployment, rate: number, edges: () => readonly Machine[]) {
    this.#deployment = deployment;
    this.#requestsPerSecond = rate;
    this.#edges = edges;
  }

  start(): void {
    const since = performance.now();
    let sent = 0;
    this.#timer = setInterval(() => {
      this.#dueCount = ((performance.now() - since) / 1000) * this.#requestsPerSecond;
      while (sent < this.#dueCount) {
        sent += 1;
        this.#send();
      }
    }, 5);
  }

  /** Sends no more, and waits for what is under way. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    const end = performance.now() + 20_000;
    while (this.#pendingCount > 0 && performance.now() < end)
      await new Promise<void>((done) => {
        setTimeout(done, 20);
      });
    for (const agent of this.#agents.values()) agent.destroy();
  }

  #pickTraffic(): Traffic {
    const list = this.#deployment.traffic;
    let left = Math.random() * list.reduce((sum, one) => sum + one.weight, 0);
    for (const one of list) {
      left -= one.weight;
      if (left <= 0) return one;
    }
    const [first] = list;
    if (first === undefined) throw new Error('no traffic');
    return first;
  }

  /** Sends one kind of request far too often for a while. */
  async flood(trafficName: string, requestsPerSecond: number, durationMs: number): Promise<void> {
    const traffic = this.#deployment.traffic.find((one) => one.name === trafficName);
    const since = performance.now();
    let sent = 0;
    while (performance.now() - since < durationMs) {
      for (
        const due = ((performance.now() - since) / 1000) * requestsPerSecond;
        sent < due;
        sent += 1
      )
        this.#send(traffic);
      await new Promise<void>((done) => {
        setTimeout(done, 5);
      });
    }
  }

  #send(chosen?: Traffic, retryCount = 0): void {
    const edges = this.#edges();
    const edge = edges[Math.floor(Math.random() * edges.length)];
    if (edge === undefined) return;
    const traffic = chosen ?? this.#pickTraffic();
    this.#sentCount += 1;
    const id = `q${process.pid}-${this.#sentCount}`;
    const object = Math.floor(traffic.objects * Math.random() ** 3);
    const path = `${traffic.prefix}${object}`;
    const size = objectSize(path, traffic.bytes);
    const query = traffic.unsafe
      ? ''
      : `?size=${size}${traffic.tagged ? `&tag=t${object % 20}` : ''}`;
    const agent =
      this.#agents.get(edge.httpAddress) ?? new Agent({ keepAlive: true, maxSockets: 512 });
    this.#agents.set(edge.httpAddress, agent);
    const body = traffic.unsafe
      ? Buffer.from(JSON.stringify({ id, text: 'x'.repeat(size) }))
      : undefined;
    const at = performance.now();
    this.#pendingCount += 1;
    let over = false;
    const end = (
      status: number,
      kind: string,
      from: string,
      whole: RequestRecord['bodyMatches'],
      revision: number | undefined,
      why = '',
    ): void => {
      if (over) return;
      over = true;
      this.#pendingCount -= 1;
      this.records.push({
        traffic,
        id,
        path,
        sentAt: at,
        elapsedMs: performance.now() - at,
        status,
        outcome: kind,
        answeredBy: from,
        bodyMatches: whole,
        revision,
        edge: edge.name,
        reason: why,
      });
      if (kind !== 'result' && retryCount < this.maxImmediateRetries)
        this.#send(traffic, retryCount + 1);
    };
    const [host, port] = edge.httpAddress.split(':');
    const out = request(
      {
        host,
        port: Number(port),
        path: `${path}${query}`,
        method: traffic.method,
        agent,
        headers: {
          host: 'callers.test',
          'x-request-id': id,
          ...(body === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': body.length }),
        },
      },
      (answer: IncomingMessage) => {
        const parts: Buffer[] = [];
        answer.on('data', (part: Buffer) => parts.push(part));
        answer.on('aborted', () => end(answer.statusCode ?? 0, 'broken', '', 'no', undefined));
        answer.on('error', () => end(answer.statusCode ?? 0, 'broken', '', 'no', undefined));
        answer.on('end', () => {
          const status = answer.statusCode ?? 0;
          const told = answer.headers['switchwheel-kind'];
          const from = String(answer.headers['switchwheel-from'] ?? '');
          if (typeof told === 'string')
            end(
              status,
              told,
              from,
              'unread',
              undefined,
              /"text":"([^"]*)"/.exec(Buffer.concat(parts).toString())?.[1] ?? '',
            );
          else if (traffic.unsafe)
            end(
              status,
              status < 400 ? 'result' : `status${status}`,
              from,
              Buffer.concat(parts).toString().includes(id) || status >= 400 ? 'yes' : 'no',
              undefined,
            );
          else {
            const got = Buffer.concat(parts);
            const revision = Number(/ r(\d+)\n/.exec(got.subarray(0, 200).toString())?.[1] ?? NaN);
            const fits = status !== 200 || got.equals(objectBytes(path, revision, size));
            end(
              status,
              status < 400 ? 'result' : `status${status}`,
              from,
              fits ? 'yes' : 'no',
              Number.isNaN(revision) ? undefined : revision,
            );
          }
        });
      },
    );
    out.setTimeout(15_000, () => out.destroy());
    out.on('error', (fault: Error & { code?: string }) =>
      end(0, fault.code === 'ECONNREFUSED' ? 'closed' : 'broken', '', 'unread', undefined),
    );
    out.end(body);
  }
}
