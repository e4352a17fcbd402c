/**
 * Frames between stores and registries: the founding of a fleet, the feed of the primary to its
 * subscribers, hints of stores without a primary, and operators' commands.
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

/** See the module's comment. */
export const storeRegistryFrames = [
  v.object({
    kind: kind('bootstrap'),
    id: types.commandId,
    fleet: types.fleetId,
    stores: v.array(v.object({ node: types.nodeId, address: types.address })),
    electorate,
  }),
  v.object({
    kind: kind('bootstrapped'),
    id: types.commandId,
    node: types.nodeId,
    ok: v.boolean(),
    text: v.string(),
  }),
  /** A registry subscribes to the primary's feed, and reports the nodes whose sessions it keeps. */
  v.object({
    kind: kind('subscribe'),
    registry: member,
    /** Whether its vote may be relied on: it remembers what it granted and is past its abstention. */
    voter: v.picklist(['ready', 'recovering', 'leaving']),
    at: types.timestamp,
    epoch: types.epoch,
    serial: types.seq,
    purged: types.seq,
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
  /** What the primary has decided, for a registry that subscribed. */
  v.object({
    kind: kind('feed'),
    at: types.timestamp,
    epoch: types.epoch,
    serial: types.seq,
    desired: v.optional(
      v.array(
        v.object({
          node: types.nodeId,
          generation: types.generation,
          hash: types.hash,
          failed: v.optional(types.hash),
        }),
      ),
    ),
    offers: v.array(configManifest),
    current: v.optional(configManifest),
    purges: v.array(purge),
    floor: types.seq,
    top: types.seq,
    verdicts: v.array(canaryResult),
    releases: v.array(rolloutState),
    electorate: v.optional(electorate),
    fleet: types.fleetId,
  }),
  /** What a store has on its disk, while it receives nothing from a primary. */
  v.object({
    kind: kind('hint'),
    node: types.nodeId,
    address: types.address,
    incarnation: types.incarnation,
    /** When the store sent it, by its own clock. */
    at: types.timestamp,
    metadata: clusterMetadata,
    offer: v.optional(configManifest),
    origins: v.array(originInstance),
  }),
  /** An operator's command or query, forwarded to the primary. */
  v.object({
    kind: kind('call'),
    id: types.commandId,
    verb: v.picklist(['apply', 'purge', 'ask', 'view', 'electorate', 'release']),
    body: v.string(),
    base: v.optional(types.generation),
  }),
  /** The primary's reply to it: an HTTP status and a JSON body. */
  v.object({ kind: kind('called'), id: types.commandId, status: v.number(), body: v.string() }),
] as const;
