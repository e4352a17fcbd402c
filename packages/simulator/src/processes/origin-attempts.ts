/** Attempts and health checks that a proxy sends to origins over the virtual network. */

import type { Address, Timestamp } from '@switchwheel/types';
import type {
  OriginAttemptHandlers,
  OriginAttemptRequest,
  ProxyEffect,
  ProxyEvent,
} from '@switchwheel/proxy-core';
import type { SimulatedProcess } from '../world/process.js';
import type { SimulatedOrigin } from './origin.js';

/** Network name of all origins together: links to them are cut for all at once. */
const originsNode = 'origins';
const minLatencyMs = 0.3;
const maxLatencyMs = 2;
/** Time until a refused connection is noticed. */
const refusedConnectionMs = 2;

/** Attempts of one proxy at all origins. */
export class OriginAttempts {
  readonly #proxy: SimulatedProcess;
  readonly #origins: () => readonly SimulatedOrigin[];
  readonly #cancelled = new Set<string>();

  constructor(proxy: SimulatedProcess, origins: () => readonly SimulatedOrigin[]) {
    this.#proxy = proxy;
    this.#origins = origins;
  }

  /** Forgets all cancelled attempts when the process restarts. */
  clear(): void {
    this.#cancelled.clear();
  }

  /** Cancels an attempt: its response is ignored from now on. */
  cancel(attemptName: string): void {
    this.#cancelled.add(attemptName);
  }

  /** Checks an origin's health and passes the event that reports the result. */
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

  /** Sends a request to its origin; `handlers` receive the response in order. */
  start(attemptName: string, request: OriginAttemptRequest, handlers: OriginAttemptHandlers): void {
    const { random, eventQueue } = this.#proxy.context;
    const origin = this.#originAt(request.address);
    this.#proxy.schedule(request.timeoutMs, () => {
      if (!this.#cancelled.has(attemptName))
        handlers.onFailed({
          mayHaveBeenSent: true,
          isTimeout: true,
          text: 'no response before the timeout',
        });
    });
    if (origin === undefined || !this.#isConnected()) {
      this.#proxy.schedule(refusedConnectionMs, () => {
        if (!this.#cancelled.has(attemptName))
          handlers.onFailed({
            mayHaveBeenSent: false,
            isTimeout: false,
            text: 'connection refused',
          });
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

  /** Delivers an origin's response in order to the current incarnation of the proxy. */
  #orderedDelivery(
    attemptName: string,
    handlers: OriginAttemptHandlers,
  ): (deliver: () => void) => void {
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
              text: 'network to the origin is cut',
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
