/**
 * Frames between stores and registries: bootstrap of a fleet, the primary's feed to registries, disk hints
 * of stores without a primary, and operators' commands.
 */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { configManifest, purge } from '../record/configuration.js';
import { electorate } from '../record/lease.js';
import { member, nodeStatus } from '../record/node.js';
import { originInstance } from '../record/origin.js';
import { clusterMetadata } from '../record/replication.js';
import { canaryResult, rolloutState } from '../record/rollout.js';
import { kind } from './schema-parts.js';

/** Schemas of the frames for bootstrap, feed, disk hints and operators' commands. */
export const storeRegistryFrames = [
  /** Makes a store without data a member of a new fleet. */
  v.object({
    kind: kind('bootstrap'),
    id: types.commandId,
    fleet: types.fleetId,
    stores: v.array(v.object({ node: types.nodeId, address: types.address })),
    electorate,
  }),
  /** Reply to a bootstrap, with the reason if it failed. */
  v.object({
    kind: kind('bootstrapped'),
    id: types.commandId,
    node: types.nodeId,
    ok: v.boolean(),
    text: v.string(),
  }),
  /** Subscribes a registry to the primary's feed and reports the nodes whose sessions it holds. */
  v.object({
    kind: kind('subscribe'),
    registry: member,
    /** State as a voter: `ready` once it has recovered its grants and its abstention is over. */
    voter: v.picklist(['ready', 'recovering', 'leaving']),
    /** Send time by the registry's clock. */
    at: types.timestamp,
    epoch: types.epoch,
    /** Serial of the last feed with desired configurations that the registry received. */
    serial: types.seq,
    /** Last purge that the registry received. */
    purged: types.seq,
    /** Serial of the last feed with recorded departures that the registry received; absent in older versions. */
    departuresSerial: v.optional(types.seq),
    reports: v.array(
      v.object({
        node: types.nodeId,
        role: v.string(),
        incarnation: types.incarnation,
        open: v.boolean(),
        report: nodeStatus,
      }),
    ),
  }),
  /** State of the primary that a subscribed registry needs: configurations, purges, canaries and rollouts. */
  v.object({
    kind: kind('feed'),
    /** Time `at` of the subscription; 0 if the feed is sent because of a write. */
    at: types.timestamp,
    epoch: types.epoch,
    /** Sequence number of the primary's last write. */
    serial: types.seq,
    /** Configuration that each node should run; absent if the registry already has these rows. */
    desired: v.optional(
      v.array(
        v.object({
          node: types.nodeId,
          generation: types.generation,
          hash: types.hash,
          /** Configuration that the node failed to apply. */
          failed: v.optional(types.hash),
        }),
      ),
    ),
    offers: v.array(configManifest),
    current: v.optional(configManifest),
    /** Purges that the registry lacks; those before `floor` are no longer stored, `top` is the newest one. */
    purges: v.array(purge),
    floor: types.seq,
    top: types.seq,
    verdicts: v.array(canaryResult),
    releases: v.array(rolloutState),
    /** Whether the primary records departures of origins; absent in older versions, which delete the origin's record. */
    recordsDepartures: v.optional(v.boolean()),
    /** Origins whose departure is recorded on disk; absent if the registry already has this list. */
    departures: v.optional(v.array(originInstance)),
    electorate: v.optional(electorate),
    fleet: types.fleetId,
  }),
  /** Disk hint: metadata and configuration on the disk of a store that receives nothing from a primary. */
  v.object({
    kind: kind('hint'),
    node: types.nodeId,
    address: types.address,
    incarnation: types.incarnation,
    /** Send time by the store's clock. */
    at: types.timestamp,
    metadata: clusterMetadata,
    offer: v.optional(configManifest),
    origins: v.array(originInstance),
  }),
  /** Operator's command or query, forwarded to the primary. */
  v.object({
    kind: kind('call'),
    id: types.commandId,
    verb: v.picklist(['apply', 'purge', 'ask', 'view', 'electorate', 'release']),
    body: v.string(),
    /** Generation on which a submitted configuration is based; it is rejected if another one is in force. */
    base: v.optional(types.generation),
  }),
  /** Primary's reply to a command or query: an HTTP status and a JSON body. */
  v.object({ kind: kind('called'), id: types.commandId, status: v.number(), body: v.string() }),
] as const;
