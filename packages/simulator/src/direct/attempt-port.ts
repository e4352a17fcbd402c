/**
 * The upstream port of a simulated direct edge: carries attempts to simulated origins with all
 * their faults.
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

/** What stands in the body of an object at a revision. */
export const objectBody = (target: string, revision: number): string => `${target}@${revision}`;

/** One attempt of a request, as it left the edge. */
export interface SentAttempt {
  readonly at: number;
  readonly id: string;
  readonly address: Address;
}

/** How late a late answer is, in milliseconds: sometimes after the request's deadline. */
const lateAnswerRangeMs = [300, 2600] as const;

/** Statuses that promise that nothing ran, given here by origins that did run the request. */
const misleadingStatuses = [408, 429, 503] as const;

/** Carries requests to simulated origins in the way that the socket port reports them. */
export class SimulatedAttemptPort implements OriginClient {
  readonly sent: SentAttempt[] = [];
  readonly #eventQueue: EventQueue;
  readonly #random: SeededRandom;
  readonly #fleet: OriginFleet;
  readonly #revisionOf: (target: string) => number;

  constructor(
    agenda: EventQueue,
    chance: SeededRandom,
    fleet: OriginFleet,
    revisionOf: (target: string) => number,
  ) {
    this.#eventQueue = agenda;
    this.#random = chance;
    this.#fleet = fleet;
    this.#revisionOf = revisionOf;
  }

  closeIdleConnections(): void {
    // Idle connections bear nothing here: bytes left on them are among the conducts.
  }

  send(order: AttemptRequest, ears: AttemptHandlers): () => void {
    this.sent.push({ at: this.#eventQueue.now, id: order.id, address: order.address });
    let cut = false;
    const conduct = this.#fleet.pickBehaviour();
    // What is cut on its way may arrive all the same.
    const arrivesAnyway = this.#random.happens(0.5);
    const report = (tell: () => void): void => {
      if (!cut) tell();
    };
    this.#eventQueue.schedule(this.#random.uniform(0.2, 5), () => {
      if (cut && !arrivesAnyway) return;
      const origin = this.#fleet.originAt(order.address);
      if (conduct === 'unopened' || origin === undefined)
        report(() => ears.onFailure(false, 'the connection did not open'));
      else if (!isAddressedTo(order, origin))
        report(() => ears.onResponse({ ...plainAnswer(421, ''), isUnprocessed: true }));
      else this.#executeRequest(order, origin, conduct, ears, report);
    });
    return () => {
      cut = true;
    };
  }

  #executeRequest(
    order: AttemptRequest,
    origin: DirectOrigin,
    conduct: OriginBehaviour,
    ears: AttemptHandlers,
    report: (tell: () => void) => void,
  ): void {
    const broke = (): void => report(() => ears.onFailure(true, conduct));
    if (conduct === 'reset before') {
      broke();
      return;
    }
    if (conduct === 'full') {
      report(() => ears.onResponse({ ...plainAnswer(503, ''), isUnprocessed: true }));
      return;
    }
    this.#fleet.recordExecution(origin, order);
    if (conduct === 'silent') return;
    const body =
      order.method === 'GET'
        ? objectBody(order.target, this.#revisionOf(order.target))
        : `done ${order.id}`;
    const [least, most] = conduct === 'late' ? lateAnswerRangeMs : [2, 60];
    this.#eventQueue.schedule(this.#random.uniform(least, most), () => {
      if (conduct === 'answer' || conduct === 'late')
        report(() => ears.onResponse(plainAnswer(200, body)));
      else if (conduct === 'failure') report(() => ears.onResponse(plainAnswer(500, 'failed')));
      else if (conduct === 'false promise') {
        const status = this.#random.pick(misleadingStatuses) ?? 503;
        report(() => ears.onResponse(plainAnswer(status, 'failed')));
      } else broke();
    });
  }
}

/** Whether the request names this origin, or none: only then does it run. */
const isAddressedTo = (order: AttemptRequest, origin: DirectOrigin): boolean => {
  const named = order.fields.find(([name]) => name === defaultHeaderNames.targetInstance);
  return named === undefined || named[1] === origin.instance;
};

const plainAnswer = (status: number, body: string): OriginResponse => ({
  status,
  fields: [],
  body: Buffer.from(body),
  isUnprocessed: false,
});
