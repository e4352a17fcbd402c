/** Records on configurations and cache purges. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

/** Cached objects that a purge removes: those of a path (on one host or all), those with a tag, or all. */
export const purgeTarget = v.variant('by', [
  v.object({ by: v.literal('object'), host: v.optional(v.string()), path: v.string() }),
  v.object({ by: v.literal('tag'), tag: v.string() }),
  v.object({ by: v.literal('all') }),
]);
/** Value of {@link purgeTarget}. */
export type PurgeTarget = v.InferOutput<typeof purgeTarget>;

/** Batch of purges; batches are applied in the order of their sequence numbers. */
export const purge = v.object({ seq: types.seq, aims: v.array(purgeTarget) });
/** Value of {@link purge}. */
export type Purge = v.InferOutput<typeof purge>;

/** Manifest of a configuration: the hashes of its chunks, which are fetched separately. */
export const configManifest = v.object({
  generation: types.generation,
  hash: types.hash,
  pieces: v.array(types.hash),
});
/** Value of {@link configManifest}. */
export type ConfigManifest = v.InferOutput<typeof configManifest>;
