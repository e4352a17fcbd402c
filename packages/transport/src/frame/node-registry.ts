/** Frames between a node and the registry that keeps its session, in both directions. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { configManifest, purge } from '../record/configuration.js';
import { electorate, leaseHolder } from '../record/lease.js';
import { member, nodeStatus } from '../record/node.js';
import { originInstance } from '../record/origin.js';
import { canaryResult, rolloutState } from '../record/rollout.js';
import { kind } from './schema-parts.js';

/** See the module's comment. */
export const nodeRegistryFrames = [
  /** A node's heartbeat: who it is, how it does, what it holds and knows. */
  v.object({
    kind: kind('heartbeat'),
    member,
    seq: types.seq,
    at: types.timestamp,
    report: nodeStatus,
    /** Whether the node is leaving: its session ends. */
    bye: v.boolean(),
    held: v.array(leaseHolder),
    purged: types.seq,
    /** A digest of the rollout states that the node knows: decided ones are sent only if it differs. */
    releases: v.optional(v.string()),
  }),
  v.object({
    kind: kind('heartbeat-reply'),
    at: types.timestamp,
    registry: types.nodeId,
    incarnation: types.incarnation,
    /** How old this registry's feed from the primary is; absent if it has no valid one. */
    age: v.optional(types.durationMs),
    epoch: types.epoch,
    offer: v.optional(configManifest),
    /** The newest confirmed generation, and how long ago this registry first received it. */
    newest: types.generation,
    newestAge: types.durationMs,
    purges: v.array(purge),
    floor: types.seq,
    top: types.seq,
    verdicts: v.array(canaryResult),
    releases: v.array(rolloutState),
    /** Leases that this registry, as a voter, knows to be over. */
    vacant: v.array(types.leaseName),
    electorate: v.optional(electorate),
    fleet: v.optional(types.fleetId),
  }),
  /** The nodes, origins and lease holders of the fleet. */
  v.object({
    kind: kind('member-list'),
    members: v.array(member),
    origins: v.array(originInstance),
    holders: v.array(leaseHolder),
  }),
] as const;
