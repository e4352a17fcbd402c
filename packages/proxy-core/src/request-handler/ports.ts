/**
 * Interfaces of the request handlers to the program: data channels between edges and shields,
 * client connections, attempts at origins. The simulator provides its own implementations.
 */

import type { Address, InstanceId, ErrorKind, Timestamp } from '@switchwheel/types';
import type { HeaderFields, Frame } from '@switchwheel/transport';
import type { CacheEntry } from '../cache/cache.js';
import type { ProxyState, ProxyEvent } from '../proxy/state.js';

/** Proxy that a request handler belongs to: its clock, its state and its reducer. */
export interface HandlerContext {
  readonly now: () => Timestamp;
  readonly state: () => ProxyState;
  readonly dispatch: (createEvent: (now: Timestamp) => ProxyEvent) => void;
}

/** Data channel between an edge and a shield. */
export interface DataChannel {
  readonly send: (frame: Frame) => void;
  readonly terminate: (reason: string) => void;
}

/** Handlers for the events of a data channel. */
export interface DataChannelHandlers {
  readonly onOpen: () => void;
  readonly onFrame: (frame: Frame) => void;
  readonly onClosed: () => void;
}

/** Time limit for opening a channel to a service leader. */
export const connectTimeoutMs = 500;

/** Opens a channel to a service leader; one that does not open in time is closed. */
export type OpenDataChannel = (to: Address, handlers: DataChannelHandlers) => DataChannel;

/** Limits for buffering, chunking and coalescing. */
export interface TransferLimits {
  /**
   * Maximum size of a response that is buffered until it is complete and verified; larger ones are
   * streamed.
   */
  readonly maxBufferedBytes: number;
  readonly chunkBytes: number;
  /** Flow-control window: maximum number of unacknowledged bytes of a streamed response. */
  readonly windowBytes: number;
  /** Maximum number of requests that wait for the fetches of others. */
  readonly maxCoalescedWaiters: number;
}

/** Default limits. */
export const defaultTransferLimits: TransferLimits = {
  maxBufferedBytes: 4 * 1024 * 1024,
  chunkBytes: 64 * 1024,
  windowBytes: 512 * 1024,
  maxCoalescedWaiters: 2048,
};

/** Request of a client, with its complete body. */
export interface ClientRequest {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Uint8Array;
  /** The client's address. */
  readonly remoteAddress: string;
}

/** Complete reply to a client, as opposed to a streamed response. */
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

/** Response streamed to a client. */
export interface ClientStream {
  /** Writes bytes; calls `onReady` once there is room for more. */
  readonly write: (bytes: Buffer, onReady: () => void) => void;
  readonly end: () => void;
  /** Aborts the response in a way that the client recognizes as incomplete. */
  readonly abort: (reason: string) => void;
}

/** Connection to the client of one request, which gets a reply or a streamed response. */
export interface ClientConnection {
  readonly reply: (reply: Reply) => void;
  readonly startStream: (
    status: number,
    fields: HeaderFields,
    length: number | undefined,
  ) => ClientStream;
}

/** Request of an attempt at an origin. */
export interface OriginAttemptRequest {
  readonly address: Address;
  readonly instance: InstanceId;
  readonly service: string;
  readonly method: string;
  readonly target: string;
  readonly fields: HeaderFields;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /** Whether the request is idempotent. Only then may it be sent on a kept-alive connection. */
  readonly isIdempotent: boolean;
}

/** Failure of an attempt, as reported by its connection. */
export interface AttemptFailure {
  /** Whether a byte of the request may have been sent. */
  readonly mayHaveBeenSent: boolean;
  readonly isTimeout: boolean;
  readonly text: string;
}

/**
 * Handlers for the response of an origin. `onReady` is to be called when more bytes are accepted.
 */
export interface OriginAttemptHandlers {
  readonly onHead: (status: number, fields: HeaderFields) => void;
  readonly onChunk: (bytes: Buffer, onReady: () => void) => void;
  readonly onEnd: () => void;
  readonly onFailed: (failure: AttemptFailure) => void;
}

/** Connections to origins. `attemptKey` identifies an attempt. */
export interface AttemptPort {
  readonly send: (
    attemptKey: string,
    request: OriginAttemptRequest,
    handlers: OriginAttemptHandlers,
  ) => void;
  /** Cancels an attempt; none of its handlers is called afterwards. */
  readonly cancel: (attemptKey: string) => void;
}
