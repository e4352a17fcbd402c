/** Permanent replacement of a registry: the new one joins the electorate, then the old one leaves it. */

import { toCommandId } from '@switchwheel/types';
import type { SimulatedRegistry } from '../processes/registry.js';
import type { FaultContext } from './fault-context.js';

/** Time that the new registry runs before it is added to the electorate. */
const joinDelayMs = 1000;
const retryDelayMs = 500;
const replyTimeoutMs = 5000;
const maxRetries = 20;
const httpStatusOk = 200;

type ElectorateChange = 'add' | 'remove';

/** One replacement of a registry that runs beside no store. */
class RegistryReplacement {
  readonly #context: FaultContext;
  readonly #departing: SimulatedRegistry;
  readonly #joining: SimulatedRegistry;

  constructor(context: FaultContext, departing: SimulatedRegistry, joining: SimulatedRegistry) {
    this.#context = context;
    this.#departing = departing;
    this.#joining = joining;
  }

  start(): void {
    this.#context.world.eventQueue.schedule(joinDelayMs, () =>
      this.#change('add', () => this.#change('remove', () => this.#finish())),
    );
  }

  /** Requests a change of the electorate, with retries, until it is accepted. */
  #change(change: ElectorateChange, onAccepted: () => void, retries = 0): void {
    const { world } = this.#context;
    const node = change === 'add' ? this.#joining.node : this.#departing.node;
    const id = toCommandId(`seat-${change}-${node}`);
    const registry = world.random.pick(
      world.registries.filter(
        (candidate) => candidate.isAlive && !candidate.isFrozen && candidate !== this.#departing,
      ),
    );
    let isSettled = false;
    const retry = (): void => this.#change(change, onAccepted, retries + 1);
    registry?.handleRequest(
      {
        verb: 'electorate',
        id,
        add: change === 'add' ? node : undefined,
        remove: change === 'remove' ? node : undefined,
      },
      (reply) => {
        if (isSettled) return;
        isSettled = true;
        if (reply.status === httpStatusOk) onAccepted();
        else if (retries < maxRetries) world.eventQueue.schedule(retryDelayMs, retry);
      },
    );
    world.eventQueue.schedule(replyTimeoutMs, () => {
      if (isSettled || retries >= maxRetries) return;
      isSettled = true;
      retry();
    });
  }

  #finish(): void {
    const { world } = this.#context;
    world.coverage.record('a voter was replaced');
    this.#context.log(`${this.#departing.node} is removed permanently`);
    world.removeRegistry(this.#departing);
  }
}

/** Replaces a registry that runs beside no store, unless another fault of the core is active. */
export const replaceRegistry = (context: FaultContext): void => {
  const { world } = context;
  if (!context.reserveCoreFault(5000)) return;
  const departing = world.random.pick(
    world.registries.filter(
      (registry) => !world.stores.some((store) => `${store.node}-registry` === registry.node),
    ),
  );
  if (departing === undefined) return;
  const number = context.nextNumber();
  const joining = world.addRegistry(`new-${number}`, number);
  context.log(`replace ${departing.node} by ${joining.node}`);
  new RegistryReplacement(context, departing, joining).start();
};
