/** Deterministic content of the objects of stub origins. */

import { createHash } from 'node:crypto';

const uint32Range = 2 ** 32;

const hashBlock = (seed: string): Buffer => createHash('sha512').update(seed).digest();

/** Returns the bytes of an object; a pure function of path, revision and size. */
export const objectBytes = (path: string, revision: number, size: number): Buffer => {
  const header = Buffer.from(`${path} r${revision}\n`);
  const fill = hashBlock(path);
  const content = Buffer.alloc(Math.max(size, header.length), fill);
  header.copy(content);
  return content;
};

/** Returns the size of an object in bytes: from `min` up to `max`, determined by its path. */
export const objectSize = (path: string, [min, max]: readonly [number, number]): number =>
  min + Math.floor((hashBlock(`size ${path}`).readUInt32BE(0) / uint32Range) * (max - min));
