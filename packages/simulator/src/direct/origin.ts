/** Origins of a simulated direct edge: their behaviour per request, and records of executions. */

import type { Address, InstanceId, ServiceName } from '@switchwheel/types';
import type { AttemptRequest } from '@switchwheel/routing';
import type { SeededRandom } from '../world/seeded-random.js';

/** Behaviour of a simulated origin, or of the connection to it, for one request. */
export type OriginBehaviour =
  | 'response'
  | 'late'
  | 'silent'
  | 'full'
  | 'failure'
  | 'misleading status'
  | 'truncated'
  | 'other id'
  | 'unopened'
  | 'reset before'
  | 'reset after';

/** All behaviours except a normal response. */
export const faultyBehaviours: readonly OriginBehaviour[] = [
  'late',
  'silent',
  'full',
  'failure',
  'misleading status',
  'truncated',
  'other id',
  'unopened',
  'reset before',
  'reset after',
];

/** One execution of a request, as recorded by the origin. */
export interface ExecutionRecord {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly instance: InstanceId;
  readonly service: ServiceName;
}

/** A simulated origin instance. */
export interface DirectOrigin {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  readonly address: Address;
}

/** The simulated origins by their current addresses, and the record of executions. */
export class OriginFleet {
  readonly executions: ExecutionRecord[] = [];
  readonly #byAddress = new Map<Address, DirectOrigin>();
  readonly #random: SeededRandom;
  /** Probability that a request meets a fault. */
  faultProbability = 0.3;

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /** Starts an origin; it replaces any other at the same address. */
  start(origin: DirectOrigin): void {
    this.#byAddress.set(origin.address, origin);
  }

  originAt(address: Address): DirectOrigin | undefined {
    return this.#byAddress.get(address);
  }

  pickBehaviour(): OriginBehaviour {
    if (!this.#random.happens(this.faultProbability)) return 'response';
    return this.#random.pick(faultyBehaviours) ?? 'response';
  }

  recordExecution(origin: DirectOrigin, request: AttemptRequest): void {
    this.executions.push({
      id: request.id,
      method: request.method,
      target: request.target,
      body: request.body.toString(),
      instance: origin.instance,
      service: origin.service,
    });
  }
}
