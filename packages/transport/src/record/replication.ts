/** What stores tell each other about the replicated table. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { electorate } from './lease.js';

/** One change of the replicated table: sets a key's data, or deletes the key if the data is null. */
export const tableMutation = v.object({ key: v.string(), data: v.nullable(v.string()) });
/** See {@link tableMutation}. */
export type TableMutation = v.InferOutput<typeof tableMutation>;

/** A position in the order of all writes: by epoch, then by sequence number within it. */
export const logPosition = v.object({ epoch: types.epoch, seq: types.seq });
/** See {@link logPosition}. */
export type LogPosition = v.InferOutput<typeof logPosition>;

/** A store's own record of its cluster: who may become primary, and who votes. */
export const clusterMetadata = v.object({
  fleet: types.fleetId,
  epoch: types.epoch,
  inSyncSet: v.array(types.nodeId),
  stores: v.array(v.object({ node: types.nodeId, address: types.address })),
  electorate,
});
/** See {@link clusterMetadata}. */
export type ClusterMetadata = v.InferOutput<typeof clusterMetadata>;
