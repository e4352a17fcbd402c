/** Digest of one run. It holds only data of the run, no names from the code, so that renames do not change it. */

import { createHash } from 'node:crypto';

/** A value in a digest; an absent value is hashed as `undefined`. */
export type DigestValue = string | number | boolean | undefined;

/** Number of characters that are collected before they are hashed. */
const maxBufferedCharacters = 65_536;

/** Incremental hash of a sequence of lines. */
export class RunDigest {
  readonly #hash = createHash('sha256');
  #buffered = '';

  add(...values: readonly DigestValue[]): void {
    this.#buffered += `${values.map(String).join(' ')}\n`;
    if (this.#buffered.length > maxBufferedCharacters) this.#flush();
  }

  /** Returns the digest of all lines in hexadecimal. */
  finish(): string {
    this.#flush();
    return this.#hash.digest('hex');
  }

  #flush(): void {
    this.#hash.update(this.#buffered);
    this.#buffered = '';
  }
}
