/** Frames on canaries and rollouts, between edges or service leaders and the primary store. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { canaryResult, releaseCounts } from '../record/rollout.js';
import { count, kind } from './schema-parts.js';

/** Schemas of the canary report, its reply and the request counts of an edge. */
export const rolloutFrames = [
  /** Reports a canary's counts to the primary and reserves further requests, from a service leader. */
  v.object({
    kind: kind('trial'),
    service: types.serviceName,
    release: types.release,
    /** Requests reserved for the canary so far, including those that this report reserves. */
    spent: v.number(),
    bad: v.number(),
    good: v.number(),
    /** Requests of the service since the canary began. */
    seen: v.number(),
    state: v.picklist(['trial', 'good', 'bad']),
    at: types.timestamp,
    node: types.nodeId,
  }),
  /** Canary result that the primary stored after such a report. */
  v.object({ kind: kind('tried'), verdict: canaryResult, at: types.timestamp }),
  /** Counts of an edge's incarnation since it received the rollout; sent while a rollout is in progress. */
  v.object({
    kind: kind('tally'),
    node: types.nodeId,
    incarnation: types.incarnation,
    service: types.serviceName,
    /** Number of the rollout request, and serial of the rollout state that the edge applies. */
    order: types.seq,
    serial: types.seq,
    rows: v.array(releaseCounts),
    /** Requests in flight to origins of releases other than the target. */
    inFlightOld: count,
    /** Time since the start of the rollout by the edge's clock, from which a new primary continues. */
    spentMs: types.durationMs,
  }),
] as const;
