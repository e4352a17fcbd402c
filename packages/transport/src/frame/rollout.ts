/** Frames about canaries and rollouts, between edges or service leaders and the primary store. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { canaryResult, releaseCounts } from '../record/rollout.js';
import { count, kind } from './schema-parts.js';

/** See the module's comment. */
export const rolloutFrames = [
  /** A service leader reports a canary's counts, and reserves further requests. */
  v.object({
    kind: kind('trial'),
    service: types.serviceName,
    release: types.release,
    spent: v.number(),
    bad: v.number(),
    good: v.number(),
    seen: v.number(),
    state: v.picklist(['trial', 'good', 'bad']),
    at: types.timestamp,
    node: types.nodeId,
  }),
  /** The stored result after such a report. */
  v.object({ kind: kind('tried'), verdict: canaryResult, at: types.timestamp }),
  /** Cumulative counts of an edge's incarnation since it received the rollout; sent while one is under way. */
  v.object({
    kind: kind('tally'),
    node: types.nodeId,
    incarnation: types.incarnation,
    service: types.serviceName,
    /** The rollout request that is counted for, and the state that the edge acts on. */
    order: types.seq,
    serial: types.seq,
    rows: v.array(releaseCounts),
    /** Requests in flight to origins of releases other than the target. */
    inFlightOld: count,
    /** How much of the rollout's time has passed by this edge's own clock, so that a new primary continues in time. */
    spentMs: types.durationMs,
  }),
] as const;
