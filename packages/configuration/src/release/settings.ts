/** Limits and times of release rollouts. Deployments can set only the first two. */

/** Limits and times of release rollouts; shares and rates are fractions of 1. */
export interface ReleaseSettings {
  /** Share of a service's requests that a bad release may have received by the deadline. */
  readonly canaryFraction: number;
  /** Number of requests that a bad release may have received beyond `canaryFraction`. */
  readonly canaryAllowance: number;
  readonly minCanaryShare: number;
  /** Number of requests that the canary needs for its analysis. */
  readonly minCanaryRequests: number;
  readonly maxCanaryShare: number;
  /** Maximum duration of the slow start of new origins. */
  readonly slowStartMs: number;
  /** Maximum share of the load probe. */
  readonly loadProbeShare: number;
  readonly loadProbeMs: number;
  /** Time for a state change to reach all edges and for its effect to be reported. */
  readonly propagationMs: number;
  /** Time before the deadline at which all traffic shifts. */
  readonly shiftLeadMs: number;
  readonly minShiftMs: number;
  /** Time after which a shift ends even if old origins still have requests in flight. */
  readonly maxShiftMs: number;
  /** Number of failed, or slow, responses below which a release is not rejected for them. */
  readonly minFailures: number;
  readonly maxFailureRate: number;
  readonly minLatencySamples: number;
  /** Maximum ratio of a release's mean latency to the baseline's. */
  readonly maxLatencyRatio: number;
  /** Time for which a repeated request counts as a duplicate of the accepted one. */
  readonly duplicateWindowMs: number;
}

/** Default settings. */
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
