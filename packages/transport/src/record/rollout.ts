/** What processes tell each other about rollouts and canaries of releases. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { count, fraction } from '../frame/schema-parts.js';

/** The stored result of a canary: how a release of a service did with its first requests. */
export const canaryResult = v.object({
  service: types.serviceName,
  release: types.release,
  state: v.picklist(['trial', 'good', 'bad']),
  /** Requests that it may have received so far, reserved ahead. */
  spent: count,
  bad: count,
  good: count,
  /** The service's requests since the canary began, as last reported. */
  seen: count,
});
/** See {@link canaryResult}. */
export type CanaryResult = v.InferOutput<typeof canaryResult>;

/** How far the rollout of a service to a release is: canary, moving all, or decided. */
export const rolloutPhase = v.picklist(['none', 'trial', 'moving', 'good', 'bad']);
/** See {@link rolloutPhase}. */
export type RolloutPhase = v.InferOutput<typeof rolloutPhase>;

/** Which release a service's requests go to. */
export const rolloutState = v.object({
  service: types.serviceName,
  settled: v.optional(types.release),
  target: v.optional(types.release),
  phase: rolloutPhase,
  /** The share of an edge's own requests that the target gets as a canary. */
  share: fraction,
  /** Service classes with another share: each needs enough responses for a decision. */
  shares: v.array(v.object({ group: v.string(), share: fraction })),
  /** Time left until the rollout is decided. */
  leftMs: types.durationMs,
  /** The number of the rollout request: edges count anew with each. */
  order: types.seq,
  /** Grows with each change of the state; only the highest counts. */
  serial: types.seq,
});
/** See {@link rolloutState}. */
export type RolloutState = v.InferOutput<typeof rolloutState>;

/** How many requests of a service class an edge sent to a release, and their outcomes. */
export const releaseCounts = v.object({
  release: types.release,
  group: v.string(),
  sent: count,
  good: count,
  bad: count,
  slow: count,
  /** The sum of the response times, in milliseconds. */
  sumMs: v.pipe(v.number(), v.minValue(0)),
});
/** See {@link releaseCounts}. */
export type ReleaseCountsRow = v.InferOutput<typeof releaseCounts>;
