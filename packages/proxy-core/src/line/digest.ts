import { createHash, timingSafeEqual, type Hash } from 'node:crypto';
import { parseDictionary } from 'structured-headers';
import type { Fields } from '@switchwheel/transport';
import { fieldOf } from '../cache/fields.js';

const names = new Map([
  ['sha-256', 'sha256'],
  ['sha-512', 'sha512'],
]);

interface Claim {
  readonly sum: Hash;
  readonly told: Buffer;
}

/** The digests that an origin sent with a result, checked while its bytes go by. */
export class Seal {
  readonly #claims: Claim[] = [];
  #legible = true;

  constructor(fields: Fields) {
    for (const name of ['content-digest', 'repr-digest']) {
      const raw = fieldOf(fields, name);
      // The representation's digest is not that of a coded or partial body.
      if (
        raw === undefined ||
        (name === 'repr-digest' &&
          (fieldOf(fields, 'content-encoding') !== undefined ||
            fieldOf(fields, 'content-range') !== undefined))
      )
        continue;
      try {
        for (const [key, [value]] of parseDictionary(raw)) {
          const kind = names.get(key);
          if (kind !== undefined && value instanceof ArrayBuffer)
            this.#claims.push({ sum: createHash(kind), told: Buffer.from(value) });
        }
      } catch {
        this.#legible = false;
      }
    }
  }

  add(bytes: Uint8Array): void {
    for (const one of this.#claims) one.sum.update(bytes);
  }

  /** Whether all that went by fits; `none` if no digest was sent that is known here. */
  verdict(): 'fits' | 'unlike' | 'none' {
    if (!this.#legible) return 'unlike';
    const fits = this.#claims.map((one) => {
      const own = one.sum.digest();
      return own.length === one.told.length && timingSafeEqual(own, one.told);
    });
    return fits.includes(false) ? 'unlike' : fits.length > 0 ? 'fits' : 'none';
  }
}
