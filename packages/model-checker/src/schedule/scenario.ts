/** What a run is made of: a cluster's layout and the deviations from the default schedule. */

import type { Deviation } from './deviation.js';

/** The cluster that a run begins with. */
export interface ClusterLayout {
  /** Machines that found the cluster. */
  readonly founders: number;
  /** Machines that may join later. */
  readonly spares: number;
  readonly copies: number;
  readonly tolerate: number;
  /** How fast each machine's clock runs against true time; 1 for the others. */
  readonly clockRates: readonly number[];
  /** The seed of the processes' own random choices. */
  readonly seed: number;
}

/** A run that can be repeated: print it, and paste it into a test. */
export interface Scenario {
  readonly layout: ClusterLayout;
  readonly deviations: readonly Deviation[];
}

/** The layout of the platform for so many machines: one more copy than it takes to bear the losses, and one more. */
export const platformLayout = (founders: number, seed = 1): ClusterLayout => ({
  founders,
  spares: 1,
  copies: 3,
  tolerate: 1,
  clockRates: [],
  seed,
});
