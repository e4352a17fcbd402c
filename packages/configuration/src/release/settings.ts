/** What an order to move a service to a release is held to. */
export interface ReleaseSettings {
  /** The share of a service's requests that a bad release may have by the term, and what it may have beside. */
  readonly canaryPct: number;
  readonly canarySlack: number;
  /** The least share on trial, and how many requests a trial is to have at least. */
  readonly baseShare: number;
  readonly trialMany: number;
  readonly mostShare: number;
  /** How long new origins are slow. */
  readonly coldMs: number;
  /** The probe under load: its share, and how long it lasts. */
  readonly probeShare: number;
  readonly probeMs: number;
  /** How long the primary's word takes to act at all edges and its effect to come back. */
  readonly lagMs: number;
  /** How long before the term all traffic moves. */
  readonly moveMs: number;
  /** How long moving lasts at least, and at most. */
  readonly moveLeastMs: number;
  readonly moveMostMs: number;
  readonly badLeast: number;
  readonly badShare: number;
  readonly slowLeast: number;
  readonly slowRatio: number;
  /** For how long an accepted order that comes again is taken as the same one, sent again. */
  readonly repeatMs: number;
}

export const releaseSettings: ReleaseSettings = {
  canaryPct: 0.1,
  canarySlack: 50,
  baseShare: 0.025,
  trialMany: 45,
  mostShare: 0.5,
  coldMs: 4500,
  probeShare: 0.45,
  probeMs: 1000,
  lagMs: 600,
  moveMs: 2000,
  moveLeastMs: 500,
  moveMostMs: 1200,
  badLeast: 6,
  badShare: 0.15,
  slowLeast: 6,
  slowRatio: 2.5,
  repeatMs: 60_000,
};
