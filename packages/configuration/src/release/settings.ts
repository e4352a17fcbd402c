/** The limits and times of release rollouts. They are not operators' settings, but for the first two. */

/** What a release rollout is held to; shares and rates are fractions of 1. */
export interface ReleaseSettings {
  /** The share of a service's requests that a bad release may have had by the deadline. */
  readonly canaryFraction: number;
  /** How many requests it may have had beside that share. */
  readonly canaryAllowance: number;
  readonly minCanaryShare: number;
  /** How many requests a canary needs to be judged. */
  readonly minCanaryRequests: number;
  readonly maxCanaryShare: number;
  /** How long the slow start of new origins may last. */
  readonly slowStartMs: number;
  /** The largest share of the load probe. */
  readonly loadProbeShare: number;
  /** How long the load probe lasts. */
  readonly loadProbeMs: number;
  /** How long a change of the state takes to reach all edges, and its effect to be reported. */
  readonly propagationMs: number;
  /** How long before the deadline all traffic shifts. */
  readonly shiftLeadMs: number;
  readonly minShiftMs: number;
  /** After this time a shift ends even if old origins still have requests in flight. */
  readonly maxShiftMs: number;
  /** Fewer failed, or slow, responses are no reason against a release. */
  readonly minFailures: number;
  readonly maxFailureRate: number;
  readonly minLatencySamples: number;
  /** How many times the baseline's mean latency a release may have. */
  readonly maxLatencyRatio: number;
  /** For how long a repeated request is taken as the accepted one, sent again. */
  readonly duplicateWindowMs: number;
}

/** The settings that hold unless a deployment names others. */
export const releaseSettings: ReleaseSettings = {
  canaryFraction: 0.1,
  canaryAllowance: 50,
  minCanaryShare: 0.025,
  minCanaryRequests: 45,
  maxCanaryShare: 0.5,
  slowStartMs: 4500,
  loadProbeShare: 0.45,
  loadProbeMs: 1000,
  propagationMs: 600,
  shiftLeadMs: 2000,
  minShiftMs: 500,
  maxShiftMs: 1200,
  minFailures: 6,
  maxFailureRate: 0.15,
  minLatencySamples: 6,
  maxLatencyRatio: 2.5,
  duplicateWindowMs: 60_000,
};
