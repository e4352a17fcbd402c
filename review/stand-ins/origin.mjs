/**
 * Stand-in for an origin as the users' pages describe it: reports to the core, works on `slots` requests at once, echoes
 * `Try-Id`, refuses requests meant for another instance, and holds versioned objects with a seal.
 */

import { createHash, randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { call } from './operator.mjs';
import { sleep } from './platform.mjs';

const queueLength = 128;
/** `cold_x` of the site file. */
const coldFactor = 2;

/** Versioned objects that all origins of a service hold; `replacedAt` has the time at which each version ended. */
export class Objects {
  #versions = new Map();

  /** Version of an object at present; each begins with 1. */
  versionOf(path) {
    return this.#versions.get(path)?.version ?? 1;
  }

  /** Replaces an object without notice. */
  change(path) {
    const now = Date.now();
    const known = this.#versions.get(path) ?? { version: 1, replacedAt: new Map() };
    known.replacedAt.set(known.version, now);
    known.version += 1;
    this.#versions.set(path, known);
  }

  /** Time at which a version was replaced; undefined while it is the present one. */
  replacedAt(path, version) {
    return this.#versions.get(path)?.replacedAt.get(version);
  }
}

/** Body of an object's version; it names its object, so that a foreign one is recognized. */
export const bodyOf = (path, version, size = 600) =>
  Buffer.from(`object ${path} version ${version} `.padEnd(size, '.'));

/** Seal of an object's version. */
export const sealOf = (path, version) =>
  createHash('sha1').update(`${path} ${version}`).digest('hex').slice(0, 16);

/**
 * One origin. `workMs` gives the working time of a request in milliseconds; for `coldMs` from its start the origin takes
 * `coldFactor` times as long.
 */
export class Origin {
  constructor(fleet, record, { service, zone, index, slots, objects, workMs, coldMs = 0 }) {
    Object.assign(this, { fleet, record, service, zone, slots, objects, workMs, coldMs });
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.ip = `${fleet.net}.3.${index}`;
    this.calls = 0;
    this.busy = 0;
    this.waiting = [];
    this.isStopped = false;
    this.isLeaving = false;
    this.arrivals = [];
    this.runs = new Map();
  }

  async start() {
    this.server = createServer(
      { keepAliveTimeout: 10_000, requireHostHeader: false },
      (request, response) => this.#onRequest(request, response),
    );
    await new Promise((resolve) => {
      this.server.listen({ host: this.ip, port: 0 }, resolve);
    });
    this.port = this.server.address().port;
    this.coldUntil = Date.now() + this.coldMs;
    void this.#report();
  }

  /** Reports the planned end, or that the origin is gone, to one core machine; resolves with the status. */
  async leave(core, method) {
    const { fleet } = this;
    this.isLeaving = true;
    this.calls += 1;
    const { status } = await call(
      core.ip,
      fleet.ports.ctl,
      method,
      `/api/instances/${this.id}`,
      method === 'DELETE' ? undefined : this.#reportBody('drain'),
    );
    this.record.write('origin', { origin: this.id, call: method, at: core.name, status });
    return status;
  }

  #reportBody(phase) {
    return {
      addr: `${this.ip}:${this.port}`,
      sysinfo: { svc: this.service, ver: 'v1', zone: this.zone, slots: this.slots },
      stat: { phase, calls: this.calls, warmup_s: this.#coldLeftMs / 1000 },
    };
  }

  get #coldLeftMs() {
    return Math.max(0, this.coldUntil - Date.now());
  }

  stop() {
    this.isStopped = true;
    this.server.closeAllConnections();
    this.server.close();
  }

  async #report() {
    const { fleet } = this;
    for (let core = Math.floor(Math.random() * fleet.cores.length); !this.isStopped;) {
      this.calls += 1;
      const { status } = await call(
        fleet.cores[core % fleet.cores.length].ip,
        fleet.ports.ctl,
        'PUT',
        `/api/instances/${this.id}`,
        this.#reportBody('up'),
      );
      if (status === 200) await sleep(1500);
      else {
        core += 1;
        await sleep(100);
      }
    }
  }

  #onRequest(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.#admit(request, response, Buffer.concat(chunks)));
  }

  #admit(request, response, body) {
    const id = request.headers['try-id'];
    if (id !== undefined) response.setHeader('Try-Id', id);
    if (request.url === '/healthz') {
      response.setHeader('Served-By', this.id);
      response.end('well');
      return;
    }
    if (id === undefined) return this.#refuse(response, 400);
    const wanted = request.headers['want-instance'];
    if (wanted !== undefined && wanted !== this.id) return this.#refuse(response, 421);
    this.arrivals.push({ id, at: Date.now(), path: request.url });
    if (this.busy >= this.slots && this.waiting.length >= queueLength)
      return this.#refuse(response, 503);
    const job = { request, response, body, id };
    if (this.busy >= this.slots) this.waiting.push(job);
    else void this.#work(job);
  }

  #refuse(response, status) {
    response.statusCode = status;
    response.setHeader('Not-Run', '1');
    response.end();
  }

  async #work({ request, response, body, id }) {
    this.busy += 1;
    const path = request.url;
    const version = this.objects.versionOf(path);
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.record.write('origin', {
      origin: this.id,
      id,
      method: request.method,
      path,
      bytes: body.length,
    });
    await sleep(this.workMs(path) * (this.#coldLeftMs > 0 ? coldFactor : 1));
    if (!response.destroyed) {
      const content = bodyOf(path, version);
      response.setHeader('Edge-Seal', sealOf(path, version));
      if (request.method === 'GET') {
        response.setHeader('ETag', `"${sealOf(path, version)}"`);
        response.setHeader('Labels', 'label-all');
      }
      response.setHeader('Content-Length', content.length);
      response.end(content);
    }
    this.busy -= 1;
    const next = this.waiting.shift();
    if (next !== undefined) void this.#work(next);
  }
}
