/** Records on leases and voters. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

/** Holder of a lease, as announced by itself after its election. */
export const leaseHolder = v.object({
  duty: types.leaseName,
  epoch: types.epoch,
  node: types.nodeId,
  address: types.address,
  door: v.optional(types.address),
});
/** Value of {@link leaseHolder}. */
export type LeaseHolder = v.InferOutput<typeof leaseHolder>;

/** Voters that may grant leases. Each change adds or removes one member and has a higher serial. */
export const electorate = v.object({
  serial: types.seq,
  members: v.array(v.object({ node: types.nodeId, address: types.address })),
});
/** Value of {@link electorate}. */
export type Electorate = v.InferOutput<typeof electorate>;

/** Last grant of a lease by a voter, which its peers store so that it can recover after a restart. */
export const leaseGrantRecord = v.object({
  duty: types.leaseName,
  epoch: types.epoch,
  node: types.nodeId,
  inSyncSet: v.array(types.nodeId),
});
/** Value of {@link leaseGrantRecord}. */
export type LeaseGrantRecord = v.InferOutput<typeof leaseGrantRecord>;
