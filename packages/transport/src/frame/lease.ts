/** Frames of lease elections: between candidates and voters, and from a leaving holder to its successor. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { electorate, leaseHolder } from '../record/lease.js';
import { kind } from './schema-parts.js';

/** Schemas of the handover, the vote request and the vote. */
export const leaseFrames = [
  /** Asks the successor of a leaving holder to become a candidate for the lease immediately. */
  v.object({ kind: kind('handover'), duty: types.leaseName, epoch: types.epoch }),
  /** Asks a voter to grant, renew or release a lease. */
  v.object({
    kind: kind('vote-request'),
    fleet: types.fleetId,
    electorate,
    duty: types.leaseName,
    epoch: types.epoch,
    node: types.nodeId,
    /** Send time by the candidate's clock. */
    at: types.timestamp,
    /** Requested duration of the lease. */
    lease: types.durationMs,
    /** Whether the voter is only asked how it would vote, without a change of its state. */
    preVote: v.boolean(),
    /** Whether the candidate holds the lease in this epoch, and renews it or steps down. */
    renew: v.boolean(),
    inSyncSet: v.array(types.nodeId),
    /** Announcement of the candidate as the holder, which the voter passes on if the lease is held. */
    held: v.optional(leaseHolder),
    stepDown: v.boolean(),
    /** With `stepDown`: the candidate did not win the epoch and never will. */
    abandoned: v.optional(v.boolean()),
    /** In a renewal: incarnation of the voter when it last voted for this candidate in this epoch. */
    voterLife: v.optional(types.incarnation),
  }),
  /** Reply to a vote request. */
  v.object({
    kind: kind('vote'),
    duty: types.leaseName,
    epoch: types.epoch,
    voter: types.nodeId,
    /** The voter's incarnation. */
    life: types.incarnation,
    /** Time `at` of the vote request. */
    at: types.timestamp,
    preVote: v.boolean(),
    granted: v.boolean(),
    /** Whether the voter has restarted and not yet recovered its grants. */
    recovering: v.boolean(),
    /** Highest epoch of this lease that the voter has granted. */
    highest: types.epoch,
    electorate: v.optional(electorate),
    /** With a refusal: time until the conflicting lease expires at the latest. */
    left: v.optional(types.durationMs),
  }),
] as const;
