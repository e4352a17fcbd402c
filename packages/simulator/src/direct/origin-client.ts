/**
 * Origin client of a simulated direct edge: sends attempts to simulated origins and injects their
 * faults.
 */

import type { Address } from '@switchwheel/types';
import {
  type OriginResponse,
  type AttemptHandlers,
  type AttemptRequest,
  type OriginClient,
  defaultHeaderNames,
} from '@switchwheel/routing';
import type { EventQueue } from '../world/event-queue.js';
import type { SeededRandom } from '../world/seeded-random.js';
import type { OriginBehaviour, OriginFleet, DirectOrigin } from './origin.js';

/** Body of an object at a revision. */
export const objectBody = (target: string, revision: number): string => `${target}@${revision}`;

/** One attempt of a request, as the edge sent it. */
export interface SentAttempt {
  readonly at: number;
  readonly id: string;
  readonly address: Address;
}

/** Delay of a late response in milliseconds; the upper part is past the request's deadline. */
const lateResponseRangeMs = [300, 2600] as const;

/** Statuses that mean "not executed", returned here by origins that executed the request. */
const misleadingStatuses = [408, 429, 503] as const;

/** Sends requests to simulated origins, and reports outcomes as the socket client does. */
export class SimulatedOriginClient implements OriginClient {
  readonly sentAttempts: SentAttempt[] = [];
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #fleet: OriginFleet;
  readonly #revisionOf: (target: string) => number;

  constructor(
    eventQueue: EventQueue,
    random: SeededRandom,
    fleet: OriginFleet,
    revisionOf: (target: string) => number,
  ) {
    this.#eventQueue = eventQueue;
    this.#random = random;
    this.#fleet = fleet;
    this.#revisionOf = revisionOf;
  }

  closeIdleConnections(): void {
    // There are no simulated connections; leftover bytes of a reused connection appear as the behaviour `other id`.
  }

  send(request: AttemptRequest, handlers: AttemptHandlers): () => void {
    this.sentAttempts.push({ at: this.#eventQueue.now, id: request.id, address: request.address });
    let isCancelled = false;
    const behaviour = this.#fleet.pickBehaviour();
    // A cancelled request may arrive nevertheless.
    const arrivesAnyway = this.#random.happens(0.5);
    const report = (deliver: () => void): void => {
      if (!isCancelled) deliver();
    };
    this.#eventQueue.schedule(this.#random.uniform(0.2, 5), () => {
      if (isCancelled && !arrivesAnyway) return;
      const origin = this.#fleet.originAt(request.address);
      if (behaviour === 'unopened' || origin === undefined)
        report(() => handlers.onFailure(false, 'connection refused'));
      else if (!isAddressedTo(request, origin))
        report(() => handlers.onResponse({ ...createResponse(421, ''), isUnprocessed: true }));
      else this.#executeRequest(request, origin, behaviour, handlers, report);
    });
    return () => {
      isCancelled = true;
    };
  }

  #executeRequest(
    request: AttemptRequest,
    origin: DirectOrigin,
    behaviour: OriginBehaviour,
    handlers: AttemptHandlers,
    report: (deliver: () => void) => void,
  ): void {
    const failConnection = (): void => report(() => handlers.onFailure(true, behaviour));
    if (behaviour === 'reset before') {
      failConnection();
      return;
    }
    if (behaviour === 'full') {
      report(() => handlers.onResponse({ ...createResponse(503, ''), isUnprocessed: true }));
      return;
    }
    this.#fleet.recordExecution(origin, request);
    if (behaviour === 'silent') return;
    const body =
      request.method === 'GET'
        ? objectBody(request.target, this.#revisionOf(request.target))
        : `done ${request.id}`;
    const [minDelayMs, maxDelayMs] = behaviour === 'late' ? lateResponseRangeMs : [2, 60];
    this.#eventQueue.schedule(this.#random.uniform(minDelayMs, maxDelayMs), () => {
      if (behaviour === 'response' || behaviour === 'late')
        report(() => handlers.onResponse(createResponse(200, body)));
      else if (behaviour === 'failure')
        report(() => handlers.onResponse(createResponse(500, 'failed')));
      else if (behaviour === 'misleading status') {
        const status = this.#random.pick(misleadingStatuses) ?? 503;
        report(() => handlers.onResponse(createResponse(status, 'failed')));
      } else failConnection();
    });
  }
}

/** Whether the request names this origin or none; an origin executes no other requests. */
const isAddressedTo = (request: AttemptRequest, origin: DirectOrigin): boolean => {
  const targetInstance = request.fields.find(
    ([name]) => name === defaultHeaderNames.targetInstance,
  );
  return targetInstance === undefined || targetInstance[1] === origin.instance;
};

const createResponse = (status: number, body: string): OriginResponse => ({
  status,
  fields: [],
  body: Buffer.from(body),
  isUnprocessed: false,
});
