/** Load generator of a simulated fleet, with a record of all requests and their results. */

import type { World } from '../world/world.js';
import type { CallerResult } from './caller-result.js';
import type { SimulatedProxy } from './proxy.js';

/** One request of a caller and its result. */
export interface CallerRequest {
  readonly id: string;
  readonly service: string;
  readonly path: string;
  readonly isUnsafe: boolean;
  readonly edge: SimulatedProxy;
  readonly edgeIncarnation: number;
  readonly sentAt: number;
  /** Whether the request is part of a flood; such requests may be rejected. */
  readonly isFlood: boolean;
  /** Whether its edge was disconnected from the fleet when it was sent. */
  readonly wasEdgeUnreachable: boolean;
  /** For how long the service had been available at the edge when the request was sent, in milliseconds. */
  serviceAvailableForMs: number;
  repliedAt: number | undefined;
  result: CallerResult | undefined;
  /** Whether a second reply arrived. */
  hasSecondReply: boolean;
  hasDisconnected: boolean;
}

/** Properties of a request; those left out are drawn at random. */
export interface RequestOptions {
  readonly edge?: SimulatedProxy | undefined;
  readonly kind?: 'read' | 'plain' | 'act' | 'long';
  readonly service?: string;
  readonly object?: number;
  readonly isFlood?: boolean;
}

/** Callers of a simulated fleet; the platform routes them to ready edges. */
export class SimulatedCallers {
  readonly requests: CallerRequest[] = [];
  readonly #world: World;
  #requestCount = 0;
  #isSending = true;
  requestsPerSecond: number;
  /** Probability that a caller disconnects early, and the maximum number of immediate retries after an error. */
  disconnectProbability = 0;
  maxImmediateRetries = 0;
  /** End of the flood by path prefix: only the class of these requests may be affected. */
  readonly floodedUntil = new Map<string, number>();
  onSent: (request: CallerRequest) => void = () => undefined;
  onReply: (request: CallerRequest) => void = () => undefined;

  constructor(world: World, requestsPerSecond: number) {
    this.#world = world;
    this.requestsPerSecond = requestsPerSecond;
  }

  start(): void {
    const sendNext = (): void => {
      if (!this.#isSending) return;
      this.send();
      this.#world.eventQueue.schedule(
        (-Math.log(1 - this.#world.random.next()) * 1000) / this.requestsPerSecond,
        sendNext,
      );
    };
    sendNext();
  }

  stop(): void {
    this.#isSending = false;
  }

  send(options: RequestOptions = {}, retryCount = 0): CallerRequest | undefined {
    const world = this.#world;
    const readyEdges = world.edges.filter((candidate) => candidate.isReady);
    const edge =
      options.edge ??
      world.random.pick(readyEdges) ??
      world.random.pick(world.edges.filter((candidate) => candidate.isAlive));
    if (edge === undefined) return undefined;
    const service = options.service ?? world.random.pick(world.layout.services)?.name ?? '';
    const kind =
      options.kind ?? world.random.pick(['read', 'read', 'plain', 'act'] as const) ?? 'read';
    this.#requestCount += 1;
    const id = `q${this.#requestCount}`;
    const path = `/${service}/${kind}/${options.object ?? world.random.integer(0, 19)}`;
    const request: CallerRequest = {
      id,
      service,
      path,
      isUnsafe: kind === 'act',
      edge,
      edgeIncarnation: edge.incarnationNumber,
      sentAt: world.eventQueue.now,
      isFlood:
        options.isFlood === true ||
        retryCount > 0 ||
        world.eventQueue.now < (this.floodedUntil.get(`/${service}/${kind}/`) ?? 0),
      wasEdgeUnreachable: world.isUnreachable(edge),
      serviceAvailableForMs: 0,
      repliedAt: undefined,
      result: undefined,
      hasSecondReply: false,
      hasDisconnected: false,
    };
    this.requests.push(request);
    this.onSent(request);
    const retryOptions = { ...options, service, kind };
    this.#serve(request, () => this.send(retryOptions, retryCount + 1), retryCount);
    return request;
  }

  /** Sends a request to its edge; the caller may retry immediately after an error, or disconnect early. */
  #serve(request: CallerRequest, retry: () => void, retryCount: number): void {
    const world = this.#world;
    const { id, path, edge } = request;
    const disconnect = edge.serve(
      { id, method: request.isUnsafe ? 'POST' : 'GET', path, fields: [['x-request-id', id]] },
      (result) => {
        request.hasSecondReply ||= request.result !== undefined;
        if (request.result !== undefined) return;
        request.result = result;
        request.repliedAt = world.eventQueue.now;
        this.onReply(request);
        if (result.kind === 'result' || retryCount >= this.maxImmediateRetries) return;
        world.coverage.record('callers retried immediately');
        world.eventQueue.schedule(1, () => {
          if (this.#isSending) retry();
        });
      },
    );
    if (!world.random.happens(this.disconnectProbability)) return;
    world.eventQueue.schedule(world.random.uniform(1, 200), () => {
      if (request.result !== undefined) return;
      request.hasDisconnected = true;
      world.coverage.record('R2: a caller disconnected before its response');
      disconnect();
    });
  }
}
