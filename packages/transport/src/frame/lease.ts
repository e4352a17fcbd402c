/** Frames between candidates and voters, and between a leaving lease holder and its successor. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { electorate, leaseHolder } from '../record/lease.js';
import { kind } from './schema-parts.js';

/** See the module's comment. */
export const leaseFrames = [
  /** A leaving holder asks its successor to stand for the lease at once. */
  v.object({ kind: kind('handover'), duty: types.leaseName, epoch: types.epoch }),
  v.object({
    kind: kind('vote-request'),
    fleet: types.fleetId,
    electorate,
    duty: types.leaseName,
    epoch: types.epoch,
    node: types.nodeId,
    at: types.timestamp,
    lease: types.durationMs,
    /** Asks what the vote would be and changes nothing. */
    preVote: v.boolean(),
    renew: v.boolean(),
    inSyncSet: v.array(types.nodeId),
    held: v.optional(leaseHolder),
    stepDown: v.boolean(),
    /** With `stepDown`: the epoch was never won, and never will be. */
    abandoned: v.optional(v.boolean()),
    /** The incarnation of the voter that gave the newest vote in this epoch: a renewal that echoes it proves the win. */
    voterLife: v.optional(types.incarnation),
  }),
  v.object({
    kind: kind('vote'),
    duty: types.leaseName,
    epoch: types.epoch,
    voter: types.nodeId,
    /** The voter's incarnation. */
    life: types.incarnation,
    /** Echo of the request's time. */
    at: types.timestamp,
    preVote: v.boolean(),
    granted: v.boolean(),
    recovering: v.boolean(),
    /** The highest epoch that the voter granted of this lease. */
    highest: types.epoch,
    electorate: v.optional(electorate),
    /** With a refusal: for how long the lease in the way may still last. */
    left: v.optional(types.durationMs),
  }),
] as const;
