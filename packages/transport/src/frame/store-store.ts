/** Frames between stores: replication of writes, and resync of a replica. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { clusterMetadata, logPosition, tableMutation } from '../record/replication.js';
import { kind } from './schema-parts.js';

/** Schemas of the frames for replication, replica status and resync; `stamp` is a log position. */
export const storeStoreFrames = [
  /** Write of the primary: mutations at a log position, which apply only directly after the prior position. */
  v.object({
    kind: kind('replicate'),
    metadata: clusterMetadata,
    stamp: logPosition,
    prior: logPosition,
    puts: v.array(tableMutation),
  }),
  /** Acknowledgement of a write by a replica, with the reason if it failed. */
  v.object({
    kind: kind('replicated'),
    node: types.nodeId,
    epoch: types.epoch,
    seq: types.seq,
    /** Epoch of the cluster metadata that is stored on the replica's disk with the write. */
    metadataEpoch: types.epoch,
    ok: v.boolean(),
    text: v.string(),
  }),
  /** Periodic status of a store for the other stores. */
  v.object({
    kind: kind('replica-status'),
    node: types.nodeId,
    metadata: v.optional(clusterMetadata),
    stamp: logPosition,
    primary: v.boolean(),
    /** Whether the store can't write because its disk is full or does not respond. */
    full: v.boolean(),
    /** Whether this store is shutting down, so that another store should replace it as a replica. */
    leaving: v.optional(v.boolean()),
    /** Digest of each range of the table; empty unless the store needs a resync. */
    digests: v.array(v.string()),
    at: types.timestamp,
  }),
  /** Keys and log positions of a range of the primary's table, for a replica whose digest differs. */
  v.object({
    kind: kind('range-listing'),
    epoch: types.epoch,
    stamp: logPosition,
    range: v.number(),
    keys: v.array(v.object({ key: v.string(), stamp: logPosition })),
  }),
  /** Requests the entries that the replica lacks or has at another log position. */
  v.object({
    kind: kind('fetch-entries'),
    node: types.nodeId,
    epoch: types.epoch,
    keys: v.array(v.string()),
  }),
  /** Entries that the replica requested, and the end of the resync. */
  v.object({
    kind: kind('resync-entries'),
    epoch: types.epoch,
    metadata: clusterMetadata,
    /** Log position that the replica takes over if its digests equal these. */
    settled: v.optional(v.object({ stamp: logPosition, digests: v.array(v.string()) })),
    entries: v.array(v.object({ key: v.string(), stamp: logPosition, data: v.string() })),
  }),
] as const;
