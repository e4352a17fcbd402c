/**
 * Verification of the digests that an origin sends with a response (RFC 9530, Content-Digest and
 * Repr-Digest) while its body is received.
 */

import { createHash, timingSafeEqual, type Hash } from 'node:crypto';
import { parseDictionary } from 'structured-headers';
import type { HeaderFields } from '@switchwheel/transport';
import { fieldValue } from '../cache/header-fields.js';

/** Supported algorithms: name in the field, name in Node.js. */
const digestAlgorithms = new Map([
  ['sha-256', 'sha256'],
  ['sha-512', 'sha512'],
]);

interface ExpectedDigest {
  readonly hash: Hash;
  readonly expected: Buffer;
}

/** Whether a digest field covers the bytes as received. */
const coversReceivedBytes = (name: string, fields: HeaderFields): boolean =>
  // The representation digest of an encoded or partial body differs from that of the bytes
  // received.
  name === 'content-digest' ||
  (fieldValue(fields, 'content-encoding') === undefined &&
    fieldValue(fields, 'content-range') === undefined);

/** Verifies the body of one response against the digests in its header fields. */
export class DigestVerifier {
  readonly #expectedDigests: ExpectedDigest[] = [];
  #isParsable = true;

  constructor(fields: HeaderFields) {
    for (const name of ['content-digest', 'repr-digest']) {
      const value = fieldValue(fields, name);
      if (value === undefined || !coversReceivedBytes(name, fields)) continue;
      try {
        this.#addExpectedDigests(value);
      } catch {
        this.#isParsable = false;
      }
    }
  }

  /** Adds received bytes of the body. */
  update(bytes: Uint8Array): void {
    for (const { hash } of this.#expectedDigests) hash.update(bytes);
  }

  /**
   * Compares the received bytes with all digests; returns `absent` if no supported digest was sent,
   * and `mismatch` if a digest field can't be parsed.
   */
  verify(): 'match' | 'mismatch' | 'absent' {
    if (!this.#isParsable) return 'mismatch';
    const matches = this.#expectedDigests.map(({ hash, expected }) => {
      const digest = hash.digest();
      return digest.length === expected.length && timingSafeEqual(digest, expected);
    });
    if (matches.includes(false)) return 'mismatch';
    return matches.length > 0 ? 'match' : 'absent';
  }

  #addExpectedDigests(field: string): void {
    for (const [name, [value]] of parseDictionary(field)) {
      const algorithm = digestAlgorithms.get(name);
      if (algorithm !== undefined && value instanceof ArrayBuffer)
        this.#expectedDigests.push({ hash: createHash(algorithm), expected: Buffer.from(value) });
    }
  }
}
