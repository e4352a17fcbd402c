import type { Address, InstanceId, ErrorKind, Timestamp } from '@switchwheel/types';
import type { Fields, Frame } from '@switchwheel/transport';
import type { Entry } from '../cache/cache.js';
import type { Proxy, ProxyEvent } from '../proxy/state.js';

/** What the life of a request stands on: the machine, and the time. */
export interface Cab {
  readonly now: () => Timestamp;
  readonly state: () => Proxy;
  readonly tell: (make: (now: Timestamp) => ProxyEvent) => void;
}

/** A channel on which requests and results go. */
export interface DataChannel {
  readonly send: (frame: Frame) => void;
  readonly terminate: (why: string) => void;
}

/** What is heard on such a channel. */
export interface DataEars {
  readonly up: () => void;
  readonly frame: (frame: Frame) => void;
  readonly closed: () => void;
}

/** How long a channel to a keeper may take to come up. */
export const dialSpan = 500;

/** Opens channels to keepers; one that does not come up soon is closed. */
export type Dial = (to: Address, ears: DataEars) => DataChannel;

/** How results are cut up on their way. */
export interface Measures {
  /** Up to this many bytes a result is held until it is whole and checked. */
  readonly whole: number;
  readonly chunk: number;
  /** How far a streamed result may run ahead of its caller. */
  readonly ahead: number;
  /** How many requests may wait for fetches of others. */
  readonly joiners: number;
}
export const measures: Measures = {
  whole: 4 * 1024 * 1024,
  chunk: 64 * 1024,
  ahead: 512 * 1024,
  joiners: 2048,
};

/** A request as it came from a caller, with its whole body. */
export interface Call {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: Fields;
  readonly body: Uint8Array;
  /** Where the caller's channel comes from. */
  readonly remote: string;
}

/** What a caller is told at once. */
export type Told =
  | {
      readonly kind: 'fault';
      readonly fault: ErrorKind;
      readonly text: string;
      readonly retryMs: number;
      readonly allow?: readonly string[];
    }
  | { readonly kind: 'entry'; readonly entry: Entry; readonly at: Timestamp; readonly from: string }
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly fields: Fields;
      readonly body: Buffer;
      readonly from: string;
    };

/** Where a result goes that is told in parts. */
export interface Spout {
  /** Calls back when there is room for more. */
  readonly write: (bytes: Buffer, more: () => void) => void;
  readonly end: () => void;
  /** Breaks it off so that the caller sees it. */
  readonly snap: (why: string) => void;
}

export interface Caller {
  readonly tell: (told: Told) => void;
  readonly stream: (status: number, fields: Fields, length: number | undefined) => Spout;
}

/** One request to one origin. */
export interface LegRequest {
  readonly address: Address;
  readonly instance: InstanceId;
  readonly service: string;
  readonly method: string;
  readonly target: string;
  readonly fields: Fields;
  readonly body: Uint8Array;
  readonly spanMs: number;
  /** Whether a kept-open channel may be used: only where running twice does no harm. */
  readonly repeatable: boolean;
}

/** How a leg broke off, as its channel saw it. */
export interface Broke {
  /** Whether a byte of the request may have been handed over. */
  readonly opened: boolean;
  readonly slow: boolean;
  readonly text: string;
}

/** What comes back from an origin. */
export interface LegEars {
  readonly head: (status: number, fields: Fields) => void;
  readonly part: (bytes: Buffer, more: () => void) => void;
  readonly ended: () => void;
  readonly broke: (how: Broke) => void;
}

/** Channels to origins. */
export interface LegPort {
  readonly send: (name: string, request: LegRequest, ears: LegEars) => void;
  /** Gives a leg up: nothing more is heard of it. */
  readonly drop: (name: string) => void;
}
