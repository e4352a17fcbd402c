/**
 * Ownership of objects by rendezvous hashing. When an edge joins or leaves, only its own objects change owner. Edges
 * that see the same members agree without communication.
 */

import type { Address } from '@switchwheel/types';

const fnvPrime = 0x01000193;
const fnvOffsetBasis = 0x811c9dc5;

/** FNV-1a hash over the UTF-16 code units of a text. */
const fnv1a = (text: string): number => {
  let hash = fnvOffsetBasis;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  return hash >>> 0;
};

/** Combines two hashes with the finalizer of MurmurHash3, so that every input bit affects all output bits. */
const mixHashes = (first: number, second: number): number => {
  let hash = first ^ Math.imul(second, 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Edges among which objects are distributed, with precomputed hashes. */
export class ObjectOwners {
  readonly #edges: readonly { readonly address: Address; readonly hash: number }[];

  constructor(addresses: readonly Address[]) {
    this.#edges = addresses.map((address) => ({ address, hash: fnv1a(address) }));
  }

  /** Returns the owner of an object among the available edges; undefined if none is available. */
  ownerOf(object: string, isAvailable: (address: Address) => boolean): Address | undefined {
    return this.ownersOf(object, 1, isAvailable)[0];
  }

  /**
   * Returns up to `count` available edges for an object, the owner first. Each of the others becomes the owner if those
   * before it leave.
   */
  ownersOf(
    object: string,
    count: number,
    isAvailable: (address: Address) => boolean,
  ): readonly Address[] {
    const objectHash = fnv1a(object);
    const owners: { readonly address: Address; readonly weight: number }[] = [];
    for (const { address, hash } of this.#edges) {
      const weight = mixHashes(objectHash, hash);
      const lowest = owners.at(-1);
      if (owners.length === count && lowest !== undefined && weight <= lowest.weight) continue;
      if (!isAvailable(address)) continue;
      const index = owners.findIndex((other) => weight > other.weight);
      owners.splice(index < 0 ? owners.length : index, 0, { address, weight });
      if (owners.length > count) owners.pop();
    }
    return owners.map(({ address }) => address);
  }
}
