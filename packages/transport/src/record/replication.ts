/** Records on the replicated table of the stores. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { electorate } from './lease.js';

/** Change of the replicated table: sets the data of a key, or deletes the key if the data is null. */
export const tableMutation = v.object({ key: v.string(), data: v.nullable(v.string()) });
/** Value of {@link tableMutation}. */
export type TableMutation = v.InferOutput<typeof tableMutation>;

/** Position of a write in the log, ordered by epoch and then by sequence number. */
export const logPosition = v.object({ epoch: types.epoch, seq: types.seq });
/** Value of {@link logPosition}. */
export type LogPosition = v.InferOutput<typeof logPosition>;

/** Cluster membership that each store persists: the stores, their in-sync set, and the electorate. */
export const clusterMetadata = v.object({
  fleet: types.fleetId,
  epoch: types.epoch,
  inSyncSet: v.array(types.nodeId),
  stores: v.array(v.object({ node: types.nodeId, address: types.address })),
  electorate,
});
/** Value of {@link clusterMetadata}. */
export type ClusterMetadata = v.InferOutput<typeof clusterMetadata>;
