/**
 * Which edge of a zone owns an object: rendezvous hashing. An edge that comes or goes moves no objects but its own, and
 * all edges that see the same members agree without communicating.
 */

import type { Address } from '@switchwheel/types';

const fnvPrime = 0x01000193;
const fnvOffsetBasis = 0x811c9dc5;

/** FNV-1a over the UTF-16 units of a text. */
const fnv1a = (text: string): number => {
  let hash = fnvOffsetBasis;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  return hash >>> 0;
};

/** Mixes two hashes so that each bit of either changes half of the result (the finalizer of MurmurHash3). */
const mixHashes = (first: number, second: number): number => {
  let hash = first ^ Math.imul(second, 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** The edges among which objects are distributed, with their hashes at hand. */
export class ObjectOwners {
  readonly #edges: readonly { readonly address: Address; readonly hash: number }[];

  constructor(addresses: readonly Address[]) {
    this.#edges = addresses.map((address) => ({ address, hash: fnv1a(address) }));
  }

  /** The owner of an object among the edges that may be asked; undefined if none may. */
  ownerOf(object: string, isAvailable: (address: Address) => boolean): Address | undefined {
    const objectHash = fnv1a(object);
    let owner: Address | undefined;
    let highestWeight = -1;
    for (const { address, hash } of this.#edges) {
      const weight = mixHashes(objectHash, hash);
      if (weight <= highestWeight || !isAvailable(address)) continue;
      owner = address;
      highestWeight = weight;
    }
    return owner;
  }
}
