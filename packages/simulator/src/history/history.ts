/** History of operators' commands to the control plane and the replies to them, as input of the checker. */

/** A configuration, identified by its number and content hash. */
export interface Version {
  readonly number: number;
  readonly hash: string;
}

/** A configuration as sent; without a number the control plane assigns the next one. */
export interface SentVersion {
  readonly number: number | undefined;
  readonly hash: string;
}

/** Outcome of an operation as its caller saw it. An unknown one may or may not have taken effect. */
export type Outcome = 'acknowledged' | 'rejected' | 'unknown';

interface Timed {
  readonly startedAt: number;
  /** Time of the reply; undefined while there is none. */
  readonly endedAt: number | undefined;
}

/** A write of a configuration. One without a number gets it with the acknowledgement. */
export interface ConfigurationWrite extends Timed {
  readonly kind: 'write';
  /** Whether the operator chose the number. */
  readonly isNumbered: boolean;
  readonly version: SentVersion;
  readonly outcome: Outcome;
}

/** A read of the current configuration; the version is undefined if there was none. */
export interface ConfigurationRead extends Timed {
  readonly kind: 'read';
  readonly outcome: 'acknowledged' | 'unknown';
  readonly version: Version | undefined;
}

/** A request to roll out a release of a service. */
export interface RolloutRequest extends Timed {
  readonly kind: 'rollout';
  /** Identifies the request; repetitions have the same key. */
  readonly key: string;
  readonly outcome: Outcome;
  /** Number of the rollout, once the request is acknowledged. */
  readonly rolloutNumber: number | undefined;
}

/** A purge of objects; `number` is set once it is acknowledged. */
export interface PurgeWrite extends Timed {
  readonly kind: 'purge';
  readonly outcome: Outcome;
  readonly number: number | undefined;
}

/** Any command of an operator. */
export type Operation = ConfigurationWrite | ConfigurationRead | RolloutRequest | PurgeWrite;

/** An operation without a reply yet; only the first call of `end` has an effect. */
export interface OpenOperation<O extends Operation> {
  end(change: Partial<Omit<O, 'kind' | 'startedAt' | 'endedAt'>>): void;
}

/** History of one run, ordered by the start of operations. */
export class History {
  readonly #operations: Operation[] = [];
  readonly #now: () => number;

  constructor(now: () => number) {
    this.#now = now;
  }

  get operations(): readonly Operation[] {
    return this.#operations;
  }

  /** Records the start of an operation. */
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
