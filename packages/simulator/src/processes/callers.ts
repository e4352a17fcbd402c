import type { World } from '../world/world.js';
import type { CallerResult, SimulatedProxy } from './proxy.js';

/** One request of a caller and what it came to. */
export interface CallerRequest {
  readonly id: string;
  readonly service: string;
  readonly path: string;
  readonly isUnsafe: boolean;
  readonly edge: SimulatedProxy;
  readonly edgeIncarnation: number;
  readonly sentAt: number;
  /** Whether it is one of a flood, which nobody owes a result. */
  readonly isFlood: boolean;
  /** Whether its edge was out of reach of the fleet as it was sent. */
  readonly wasEdgeUnreachable: boolean;
  /** For how long a result was owed by then. */
  owedForMs: number;
  answeredAt: number | undefined;
  result: CallerResult | undefined;
  /** Whether it was told something after it had been told all. */
  hasSecondReply: boolean;
  hasLeft: boolean;
}

export interface RequestOptions {
  readonly edge?: SimulatedProxy | undefined;
  readonly kind?: 'read' | 'plain' | 'act' | 'long';
  readonly service?: string;
  readonly object?: number;
  readonly flood?: boolean;
}

/** Callers of a simulated fleet: sent by the platform to edges that report ready. */
export class SimulatedCallers {
  readonly requests: CallerRequest[] = [];
  readonly #world: World;
  #requestCount = 0;
  #isSending = true;
  requestsPerSecond: number;
  /** How many leave before their result, and how often one that was refused asks again at once. */
  leaveProbability = 0;
  maxImmediateRetries = 0;
  /** Kinds of requests that come in floods, and until when: only their own class suffers from it. */
  readonly floodedUntil = new Map<string, number>();
  onSent: (asked: CallerRequest) => void = () => undefined;
  onReply: (asked: CallerRequest) => void = () => undefined;

  constructor(world: World, perSecond: number) {
    this.#world = world;
    this.requestsPerSecond = perSecond;
  }

  start(): void {
    const next = (): void => {
      if (!this.#isSending) return;
      this.send();
      this.#world.eventQueue.schedule(
        (-Math.log(1 - this.#world.random.next()) * 1000) / this.requestsPerSecond,
        next,
      );
    };
    next();
  }

  stop(): void {
    this.#isSending = false;
  }

  send(options: RequestOptions = {}, retryCount = 0): CallerRequest | undefined {
    const world = this.#world;
    const ready = world.edges.filter((one) => one.isReady);
    const to =
      options.edge ??
      world.random.pick(ready) ??
      world.random.pick(world.edges.filter((one) => one.isAlive));
    if (to === undefined) return undefined;
    const service = options.service ?? world.random.pick(world.layout.services)?.name ?? '';
    const family =
      options.kind ?? world.random.pick(['read', 'read', 'plain', 'act'] as const) ?? 'read';
    this.#requestCount += 1;
    const id = `q${this.#requestCount}`;
    const path = `/${service}/${family}/${options.object ?? world.random.integer(0, 19)}`;
    const asked: CallerRequest = {
      id,
      service,
      path,
      isUnsafe: family === 'act',
      edge: to,
      edgeIncarnation: to.incarnationNumber,
      sentAt: world.eventQueue.now,
      isFlood:
        options.flood === true ||
        retryCount > 0 ||
        world.eventQueue.now < (this.floodedUntil.get(`/${service}/${family}/`) ?? 0),
      wasEdgeUnreachable: world.isUnreachable(to),
      owedForMs: 0,
      answeredAt: undefined,
      result: undefined,
      hasSecondReply: false,
      hasLeft: false,
    };
    this.requests.push(asked);
    this.onSent(asked);
    const leave = to.serve(
      { id, method: family === 'act' ? 'POST' : 'GET', path, fields: [['x-request-id', id]] },
      (result) => {
        asked.hasSecondReply ||= asked.result !== undefined;
        if (asked.result !== undefined) return;
        asked.result = result;
        asked.answeredAt = world.eventQueue.now;
        this.onReply(asked);
        if (result.kind !== 'result' && retryCount < this.maxImmediateRetries) {
          world.coverage.record('callers asked again at once');
          world.eventQueue.schedule(1, () => {
            if (this.#isSending) this.send({ ...options, service, kind: family }, retryCount + 1);
          });
        }
      },
    );
    if (world.random.happens(this.leaveProbability)) {
      world.eventQueue.schedule(world.random.uniform(1, 200), () => {
        if (asked.result !== undefined) return;
        asked.hasLeft = true;
        world.coverage.record('R2: a caller left before its result');
        leave();
      });
    }
    return asked;
  }
}
