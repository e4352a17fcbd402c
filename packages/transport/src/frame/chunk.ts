/** Frames for fetching the chunks of a configuration from a store or a registry. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { kind } from './schema-parts.js';

/** Schemas of the request for chunks and of the chunk. */
export const chunkFrames = [
  /** Requests the chunks with these hashes. */
  v.object({ kind: kind('piece-request'), node: types.nodeId, hashes: v.array(types.hash) }),
  /** Chunk of a configuration; the receiver verifies its hash. */
  v.object({ kind: kind('piece'), hash: types.hash, data: v.string() }),
] as const;
