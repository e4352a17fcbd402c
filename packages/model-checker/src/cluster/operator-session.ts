/** Pending requests of an operator, and the check of their replies against the invariants. */

import type { InvariantMonitor } from './invariants.js';
import {
  type Operator,
  type OperatorRequest,
  closeWrite,
  newOperator,
  operatorTurn,
} from './operator.js';
import { parseReply } from './reply.js';

const httpOk = 200;

/** Request with its correlation id and the lower bound for its result. */
export interface NumberedRequest {
  readonly correlationId: number;
  readonly operatorRequest: OperatorRequest;
  /** Highest generation confirmed before the request was sent; a read must not return a lower one. */
  readonly minGeneration: number;
}

/** Operator of one run. */
export class OperatorSession {
  #operator: Operator = newOperator;
  #lastCorrelationId = 0;
  #pending = new Map<number, NumberedRequest>();

  /** Returns an independent copy. */
  clone(): OperatorSession {
    const copy = new OperatorSession();
    copy.#operator = this.#operator;
    copy.#lastCorrelationId = this.#lastCorrelationId;
    copy.#pending = new Map(this.#pending);
    return copy;
  }

  /** Runs one turn of the operator and returns its requests. */
  takeTurn(
    machineCount: number,
    highestConfirmed: number,
    now: number,
  ): readonly NumberedRequest[] {
    const [operator, requests] = operatorTurn(this.#operator, machineCount, now);
    this.#operator = operator;
    return requests.map((operatorRequest) => {
      this.#lastCorrelationId += 1;
      return {
        correlationId: this.#lastCorrelationId,
        operatorRequest,
        minGeneration: highestConfirmed,
      };
    });
  }

  /** Records that a registry received a request; replies are matched from then on. */
  onRequestReceived(request: NumberedRequest): void {
    this.#pending.set(request.correlationId, request);
  }

  /** Checks a reply against the expectation of its request. */
  onReply(
    correlationId: number,
    status: number,
    body: string,
    monitor: InvariantMonitor,
    now: number,
  ): void {
    const request = this.#pending.get(correlationId);
    if (request === undefined) return;
    this.#pending.delete(correlationId);
    if (status !== httpOk) return;
    const { expected } = request.operatorRequest;
    const reply = parseReply(body);
    if (expected.kind === 'read') {
      monitor.onRead(reply.generation, request.minGeneration, now);
      return;
    }
    this.#operator = closeWrite(this.#operator, expected.generation);
    monitor.onAcknowledged(expected.generation, expected.hash, reply.kind === 'accepted', now);
  }
}
