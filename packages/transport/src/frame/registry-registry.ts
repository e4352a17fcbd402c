/** Frames between registries: gossip, and departures of origins, which the primary store receives too. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { leaseGrantRecord, leaseHolder } from '../record/lease.js';
import { member, sessionRecord } from '../record/node.js';
import { originInstance } from '../record/origin.js';
import { kind } from './schema-parts.js';

/** Schemas of the departure, its acknowledgement and the gossip message. */
export const registryRegistryFrames = [
  /** Notifies the voters and the primary that an origin is leaving or has left; each voter acknowledges it. */
  v.object({
    kind: kind('departure'),
    origin: originInstance,
    /**
     * Whether the sender itself waits for the primary's record. A sender of an older version does not, so voters
     * acknowledge the departure to it only once it is recorded.
     */
    awaitsRecord: v.optional(v.boolean()),
  }),
  v.object({
    kind: kind('departure-ack'),
    node: types.nodeId,
    instance: types.instanceId,
    state: originInstance.entries.state,
  }),
  /** Sessions, origins, lease holders and lease grants that a registry knows. */
  v.object({
    kind: kind('gossip'),
    from: member,
    full: v.boolean(),
    sessions: v.array(sessionRecord),
    origins: v.array(originInstance),
    holders: v.array(leaseHolder),
    /** Lease grants of the sender as a voter, from which a restarted voter recovers. */
    memories: v.array(leaseGrantRecord),
    /** Whether the sender has itself restarted and not yet recovered its grants. */
    recovering: v.boolean(),
    /** Send time by the sender's clock. */
    at: types.timestamp,
    /** Time of the newest gossip received from each registry, by the clock of that registry. */
    heard: v.array(
      v.object({ node: types.nodeId, incarnation: types.incarnation, at: types.timestamp }),
    ),
    /** Age of the sender's feed from the primary; absent if it has no valid feed. */
    feedAge: v.optional(types.durationMs),
  }),
] as const;
