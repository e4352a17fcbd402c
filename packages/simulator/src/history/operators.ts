/** Operators in the simulation that number their configurations, send orders again, and record what they were told. */
import { type ServiceName, toCommandId, toGeneration, toRelease } from '@switchwheel/types';
import { splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import type { SimRegistry, Told } from '../cast/registry.js';
import type { Chance } from '../world/chance.js';
import { describe } from '../world/describe.js';
import type { World } from '../world/world.js';
import type {
  ConfigurationRead,
  ConfigurationWrite,
  Ending,
  History,
  ReleaseWrite,
  Version,
} from './history.js';

/** How long an operator waits for an answer before it sends the same order again. */
const answerMs = 1500;
const readEveryMs = 700;
const releaseSpanMs = 6000;
/** By how much an operator's number rises at most. */
const numberStep = 5;

/** How an answer of the control side ends an operation for its caller. */
export const endingOf = (status: number): Ending => {
  if (status === 200) return 'acknowledged';
  return status >= 400 && status < 500 ? 'refused' : 'unknown';
};

const field = (body: string, name: string): number | undefined => {
  const found = new RegExp(`"${name}":(\\d+)`).exec(body)?.[1];
  return found === undefined ? undefined : Number(found);
};

/** The configuration that a read returned; undefined if there is none. */
export const versionOf = (body: string): Version | undefined => {
  const number = field(body, 'generation');
  const hash = /"hash":"([0-9a-f]+)"/.exec(body)?.[1];
  return number === undefined || number === 0 || hash === undefined ? undefined : { number, hash };
};

/** One order of a configuration, as it can be sent any number of times. */
interface Configuration {
  readonly number: number;
  readonly mark: number;
}

export class SimOperators {
  readonly #world: World;
  readonly #history: History;
  readonly #chance: Chance;
  #calls = 0;
  #lastNumber = 0;
  #lastRelease = 0;
  readonly #sent: Configuration[] = [];
  readonly #ordered: { readonly service: ServiceName; readonly target: string }[] = [];
  #reading = false;

  constructor(world: World, history: History) {
    this.#world = world;
    this.#history = history;
    this.#chance = world.chance.part();
  }

  /** Reads the configuration back again and again, through any registry, until the run ends. */
  beginReading(): void {
    this.#reading = true;
    const next = (): void => {
      if (!this.#reading) return;
      this.read();
      this.#world.agenda.after(readEveryMs, next);
    };
    next();
  }

  endReading(): void {
    this.#reading = false;
  }

  /** Two operators send different configurations under one new number, at once. */
  race(): void {
    const number = this.#nextNumber();
    for (let operator = 0; operator < 2; operator += 1) {
      const configuration = { number, mark: this.#chance.whole(1, 1_000_000) };
      this.#sent.push(configuration);
      this.#submit(configuration, 4);
    }
  }

  /** One operator sends a configuration under a new number. */
  apply(): void {
    const configuration = { number: this.#nextNumber(), mark: this.#chance.whole(1, 1_000_000) };
    this.#sent.push(configuration);
    this.#submit(configuration, 4);
  }

  /** An order that was sent earlier comes again. */
  repeat(): void {
    const configuration = this.#chance.one(this.#sent);
    if (configuration !== undefined) this.#submit(configuration, 2);
  }

  /** A new release is ordered; origins of it need not stand. */
  orderRelease(): void {
    const service = this.#chance.one(this.#world.layout.services)?.name;
    if (service === undefined) return;
    this.#lastRelease += 1;
    const order = { service, target: `ordered-${this.#lastRelease}` };
    this.#ordered.push(order);
    this.#submitRelease(order, 3);
  }

  /** An order of a release that was sent lately comes again. */
  repeatRelease(): void {
    const order = this.#chance.one(this.#ordered.slice(-3));
    if (order !== undefined) this.#submitRelease(order, 2);
  }

  read(): void {
    const registry = this.#registry();
    if (registry === undefined) return;
    const open = this.#history.begin<ConfigurationRead>({
      kind: 'read',
      version: undefined,
      ending: 'unknown',
      startedAt: this.#world.agenda.now,
      endedAt: undefined,
    });
    registry.call({ verb: 'view', id: this.#call(), what: 'description' }, (told) => {
      if (told.status === 200) open.end({ ending: 'acknowledged', version: versionOf(told.body) });
      else open.end({ ending: 'unknown' });
    });
  }

  #nextNumber(): number {
    const known = this.#world.primary()?.state?.control.configuration?.offer.generation ?? 0;
    this.#lastNumber = Math.max(known, this.#lastNumber) + this.#chance.whole(1, numberStep);
    return this.#lastNumber;
  }

  #call(): ReturnType<typeof toCommandId> {
    this.#calls += 1;
    return toCommandId(`history-${this.#calls}`);
  }

  #registry(): SimRegistry | undefined {
    return this.#chance.one(this.#world.registries.filter((one) => one.alive && !one.frozen));
  }

  /** Sends an order, and again while it has no clear answer: each time a call of its own, to any registry. */
  #sendAgain(send: (done: (told: Told) => void) => void, tries: number): void {
    let answered = false;
    send((told) => {
      answered ||= endingOf(told.status) !== 'unknown';
    });
    this.#world.agenda.after(answerMs, () => {
      if (!answered && tries > 1) this.#sendAgain(send, tries - 1);
    });
  }

  #submit(configuration: Configuration, tries: number): void {
    const bundle = runToCompletion(
      splitIntoChunks(describe(this.#world.layout, configuration.mark)),
    );
    if (bundle.isErr) throw new Error(JSON.stringify(bundle.error));
    const { hash, chunkHashes, chunks } = bundle.value;
    const { number } = configuration;
    this.#sendAgain((done) => {
      const registry = this.#registry();
      if (registry === undefined) return;
      const open = this.#history.begin<ConfigurationWrite>({
        kind: 'write',
        numbered: true,
        version: { number, hash },
        ending: 'unknown',
        startedAt: this.#world.agenda.now,
        endedAt: undefined,
      });
      const id = this.#call();
      const asked = toGeneration(number);
      registry.call(
        {
          verb: 'apply',
          id,
          baseGeneration: undefined,
          requestedGeneration: asked,
          hash,
          chunkHashes,
          chunks,
        },
        (told) => {
          open.end({ ending: endingOf(told.status) });
          done(told);
        },
      );
    }, tries);
  }

  #submitRelease(
    order: { readonly service: ServiceName; readonly target: string },
    tries: number,
  ): void {
    const { service, target } = order;
    this.#sendAgain((done) => {
      const registry = this.#registry();
      if (registry === undefined) return;
      const open = this.#history.begin<ReleaseWrite>({
        kind: 'release',
        key: `${service} ${target}`,
        order: undefined,
        ending: 'unknown',
        startedAt: this.#world.agenda.now,
        endedAt: undefined,
      });
      registry.call(
        {
          verb: 'release',
          id: this.#call(),
          service,
          target: toRelease(target),
          spanMs: releaseSpanMs,
        },
        (told) => {
          open.end({ ending: endingOf(told.status), order: field(told.body, 'order') });
          done(told);
        },
      );
    }, tries);
  }
}
