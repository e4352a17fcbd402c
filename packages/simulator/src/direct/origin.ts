import type { Address, InstanceId, ServiceName } from '@switchwheel/types';
import type { AttemptRequest } from '@switchwheel/routing';
import type { Chance } from '../world/chance.js';

/** What a simulated origin, or the way to it, does with one request. */
export type Conduct =
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
export const troubles: readonly Conduct[] = [
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
export interface RunRecord {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly instance: InstanceId;
  readonly service: ServiceName;
}

/** A simulated origin: it works on what names it, and writes down what it ran. */
export interface SimulatedOrigin {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  readonly address: Address;
}

/** The simulated origins, by the address at which they are reached now, and what they ran. */
export class OriginFleet {
  readonly runs: RunRecord[] = [];
  readonly #byAddress = new Map<Address, SimulatedOrigin>();
  readonly #chance: Chance;
  /** The share of requests that meet a trouble. */
  troubleShare = 0.3;

  constructor(chance: Chance) {
    this.#chance = chance;
  }

  /** Starts an origin at an address; whoever had the address before is gone. */
  start(origin: SimulatedOrigin): void {
    this.#byAddress.set(origin.address, origin);
  }

  at(address: Address): SimulatedOrigin | undefined {
    return this.#byAddress.get(address);
  }

  conduct(): Conduct {
    if (!this.#chance.hit(this.troubleShare)) return 'answer';
    return this.#chance.one(troubles) ?? 'answer';
  }

  run(origin: SimulatedOrigin, order: AttemptRequest): void {
    this.runs.push({
      id: order.id,
      method: order.method,
      target: order.target,
      body: order.body.toString(),
      instance: origin.instance,
      service: origin.service,
    });
  }
}
