/** Frames between registries: gossip, and origins that leave. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { leaseGrantRecord, leaseHolder } from '../record/lease.js';
import { member, sessionRecord } from '../record/node.js';
import { originInstance } from '../record/origin.js';
import { kind } from './schema-parts.js';

/** See the module's comment. */
export const registryRegistryFrames = [
  /** An origin leaves or is gone: a registry notifies its peers, and each acknowledges. */
  v.object({ kind: kind('departure'), origin: originInstance }),
  v.object({
    kind: kind('departure-ack'),
    node: types.nodeId,
    instance: types.instanceId,
    state: originInstance.entries.state,
  }),
  v.object({
    kind: kind('gossip'),
    from: member,
    full: v.boolean(),
    sessions: v.array(sessionRecord),
    origins: v.array(originInstance),
    holders: v.array(leaseHolder),
    memories: v.array(leaseGrantRecord),
    recovering: v.boolean(),
    at: types.timestamp,
    /** The newest gossip that the sender has from each registry, by that registry's own clock. */
    heard: v.array(
      v.object({ node: types.nodeId, incarnation: types.incarnation, at: types.timestamp }),
    ),
    /** How old the sender's feed from the primary is; absent if it has no valid one. */
    feedAge: v.optional(types.durationMs),
  }),
] as const;
