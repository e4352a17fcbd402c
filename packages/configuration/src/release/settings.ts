/** What an order to move a service to a release is held to. */
export interface ReleaseSettings {
  /** The share of a service's requests that a bad release may have by the term, and what it may have beside. */
  readonly canaryFraction: number;
  readonly canaryAllowance: number;
  /** The least share on trial, and how many requests a trial is to have at least. */
  readonly minCanaryShare: number;
  readonly minCanaryRequests: number;
  readonly maxCanaryShare: number;
  /** How long new origins are slow. */
  readonly slowStartMs: number;
  /** The probe under load: its share, and how long it lasts. */
  readonly loadProbeShare: number;
  readonly loadProbeMs: number;
  /** How long the primary's word takes to act at all edges and its effect to come back. */
  readonly propagationMs: number;
  /** How long before the term all traffic moves. */
  readonly shiftLeadMs: number;
  /** How long moving lasts at least, and at most. */
  readonly minShiftMs: number;
  readonly maxShiftMs: number;
  readonly minFailures: number;
  readonly maxFailureRate: number;
  readonly minLatencySamples: number;
  readonly maxLatencyRatio: number;
  /** For how long an accepted order that comes again is taken as the same one, sent again. */
  readonly duplicateWindowMs: number;
}

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
