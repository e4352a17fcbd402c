/** A digest of one run: numbers and identifiers of its data, and no name that the code gives to anything. */

import { createHash } from 'node:crypto';

/** What a digest is made of; something absent has its place too. */
export type DigestValue = string | number | boolean | undefined;

/** How many characters are gathered before they are hashed. */
const maxBufferedCharacters = 65_536;

/** Hashes one line after the other. */
export class RunDigest {
  readonly #hash = createHash('sha256');
  #buffered = '';

  add(...values: readonly DigestValue[]): void {
    this.#buffered += `${values.map(String).join(' ')}\n`;
    if (this.#buffered.length > maxBufferedCharacters) this.#flush();
  }

  /** The digest of all lines, in hexadecimal. */
  finish(): string {
    this.#flush();
    return this.#hash.digest('hex');
  }

  #flush(): void {
    this.#hash.update(this.#buffered);
    this.#buffered = '';
  }
}
