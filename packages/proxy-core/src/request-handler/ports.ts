import type { Address, InstanceId, ErrorKind, Timestamp } from '@switchwheel/types';
import type { HeaderFields, Frame } from '@switchwheel/transport';
import type { CacheEntry } from '../cache/cache.js';
import type { ProxyState, ProxyEvent } from '../proxy/state.js';

/** What the life of a request stands on: the machine, and the time. */
export interface HandlerContext {
  readonly now: () => Timestamp;
  readonly state: () => ProxyState;
  readonly dispatch: (make: (now: Timestamp) => ProxyEvent) => void;
}

/** A channel on which requests and results go. */
export interface DataChannel {
  readonly send: (frame: Frame) => void;
  readonly terminate: (why: string) => void;
}

/** What is heard on such a channel. */
export interface DataChannelHandlers {
  readonly up: () => void;
  readonly frame: (frame: Frame) => void;
  readonly closed: () => void;
}

/** How long a channel to a keeper may take to come up. */
export const connectTimeoutMs = 500;

/** Opens channels to keepers; one that does not come up soon is closed. */
export type OpenDataChannel = (to: Address, ears: DataChannelHandlers) => DataChannel;

/** How results are cut up on their way. */
export interface TransferLimits {
  /** Up to this many bytes a result is held until it is whole and checked. */
  readonly maxBufferedBytes: number;
  readonly chunkBytes: number;
  /** How far a streamed result may run ahead of its caller. */
  readonly windowBytes: number;
  /** How many requests may wait for fetches of others. */
  readonly maxCoalescedWaiters: number;
}
export const defaultTransferLimits: TransferLimits = {
  maxBufferedBytes: 4 * 1024 * 1024,
  chunkBytes: 64 * 1024,
  windowBytes: 512 * 1024,
  maxCoalescedWaiters: 2048,
};

/** A request as it came from a caller, with its whole body. */
export interface ClientRequest {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Uint8Array;
  /** Where the caller's channel comes from. */
  readonly remoteAddress: string;
}

/** What a caller is told at once. */
export type Reply =
  | {
      readonly kind: 'failure';
      readonly errorKind: ErrorKind;
      readonly text: string;
      readonly retryMs: number;
      readonly allowedMethods?: readonly string[];
    }
  | {
      readonly kind: 'cached';
      readonly entry: CacheEntry;
      readonly servedAt: Timestamp;
      readonly source: string;
    }
  | {
      readonly kind: 'complete';
      readonly status: number;
      readonly fields: HeaderFields;
      readonly body: Buffer;
      readonly source: string;
    };

/** Where a result goes that is told in parts. */
export interface ClientStream {
  /** Calls back when there is room for more. */
  readonly write: (bytes: Buffer, more: () => void) => void;
  readonly end: () => void;
  /** Breaks it off so that the caller sees it. */
  readonly abort: (why: string) => void;
}

export interface ClientConnection {
  readonly reply: (told: Reply) => void;
  readonly startStream: (
    status: number,
    fields: HeaderFields,
    length: number | undefined,
  ) => ClientStream;
}

/** One request to one origin. */
export interface AttemptRequest {
  readonly address: Address;
  readonly instance: InstanceId;
  readonly service: string;
  readonly method: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /** Whether a kept-open channel may be used: only where running twice does no harm. */
  readonly isIdempotent: boolean;
}

/** How a leg broke off, as its channel saw it. */
export interface AttemptFailure {
  /** Whether a byte of the request may have been handed over. */
  readonly mayHaveBeenSent: boolean;
  readonly isTimeout: boolean;
  readonly text: string;
}

/** What comes back from an origin. */
export interface AttemptHandlers {
  readonly head: (status: number, fields: HeaderFields) => void;
  readonly chunk: (bytes: Buffer, more: () => void) => void;
  readonly ended: () => void;
  readonly failed: (how: AttemptFailure) => void;
}

/** Channels to origins. */
export interface AttemptPort {
  readonly send: (name: string, request: AttemptRequest, ears: AttemptHandlers) => void;
  /** Gives a leg up: nothing more is heard of it. */
  readonly cancel: (name: string) => void;
}
