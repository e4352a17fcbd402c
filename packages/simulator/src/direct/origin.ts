/** Origins that a direct edge sends to: how each behaves to a request, and what it ran. */

import type { Address, InstanceId, ServiceName } from '@switchwheel/types';
import type { AttemptRequest } from '@switchwheel/routing';
import type { SeededRandom } from '../world/seeded-random.js';

/** What a simulated origin, or the way to it, does with one request. */
export type OriginBehaviour =
  | 'answer'
  | 'late'
  | 'silent'
  | 'full'
  | 'failure'
  | 'false promise'
  | 'short'
  | 'other id'
  | 'unopened'
  | 'reset before'
  | 'reset after';

/** The troubles of origins, besides a plain answer. */
export const faultyBehaviours: readonly OriginBehaviour[] = [
  'late',
  'silent',
  'full',
  'failure',
  'false promise',
  'short',
  'other id',
  'unopened',
  'reset before',
  'reset after',
];

/** One run of a request, as the origin itself writes it down. */
export interface ExecutionRecord {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly instance: InstanceId;
  readonly service: ServiceName;
}

/** A simulated origin: it works on what names it, and writes down what it ran. */
export interface DirectOrigin {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  readonly address: Address;
}

/** The simulated origins, by the address at which they are reached now, and what they ran. */
export class OriginFleet {
  readonly executions: ExecutionRecord[] = [];
  readonly #byAddress = new Map<Address, DirectOrigin>();
  readonly #random: SeededRandom;
  /** The share of requests that meet a fault. */
  faultProbability = 0.3;

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /** Starts an origin at an address; whoever had the address before is gone. */
  start(origin: DirectOrigin): void {
    this.#byAddress.set(origin.address, origin);
  }

  originAt(address: Address): DirectOrigin | undefined {
    return this.#byAddress.get(address);
  }

  pickBehaviour(): OriginBehaviour {
    if (!this.#random.happens(this.faultProbability)) return 'answer';
    return this.#random.pick(faultyBehaviours) ?? 'answer';
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
