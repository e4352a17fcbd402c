/**
 * The digests that an origin sends with a response (RFC 9530, Content-Digest and Repr-Digest), checked
 * while its bytes come in.
 */

import { createHash, timingSafeEqual, type Hash } from 'node:crypto';
import { parseDictionary } from 'structured-headers';
import type { HeaderFields } from '@switchwheel/transport';
import { fieldValue } from '../cache/header-fields.js';

/** The algorithms that are checked, by their names in the fields and in Node.js. */
const digestAlgorithms = new Map([
  ['sha-256', 'sha256'],
  ['sha-512', 'sha512'],
]);

interface ExpectedDigest {
  readonly hash: Hash;
  readonly expected: Buffer;
}

/** Whether a digest field is one of the bytes that come in. */
const coversReceivedBytes = (name: string, fields: HeaderFields): boolean =>
  // The digest of the representation is not that of a coded or partial body.
  name === 'content-digest' ||
  (fieldValue(fields, 'content-encoding') === undefined &&
    fieldValue(fields, 'content-range') === undefined);

/** Checks the bytes of one response against the digests in its head. */
export class DigestVerifier {
  readonly #expectedDigests: ExpectedDigest[] = [];
  #isParsable = true;

  constructor(fields: HeaderFields) {
    for (const name of ['content-digest', 'repr-digest']) {
      const value = fieldValue(fields, name);
      if (value === undefined || !coversReceivedBytes(name, fields)) continue;
      try {
        this.#expect(value);
      } catch {
        this.#isParsable = false;
      }
    }
  }

  /** Takes bytes of the body in. */
  update(bytes: Uint8Array): void {
    for (const { hash } of this.#expectedDigests) hash.update(bytes);
  }

  /** Whether all that came in matches; `absent` if no digest was sent that is known here. */
  verify(): 'match' | 'mismatch' | 'absent' {
    if (!this.#isParsable) return 'mismatch';
    const matches = this.#expectedDigests.map(({ hash, expected }) => {
      const digest = hash.digest();
      return digest.length === expected.length && timingSafeEqual(digest, expected);
    });
    if (matches.includes(false)) return 'mismatch';
    return matches.length > 0 ? 'match' : 'absent';
  }

  #expect(field: string): void {
    for (const [name, [value]] of parseDictionary(field)) {
      const algorithm = digestAlgorithms.get(name);
      if (algorithm !== undefined && value instanceof ArrayBuffer)
        this.#expectedDigests.push({ hash: createHash(algorithm), expected: Buffer.from(value) });
    }
  }
}
