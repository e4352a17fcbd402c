import type {
  Address,
  InstanceId,
  ErrorKind,
  Timestamp,
  Seq,
  ServiceName,
} from '@switchwheel/types';
import type { Fields } from '@switchwheel/transport';
import type { Cabin, Entry } from '@switchwheel/proxy-core';
import type { Answer } from '../trip/trip.js';

/** The header names that callers and origins use, all in lower case. */
export interface Words {
  /** The id that each try of a caller bears, and that origins echo. */
  readonly id: string;
  /** Milliseconds that the caller, or the origin, has left. */
  readonly timeLeft: string;
  /** The one instance that may run a request. */
  readonly instance: string;
  /** Says that the origin did not run the request. */
  readonly unrun: string;
  /** What purges by tag go by. */
  readonly tags: string;
  /** Without it a success is not the origin's. */
  readonly proof: string | undefined;
}
export const plainWords: Words = {
  id: 'switchwheel-id',
  timeLeft: 'switchwheel-deadline-ms',
  instance: 'switchwheel-instance',
  unrun: 'switchwheel-unrun',
  tags: 'cache-tag',
  proof: undefined,
};

/** What the rules leave to one edge of the fleet. */
export interface Bounds {
  /** Extra legs: a share of the requests, and some more, in any window. */
  readonly extraShare: number;
  readonly extraSlack: number;
  readonly extraWindowMs: number;
  /** How much over its rate a service may be asked in any window. */
  readonly ceilingWindowMs: number;
  readonly ceilingOver: number;
  /** How long what is kept may be told after this edge last was known to have heard of every purge. */
  readonly keptMs: number;
  /** Within which span after its confirmation a description has to be in force. */
  readonly applyMs: number;
}
export const plainBounds: Bounds = {
  extraShare: 0.2,
  extraSlack: 60,
  extraWindowMs: 10_000,
  ceilingWindowMs: 5000,
  ceilingOver: 1.1,
  keptMs: 1500,
  applyMs: 2000,
};

/** A request as it came from a caller, with its whole body; names of fields as they came. */
export interface Call {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: Fields;
  readonly body: Buffer;
  readonly spanMs: number | undefined;
}

/** What a caller is told. */
export type Word =
  | {
      readonly kind: 'fault';
      readonly fault: ErrorKind;
      readonly text: string;
      readonly retryMs: number;
    }
  /** An object that may be shared, and the last purge that it is known to have outlived. */
  | {
      readonly kind: 'kept';
      readonly entry: Entry;
      readonly purged: Seq;
    }
  | { readonly kind: 'answer'; readonly answer: Answer };
export type Tell = (word: Word) => void;

/** A request on its way to one origin. */
export interface LegOrder {
  readonly service: ServiceName;
  readonly address: Address;
  readonly instance: InstanceId;
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly fields: Fields;
  readonly body: Buffer;
  readonly spanMs: number;
  /** Whether a connection of its own is opened for it: then a refusal to open is certain. */
  readonly fresh: boolean;
}

export interface LegEars {
  readonly answered: (answer: Answer) => void;
  readonly broke: (sent: boolean, text: string) => void;
}

/** Sends requests to origins; gives what to call to break one off. */
export interface LegPort {
  readonly send: (order: LegOrder, ears: LegEars) => () => void;
  /** Connections to an instance that is no more are closed when they are idle. */
  readonly forget: (instance: InstanceId) => void;
}

/** What the way of a request stands on. */
export interface Cab {
  readonly now: () => Timestamp;
  readonly cabin: () => Cabin;
}
