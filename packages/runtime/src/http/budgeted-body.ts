/** Reading of request bodies into memory that is taken from a budget before it is used. */

import type { IncomingMessage } from 'node:http';
import { type Result, err, ok } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';
import { type ByteBudget, type ByteLease, smallBodyBytes } from '../memory/byte-budget.js';

/** Factor by which the buffer of a body of unknown length grows. */
const growthFactor = 4;

/** A body in memory. */
export interface HeldBody {
  readonly bytes: Buffer;
  /** Returns the body's bytes to the budget. */
  readonly release: () => void;
}

/** Limits for reading one body. */
export interface BodyReadOptions {
  readonly maxBytes: number;
  readonly budget: ByteBudget;
  /** Time for which the body may wait for bytes of the budget. */
  readonly maxWaitMs: number;
}

type ReadResult<T> = Result<T, Failure>;

const brokenOff = (): Failure => failure('malformed', 'the body broke off');

const emptyBuffer: Buffer = Buffer.alloc(0);

/** Reads one body. */
class BodyReader {
  readonly #request: IncomingMessage;
  readonly #options: BodyReadOptions;
  readonly #declaredBytes: number | undefined;
  readonly #lease: ByteLease;
  readonly #startedAt = performance.now();
  /** Bytes that the body may take now. */
  #capacity = 0;
  #buffer = emptyBuffer;
  #size = 0;

  constructor(request: IncomingMessage, options: BodyReadOptions) {
    this.#request = request;
    this.#options = options;
    this.#declaredBytes = declaredBytesOf(request);
    this.#lease = options.budget.lease(this.#declaredBytes ?? options.maxBytes);
  }

  async read(): Promise<ReadResult<HeldBody>> {
    const result = await this.#readAll();
    if (result.isErr) {
      this.#lease.release();
      return err(result.error);
    }
    this.#lease.shrinkTo(this.#size);
    return ok({ bytes: result.value, release: () => this.#lease.release() });
  }

  async #readAll(): Promise<ReadResult<Buffer>> {
    const { maxBytes } = this.#options;
    if (this.#declaredBytes !== undefined && this.#declaredBytes > maxBytes)
      return err(this.#oversized());
    const refusal = await this.#extendTo(this.#declaredBytes ?? Math.min(smallBodyBytes, maxBytes));
    if (refusal !== undefined) return err(refusal);
    try {
      // Destroying the request would end the connection before the refusal is sent.
      for await (const chunk of this.#request.iterator({ destroyOnReturn: false })) {
        if (!Buffer.isBuffer(chunk)) continue;
        const failureOfChunk = await this.#append(chunk);
        if (failureOfChunk !== undefined) return err(failureOfChunk);
      }
    } catch {
      return err(brokenOff());
    }
    return ok(this.#buffer.subarray(0, this.#size));
  }

  async #append(chunk: Buffer): Promise<Failure | undefined> {
    const size = this.#size + chunk.length;
    if (size > this.#options.maxBytes) return this.#oversized();
    if (size > this.#capacity) {
      const grownBytes = Math.max(size, this.#capacity * growthFactor);
      const refusal = await this.#extendTo(Math.min(grownBytes, this.#options.maxBytes));
      if (refusal !== undefined) return refusal;
    }
    if (size === this.#declaredBytes && this.#size === 0) this.#buffer = chunk;
    else this.#copy(chunk);
    this.#size = size;
    return undefined;
  }

  /** Copies a chunk into one buffer for the whole capacity; memory that is not written yet is not in use. */
  #copy(chunk: Buffer): void {
    if (this.#buffer.length < this.#capacity) {
      const grown = Buffer.allocUnsafeSlow(this.#capacity);
      this.#buffer.copy(grown, 0, 0, this.#size);
      this.#buffer = grown;
    }
    chunk.copy(this.#buffer, this.#size);
  }

  /** Takes bytes from the budget, waiting for them if necessary; returns the reason if they can't be had in time. */
  async #extendTo(bytes: number): Promise<Failure | undefined> {
    if (!this.#lease.tryExtendTo(bytes) && !(await this.#waitFor(bytes)))
      return this.#request.destroyed
        ? brokenOff()
        : failure('rejected', 'the bodies of other requests fill the memory for them');
    this.#capacity = bytes;
    return undefined;
  }

  async #waitFor(bytes: number): Promise<boolean> {
    const wait = new AbortController();
    const end = (): void => wait.abort();
    const leftMs = this.#options.maxWaitMs - (performance.now() - this.#startedAt);
    const timer = setTimeout(end, Math.max(0, leftMs));
    this.#request.once('close', end);
    const isGranted = await this.#lease.extendTo(bytes, wait.signal);
    clearTimeout(timer);
    this.#request.off('close', end);
    return isGranted;
  }

  #oversized(): Failure {
    return failure('oversized', `a body of at most ${this.#options.maxBytes} bytes`);
  }
}

const declaredBytesOf = ({ headers }: IncomingMessage): number | undefined => {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
};

/**
 * Reads a whole body. Waits, without reading, while its bytes are not available; fails as `rejected` if they are not in
 * time, as `oversized` as soon as the declared or received length exceeds the limit, and as `malformed` if the client
 * aborts the request.
 */
export const readBudgetedBody = (
  request: IncomingMessage,
  options: BodyReadOptions,
): Promise<ReadResult<HeldBody>> => new BodyReader(request, options).read();
