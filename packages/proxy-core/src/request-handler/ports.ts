/**
 * What the request handlers need of the program around them: data channels between edges and
 * shields, connections of clients, attempts at origins. The simulator has its own of each.
 */

import type { Address, InstanceId, ErrorKind, Timestamp } from '@switchwheel/types';
import type { HeaderFields, Frame } from '@switchwheel/transport';
import type { CacheEntry } from '../cache/cache.js';
import type { ProxyState, ProxyEvent } from '../proxy/state.js';

/** The proxy that a request handler belongs to: its clock, its state, and its reducer. */
export interface HandlerContext {
  readonly now: () => Timestamp;
  readonly state: () => ProxyState;
  readonly dispatch: (createEvent: (now: Timestamp) => ProxyEvent) => void;
}

/** A channel between an edge and a shield. */
export interface DataChannel {
  readonly send: (frame: Frame) => void;
  readonly terminate: (reason: string) => void;
}

/** What comes in on such a channel. */
export interface DataChannelHandlers {
  readonly onOpen: () => void;
  readonly onFrame: (frame: Frame) => void;
  readonly onClosed: () => void;
}

/** How long a channel to a service leader may take to open. */
export const connectTimeoutMs = 500;

/** Opens a channel to a service leader; one that does not open within the time-out is closed. */
export type OpenDataChannel = (to: Address, handlers: DataChannelHandlers) => DataChannel;

/** How responses are buffered and cut up on their way. */
export interface TransferLimits {
  /** Up to this many bytes a response is buffered until it is complete and verified. */
  readonly maxBufferedBytes: number;
  readonly chunkBytes: number;
  /** How many bytes of a streamed response may be under way to its client (flow control). */
  readonly windowBytes: number;
  /** How many requests may wait for the fetches of others. */
  readonly maxCoalescedWaiters: number;
}

/** The limits of a proxy outside tests. */
export const defaultTransferLimits: TransferLimits = {
  maxBufferedBytes: 4 * 1024 * 1024,
  chunkBytes: 64 * 1024,
  windowBytes: 512 * 1024,
  maxCoalescedWaiters: 2048,
};

/** A request as it came from a client, with its whole body. */
export interface ClientRequest {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Uint8Array;
  /** The client's address. */
  readonly remoteAddress: string;
}

/** What a client gets at once, as opposed to a response in parts. */
export type Reply =
  | {
      readonly kind: 'failure';
      readonly errorKind: ErrorKind;
      readonly text: string;
      readonly retryAfterMs: number;
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

/** A response that goes to a client in parts. */
export interface ClientStream {
  /** Calls back when there is room for more. */
  readonly write: (bytes: Buffer, onReady: () => void) => void;
  readonly end: () => void;
  /** Breaks it off so that the client sees that it is not complete. */
  readonly abort: (reason: string) => void;
}

/** The client of one request: it gets a reply, or a response in parts. */
export interface ClientConnection {
  readonly reply: (reply: Reply) => void;
  readonly startStream: (
    status: number,
    fields: HeaderFields,
    length: number | undefined,
  ) => ClientStream;
}

/** One attempt of a request at one origin. */
export interface AttemptRequest {
  readonly address: Address;
  readonly instance: InstanceId;
  readonly service: string;
  readonly method: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /** Whether a kept-alive connection may be used: only where running twice does no harm. */
  readonly isIdempotent: boolean;
}

/** How an attempt failed, as its connection saw it. */
export interface AttemptFailure {
  /** Whether a byte of the request may have been sent. */
  readonly mayHaveBeenSent: boolean;
  readonly isTimeout: boolean;
  readonly text: string;
}

/** What comes back from an origin. */
export interface AttemptHandlers {
  readonly onHead: (status: number, fields: HeaderFields) => void;
  readonly onChunk: (bytes: Buffer, onReady: () => void) => void;
  readonly onEnd: () => void;
  readonly onFailed: (failure: AttemptFailure) => void;
}

/** Connections to origins. */
export interface AttemptPort {
  readonly send: (name: string, request: AttemptRequest, handlers: AttemptHandlers) => void;
  /** Gives an attempt up: none of its handlers is called any more. */
  readonly cancel: (name: string) => void;
}
