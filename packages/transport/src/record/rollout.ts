/** Records on rollouts and canaries of releases. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { count, fraction } from '../frame/schema-parts.js';

/** Stored result of a canary: outcomes of the first requests that a release of a service received. */
export const canaryResult = v.object({
  service: types.serviceName,
  release: types.release,
  state: v.picklist(['trial', 'good', 'bad']),
  /** Number of requests reserved for the canary so far, whether or not they were sent. */
  spent: count,
  bad: count,
  good: count,
  /** Number of requests of the service since the canary began, as last reported. */
  seen: count,
});
/** Value of {@link canaryResult}. */
export type CanaryResult = v.InferOutput<typeof canaryResult>;

/** Phase of a rollout: none, canary (`trial`), shift of all requests (`moving`), or decided. */
export const rolloutPhase = v.picklist(['none', 'trial', 'moving', 'good', 'bad']);
/** Value of {@link rolloutPhase}. */
export type RolloutPhase = v.InferOutput<typeof rolloutPhase>;

/** State of a service's rollout, by which edges pick the release for a request. */
export const rolloutState = v.object({
  service: types.serviceName,
  /** Release that receives the requests that the target does not. */
  settled: v.optional(types.release),
  /** Release that is rolled out. */
  target: v.optional(types.release),
  phase: rolloutPhase,
  /** Share of an edge's requests that the target receives as a canary. */
  share: fraction,
  /** Shares of the service classes that differ from `share`, as each class needs enough responses for a decision. */
  shares: v.array(v.object({ group: v.string(), share: fraction })),
  /** Time left until the rollout is decided. */
  leftMs: types.durationMs,
  /** Number of the rollout request; edges reset their counts when it changes. */
  order: types.seq,
  /** Number of the change of this state; a state with a lower one is outdated. */
  serial: types.seq,
});
/** Value of {@link rolloutState}. */
export type RolloutState = v.InferOutput<typeof rolloutState>;

/** Number of requests of a service class that an edge sent to a release, by outcome. */
export const releaseCounts = v.object({
  release: types.release,
  group: v.string(),
  sent: count,
  good: count,
  bad: count,
  slow: count,
  /** Sum of the response times in milliseconds. */
  sumMs: v.pipe(v.number(), v.minValue(0)),
});
/** Value of {@link releaseCounts}. */
export type ReleaseCountsRow = v.InferOutput<typeof releaseCounts>;
