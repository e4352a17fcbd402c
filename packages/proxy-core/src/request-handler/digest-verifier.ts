import { createHash, timingSafeEqual, type Hash } from 'node:crypto';
import { parseDictionary } from 'structured-headers';
import type { HeaderFields } from '@switchwheel/transport';
import { fieldValue } from '../cache/header-fields.js';

const digestAlgorithms = new Map([
  ['sha-256', 'sha256'],
  ['sha-512', 'sha512'],
]);

interface ExpectedDigest {
  readonly hash: Hash;
  readonly expected: Buffer;
}

/** The digests that an origin sent with a result, checked while its bytes go by. */
export class DigestVerifier {
  readonly #expectedDigests: ExpectedDigest[] = [];
  #isParsable = true;

  constructor(fields: HeaderFields) {
    for (const name of ['content-digest', 'repr-digest']) {
      const raw = fieldValue(fields, name);
      // The representation's digest is not that of a coded or partial body.
      if (
        raw === undefined ||
        (name === 'repr-digest' &&
          (fieldValue(fields, 'content-encoding') !== undefined ||
            fieldValue(fields, 'content-range') !== undefined))
      )
        continue;
      try {
        for (const [key, [value]] of parseDictionary(raw)) {
          const kind = digestAlgorithms.get(key);
          if (kind !== undefined && value instanceof ArrayBuffer)
            this.#expectedDigests.push({ hash: createHash(kind), expected: Buffer.from(value) });
        }
      } catch {
        this.#isParsable = false;
      }
    }
  }

  update(bytes: Uint8Array): void {
    for (const one of this.#expectedDigests) one.hash.update(bytes);
  }

  /** Whether all that went by fits; `none` if no digest was sent that is known here. */
  verify(): 'fits' | 'unlike' | 'none' {
    if (!this.#isParsable) return 'unlike';
    const fits = this.#expectedDigests.map((one) => {
      const own = one.hash.digest();
      return own.length === one.expected.length && timingSafeEqual(own, one.expected);
    });
    return fits.includes(false) ? 'unlike' : fits.length > 0 ? 'fits' : 'none';
  }
}
