/** What a proxy sends to origins over the virtual network: attempts of requests, and health checks. */

import type { Address, Timestamp } from '@switchwheel/types';
import type {
  AttemptHandlers,
  AttemptRequest,
  ProxyEffect,
  ProxyEvent,
} from '@switchwheel/proxy-core';
import type { SimulatedProcess } from '../world/process.js';
import type { SimulatedOrigin } from './origin.js';

/** The network's name for all origins together: ways to them are cut for all at once. */
const originsNode = 'origins';
const minLatencyMs = 0.3;
const maxLatencyMs = 2;
/** How soon a refused connection is seen. */
const refusedConnectionMs = 2;

/** Attempts of one proxy. */
export class OriginAttempts {
  readonly #proxy: SimulatedProcess;
  readonly #origins: () => readonly SimulatedOrigin[];
  readonly #cancelled = new Set<string>();

  constructor(proxy: SimulatedProcess, origins: () => readonly SimulatedOrigin[]) {
    this.#proxy = proxy;
    this.#origins = origins;
  }

  /** Forgets all cancelled attempts, as the process starts anew. */
  clear(): void {
    this.#cancelled.clear();
  }

  /** What comes back of an attempt is ignored from now on. */
  cancel(attemptName: string): void {
    this.#cancelled.add(attemptName);
  }

  /** Checks an origin's health, and gives the event that reports it. */
  checkHealth(
    { service, instance, address }: Extract<ProxyEffect, { kind: 'checkHealth' }>,
    onChecked: (event: (now: Timestamp) => ProxyEvent) => void,
  ): void {
    this.#proxy.schedule(this.#proxy.context.random.uniform(1, 5), () => {
      const isHealthy =
        this.#isConnected() && this.#originAt(address)?.answerHealthCheck(instance) === true;
      onChecked((now) => ({
        kind: 'healthChecked',
        now,
        service,
        instance,
        isHealthy,
        durationMs: 2,
      }));
    });
  }

  /** Sends a request to its origin; `handlers` see what comes back, in its order. */
  start(attemptName: string, request: AttemptRequest, handlers: AttemptHandlers): void {
    const { random, eventQueue } = this.#proxy.context;
    const origin = this.#originAt(request.address);
    this.#proxy.schedule(request.timeoutMs, () => {
      if (!this.#cancelled.has(attemptName))
        handlers.onFailed({ mayHaveBeenSent: true, isTimeout: true, text: 'no result in time' });
    });
    if (origin === undefined || !this.#isConnected()) {
      this.#proxy.schedule(refusedConnectionMs, () => {
        if (!this.#cancelled.has(attemptName))
          handlers.onFailed({ mayHaveBeenSent: false, isTimeout: false, text: 'no one listens' });
      });
      return;
    }
    const deliverInOrder = this.#orderedDelivery(attemptName, handlers);
    eventQueue.schedule(random.uniform(minLatencyMs, maxLatencyMs), () =>
      origin.handleRequest(request, {
        onHead: (status, fields) => deliverInOrder(() => handlers.onHead(status, fields)),
        onChunk: (bytes, requestMore) => deliverInOrder(() => handlers.onChunk(bytes, requestMore)),
        onEnd: () => deliverInOrder(() => handlers.onEnd()),
        onFailed: (failure) => deliverInOrder(() => handlers.onFailed(failure)),
      }),
    );
  }

  /** Brings what an origin sends back to this incarnation of the proxy, in its order. */
  #orderedDelivery(attemptName: string, handlers: AttemptHandlers): (deliver: () => void) => void {
    const { incarnationNumber, context } = this.#proxy;
    let nextFreeAt = 0;
    return (deliver) => {
      const { now } = context.eventQueue;
      nextFreeAt = Math.max(nextFreeAt, now + context.random.uniform(minLatencyMs, maxLatencyMs));
      context.eventQueue.schedule(nextFreeAt - now, () =>
        this.#proxy.execute(() => {
          if (this.#cancelled.has(attemptName)) return;
          if (this.#isConnected()) deliver();
          else
            handlers.onFailed({
              mayHaveBeenSent: true,
              isTimeout: false,
              text: 'cut off from the origin',
            });
        }, incarnationNumber),
      );
    };
  }

  #isConnected(): boolean {
    return this.#proxy.context.network.isOpen(this.#proxy.node, originsNode);
  }

  #originAt(address: Address): SimulatedOrigin | undefined {
    return this.#origins().find((origin) => origin.address === address && origin.isAlive);
  }
}
