/** What processes tell each other about configurations and cache purges. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

/** Which cached objects a purge removes: one path (of one host or of all), one tag, or all. */
export const purgeTarget = v.variant('by', [
  v.object({ by: v.literal('object'), host: v.optional(v.string()), path: v.string() }),
  v.object({ by: v.literal('tag'), tag: v.string() }),
  v.object({ by: v.literal('all') }),
]);
/** See {@link purgeTarget}. */
export type PurgeTarget = v.InferOutput<typeof purgeTarget>;

/** A batch of purges; batches apply in the order of their sequence numbers. */
export const purge = v.object({ seq: types.seq, aims: v.array(purgeTarget) });
/** See {@link purge}. */
export type Purge = v.InferOutput<typeof purge>;

/** A whole configuration by the hashes of its chunks, which are fetched separately. */
export const configManifest = v.object({
  generation: types.generation,
  hash: types.hash,
  pieces: v.array(types.hash),
});
/** See {@link configManifest}. */
export type ConfigManifest = v.InferOutput<typeof configManifest>;
