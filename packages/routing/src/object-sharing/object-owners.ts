/**
 * Which edge of an area owns an object: rendezvous hashing, so that an edge that comes or goes moves no objects but its
 * own, and all edges that see the same members agree without a word.
 */
import type { Address } from '@switchwheel/types';

const fnvPrime = 0x01000193;
const fnvOffsetBasis = 0x811c9dc5;

/** FNV-1a over the UTF-16 units of a text. */
const fnv1a = (text: string): number => {
  let hash = fnvOffsetBasis;
  for (let at = 0; at < text.length; at += 1)
    hash = Math.imul(hash ^ text.charCodeAt(at), fnvPrime);
  return hash >>> 0;
};

/** Mixes two hashes so that each bit of either moves half of the result (the finalizer of MurmurHash3). */
const mixHashes = (one: number, two: number): number => {
  let hash = one ^ Math.imul(two, 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** The edges among which objects are shared out, with their hashes at hand. */
export class ObjectOwners {
  readonly #hashes: readonly { readonly address: Address; readonly hash: number }[];

  constructor(addresses: readonly Address[]) {
    this.#hashes = addresses.map((address) => ({ address, hash: fnv1a(address) }));
  }

  get size(): number {
    return this.#hashes.length;
  }

  /** The owner of an object among the edges that may be asked. */
  ownerOf(object: string, mayAsk: (address: Address) => boolean): Address | undefined {
    const hash = fnv1a(object);
    let best: Address | undefined;
    let highest = -1;
    for (const one of this.#hashes) {
      const weight = mixHashes(hash, one.hash);
      if (weight <= highest || !mayAsk(one.address)) continue;
      best = one.address;
      highest = weight;
    }
    return best;
  }
}
