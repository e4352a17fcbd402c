/** Frames between a node and the registry that holds its session. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { configManifest, purge } from '../record/configuration.js';
import { electorate, leaseHolder } from '../record/lease.js';
import { member, nodeStatus } from '../record/node.js';
import { originInstance } from '../record/origin.js';
import { canaryResult, rolloutState } from '../record/rollout.js';
import { kind } from './schema-parts.js';

/** Schemas of the heartbeat, its reply and the member list. */
export const nodeRegistryFrames = [
  /** Heartbeat of a node, with its identity, status, leases and last applied purge. */
  v.object({
    kind: kind('heartbeat'),
    member,
    seq: types.seq,
    /** Send time by the node's clock. */
    at: types.timestamp,
    report: nodeStatus,
    /** Whether the node is leaving, which closes its session. */
    bye: v.boolean(),
    /** Leases that the node holds. */
    held: v.array(leaseHolder),
    /** Last purge that the node has applied. */
    purged: types.seq,
    /** Digest of the rollout states that the node knows; decided ones are sent only if it differs. */
    releases: v.optional(v.string()),
  }),
  /** Reply to a heartbeat, with the desired configuration and the changes that the node needs to know. */
  v.object({
    kind: kind('heartbeat-reply'),
    /** Time `at` of the heartbeat; 0 if the registry sends this frame unasked. */
    at: types.timestamp,
    registry: types.nodeId,
    incarnation: types.incarnation,
    /** Age of this registry's feed from the primary; absent if it has no valid feed. */
    age: v.optional(types.durationMs),
    epoch: types.epoch,
    /** Configuration that the node should apply. */
    offer: v.optional(configManifest),
    /** Newest confirmed generation, and the time since this registry first received it. */
    newest: types.generation,
    newestAge: types.durationMs,
    /** Purges that the node has not applied; those before `floor` are no longer stored, `top` is the newest one. */
    purges: v.array(purge),
    floor: types.seq,
    top: types.seq,
    verdicts: v.array(canaryResult),
    releases: v.array(rolloutState),
    /** Leases that have ended according to this registry as a voter. */
    vacant: v.array(types.leaseName),
    electorate: v.optional(electorate),
    fleet: v.optional(types.fleetId),
  }),
  /** Nodes, origins and lease holders of the fleet. */
  v.object({
    kind: kind('member-list'),
    members: v.array(member),
    origins: v.array(originInstance),
    holders: v.array(leaseHolder),
  }),
] as const;
