/** Frames between stores: replication of writes by the primary, and resync of a replica. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { clusterMetadata, logPosition, tableMutation } from '../record/replication.js';
import { kind } from './schema-parts.js';

/** See the module's comment. */
export const storeStoreFrames = [
  /** A write of the primary: mutations at a position, valid only right after the prior position. */
  v.object({
    kind: kind('replicate'),
    metadata: clusterMetadata,
    stamp: logPosition,
    prior: logPosition,
    puts: v.array(tableMutation),
  }),
  v.object({
    kind: kind('replicated'),
    node: types.nodeId,
    epoch: types.epoch,
    seq: types.seq,
    /** The epoch of the metadata that is on the disk with the write. */
    metadataEpoch: types.epoch,
    ok: v.boolean(),
    text: v.string(),
  }),
  v.object({
    kind: kind('replica-status'),
    node: types.nodeId,
    metadata: v.optional(clusterMetadata),
    stamp: logPosition,
    primary: v.boolean(),
    full: v.boolean(),
    /** Set once this store was asked to stop: another store is to replace it as a replica. */
    leaving: v.optional(v.boolean()),
    digests: v.array(v.string()),
    at: types.timestamp,
  }),
  /** The keys and positions of one range of the primary's table, for a replica whose digest differs. */
  v.object({
    kind: kind('range-listing'),
    epoch: types.epoch,
    stamp: logPosition,
    range: v.number(),
    keys: v.array(v.object({ key: v.string(), stamp: logPosition })),
  }),
  v.object({
    kind: kind('fetch-entries'),
    node: types.nodeId,
    epoch: types.epoch,
    keys: v.array(v.string()),
  }),
  v.object({
    kind: kind('resync-entries'),
    epoch: types.epoch,
    metadata: clusterMetadata,
    /** The position that the replica has from now on, if its digests are these. */
    settled: v.optional(v.object({ stamp: logPosition, digests: v.array(v.string()) })),
    entries: v.array(v.object({ key: v.string(), stamp: logPosition, data: v.string() })),
  }),
] as const;
