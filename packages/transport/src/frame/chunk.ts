/** Frames by which any process fetches the chunks of a configuration from a store or a registry. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { kind } from './schema-parts.js';

/** See the module's comment. */
export const chunkFrames = [
  v.object({ kind: kind('piece-request'), node: types.nodeId, hashes: v.array(types.hash) }),
  /** One chunk; its receiver checks the hash. */
  v.object({ kind: kind('piece'), hash: types.hash, data: v.string() }),
] as const;
