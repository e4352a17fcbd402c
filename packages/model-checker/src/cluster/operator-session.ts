/** An operator's requests under way, and the judgement of their replies. */

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

/** A request with its number and what had been confirmed when it was made. */
export interface NumberedRequest {
  readonly ref: number;
  readonly call: OperatorRequest;
  /** The highest number that was confirmed before. */
  readonly floor: number;
}

/** The operator of one run. A clone goes its own way. */
export class OperatorSession {
  #operator: Operator = newOperator;
  #lastRequest = 0;
  #pending = new Map<number, NumberedRequest>();

  /** An independent copy. */
  clone(): OperatorSession {
    const copy = new OperatorSession();
    copy.#operator = this.#operator;
    copy.#lastRequest = this.#lastRequest;
    copy.#pending = new Map(this.#pending);
    return copy;
  }

  /** One turn of the operator: what it requests. */
  takeTurn(machines: number, highestConfirmed: number, now: number): readonly NumberedRequest[] {
    const [operator, calls] = operatorTurn(this.#operator, machines, now);
    this.#operator = operator;
    return calls.map((call) => {
      this.#lastRequest += 1;
      return { ref: this.#lastRequest, call, floor: highestConfirmed };
    });
  }

  /** A registry takes a request: only from then on a reply can come. */
  onRequestReceived(request: NumberedRequest): void {
    this.#pending.set(request.ref, request);
  }

  /** Judges a reply by what its request expected. */
  onReply(ref: number, status: number, body: string, monitor: InvariantMonitor, now: number): void {
    const request = this.#pending.get(ref);
    if (request === undefined) return;
    this.#pending.delete(ref);
    if (status !== httpOk) return;
    const { expected } = request.call;
    const reply = parseReply(body);
    if (expected.kind === 'read') {
      monitor.onRead(reply.generation, request.floor, now);
      return;
    }
    this.#operator = closeWrite(this.#operator, expected.number);
    monitor.onAcknowledged(expected.number, expected.hash, reply.kind === 'accepted', now);
  }
}
