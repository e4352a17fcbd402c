/** What processes tell each other about leases. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

/** Who holds a lease, as the holder announced after its election. */
export const leaseHolder = v.object({
  duty: types.leaseName,
  epoch: types.epoch,
  node: types.nodeId,
  address: types.address,
  door: v.optional(types.address),
});
/** See {@link leaseHolder}. */
export type LeaseHolder = v.InferOutput<typeof leaseHolder>;

/** The voters that may grant leases; changed by one member at a time, each change with a higher serial. */
export const electorate = v.object({
  serial: types.seq,
  members: v.array(v.object({ node: types.nodeId, address: types.address })),
});
/** See {@link electorate}. */
export type Electorate = v.InferOutput<typeof electorate>;

/** What a voter granted last of a lease, as its peers remember it for a restarted voter. */
export const leaseGrantRecord = v.object({
  duty: types.leaseName,
  epoch: types.epoch,
  node: types.nodeId,
  inSyncSet: v.array(types.nodeId),
});
/** See {@link leaseGrantRecord}. */
export type LeaseGrantRecord = v.InferOutput<typeof leaseGrantRecord>;
