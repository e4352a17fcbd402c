import { createHash } from 'node:crypto';

const hashBlock = (seed: string): Buffer => createHash('sha512').update(seed).digest();

/** The bytes of an object: any stand-in makes the same from path, revision and size. */
export const objectBytes = (path: string, revision: number, size: number): Buffer => {
  const head = Buffer.from(`${path} r${revision}\n`);
  const fill = hashBlock(path);
  const out = Buffer.alloc(Math.max(size, head.length), fill);
  head.copy(out);
  return out;
};

/** The size of an object between two bounds, always the same for a path. */
export const objectSize = (path: string, [least, most]: readonly [number, number]): number =>
  least + Math.floor((hashBlock(`size ${path}`).readUInt32BE(0) / 4294967296) * (most - least));
