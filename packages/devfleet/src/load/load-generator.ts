/**
 * Open-loop load generator: each request is sent when it is due, whether or not earlier ones have been answered.
 * The report evaluates the responses.
 */

import { Agent } from 'node:http';
import type { Deployment, Traffic } from '../deployment/schema.js';
import type { Machine } from '../fleet/machine.js';
import { delay } from '../fleet/wait.js';
import { planRequest } from './planned-request.js';
import type { RequestRecord } from './request-record.js';
import { sendRequest } from './send-request.js';

const sendIntervalMs = 5;
const drainTimeoutMs = 20_000;
const drainPollMs = 20;
const maxConnectionsPerEdge = 512;

/** Sends the traffic of a deployment to randomly chosen edges. */
export class LoadGenerator {
  /** Completed requests in order of completion. */
  readonly records: RequestRecord[] = [];
  /** Number of immediate retries after a request without a result. */
  maxImmediateRetries = 0;
  readonly #deployment: Deployment;
  readonly #agents = new Map<string, Agent>();
  readonly #edges: () => readonly Machine[];
  readonly #requestsPerSecond: number;
  #sentCount = 0;
  #pendingCount = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(deployment: Deployment, requestsPerSecond: number, edges: () => readonly Machine[]) {
    this.#deployment = deployment;
    this.#requestsPerSecond = requestsPerSecond;
    this.#edges = edges;
  }

  /** Sends requests at the given rate until stopped. */
  start(): void {
    const startedAt = performance.now();
    let sentCount = 0;
    this.#timer = setInterval(() => {
      const dueCount = ((performance.now() - startedAt) / 1000) * this.#requestsPerSecond;
      while (sentCount < dueCount) {
        sentCount += 1;
        this.#send();
      }
    }, sendIntervalMs);
  }

  /** Stops sending and waits for the requests in flight, up to the drain timeout. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    const deadline = performance.now() + drainTimeoutMs;
    while (this.#pendingCount > 0 && performance.now() < deadline) await delay(drainPollMs);
    for (const agent of this.#agents.values()) agent.destroy();
  }

  /** Sends one kind of traffic at a separate rate for a time, in addition to the normal load. */
  async flood(trafficName: string, requestsPerSecond: number, durationMs: number): Promise<void> {
    const traffic = this.#deployment.traffic.find(({ name }) => name === trafficName);
    const startedAt = performance.now();
    let sentCount = 0;
    while (performance.now() - startedAt < durationMs) {
      const dueCount = ((performance.now() - startedAt) / 1000) * requestsPerSecond;
      for (; sentCount < dueCount; sentCount += 1) this.#send(traffic);
      await delay(sendIntervalMs);
    }
  }

  /** Picks a kind of traffic at random by weight. */
  #pickTraffic(): Traffic {
    const { traffic } = this.#deployment;
    let remaining = Math.random() * traffic.reduce((sum, { weight }) => sum + weight, 0);
    for (const candidate of traffic) {
      remaining -= candidate.weight;
      if (remaining <= 0) return candidate;
    }
    const [first] = traffic;
    if (first === undefined)
      throw new Error('cannot pick the traffic of a request: the deployment lists none');
    return first;
  }

  #agentFor(address: string): Agent {
    const agent =
      this.#agents.get(address) ??
      new Agent({ keepAlive: true, maxSockets: maxConnectionsPerEdge });
    this.#agents.set(address, agent);
    return agent;
  }

  #send(chosen?: Traffic, retryCount = 0): void {
    const edges = this.#edges();
    const edge = edges[Math.floor(Math.random() * edges.length)];
    if (edge === undefined) return;
    const traffic = chosen ?? this.#pickTraffic();
    this.#sentCount += 1;
    const planned = planRequest(traffic, `q${process.pid}-${this.#sentCount}`);
    const { id, path } = planned;
    const sentAt = performance.now();
    this.#pendingCount += 1;
    sendRequest(edge.httpAddress, this.#agentFor(edge.httpAddress), planned, (outcome) => {
      this.#pendingCount -= 1;
      const elapsedMs = performance.now() - sentAt;
      this.records.push({ traffic, id, path, sentAt, elapsedMs, edge: edge.name, ...outcome });
      if (outcome.outcome !== 'result' && retryCount < this.maxImmediateRetries)
        this.#send(traffic, retryCount + 1);
    });
  }
}
