/** What operators requested of the control side, when, and the replies they got: the record that the checker judges. */

/** A configuration as its number and the hash of its content. */
export interface Version {
  readonly number: number;
  readonly hash: string;
}

/** A configuration as it is sent; without a number the control side gives it the next one. */
export interface SentVersion {
  readonly number: number | undefined;
  readonly hash: string;
}

/** How an operation ended, as its caller saw it. An unknown one may or may not have taken effect. */
export type Outcome = 'acknowledged' | 'refused' | 'unknown';

interface Timed {
  readonly startedAt: number;
  /** When the answer came; an operation without one has not ended. */
  readonly endedAt: number | undefined;
}

/** A configuration was handed in. One without a number has it once it is acknowledged. */
export interface ConfigurationWrite extends Timed {
  readonly kind: 'write';
  /** Whether the operator gave the number. */
  readonly isNumbered: boolean;
  readonly version: SentVersion;
  readonly outcome: Outcome;
}

/** The configuration was read back; undefined if none was there yet. */
export interface ConfigurationRead extends Timed {
  readonly kind: 'read';
  readonly outcome: 'acknowledged' | 'unknown';
  readonly version: Version | undefined;
}

/** An order to move a service to a release; sent again it bears the same key. */
export interface RolloutRequest extends Timed {
  readonly kind: 'release';
  /** Names the order itself, whatever often it is sent. */
  readonly key: string;
  readonly outcome: Outcome;
  /** The number under which the control side runs it, where it is acknowledged. */
  readonly rolloutNumber: number | undefined;
}

/** Objects were purged; `number` is that of the purge, where it is acknowledged. */
export interface PurgeWrite extends Timed {
  readonly kind: 'purge';
  readonly outcome: Outcome;
  readonly number: number | undefined;
}

/** Any operation of an operator. */
export type Operation = ConfigurationWrite | ConfigurationRead | RolloutRequest | PurgeWrite;

/** An operation that has no answer yet: ended by exactly one call of `end`. */
export interface OpenOperation<O extends Operation> {
  end(change: Partial<Omit<O, 'kind' | 'startedAt' | 'endedAt'>>): void;
}

/** The history of one run, in the order in which operations began. */
export class History {
  readonly #operations: Operation[] = [];
  readonly #now: () => number;

  constructor(now: () => number) {
    this.#now = now;
  }

  get operations(): readonly Operation[] {
    return this.#operations;
  }

  /** Notes that an operation begins: unknown until it is ended. */
  begin<T extends Operation>(operation: T): OpenOperation<T> {
    const index = this.#operations.length;
    this.#operations.push(operation);
    let isOpen = true;
    return {
      end: (change) => {
        if (!isOpen) return;
        isOpen = false;
        this.#operations[index] = { ...operation, ...change, endedAt: this.#now() };
      },
    };
  }
}
