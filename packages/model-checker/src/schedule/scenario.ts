/** Layout of a cluster and the deviations that make up a run. */

import type { Deviation } from './deviation.js';

/** Cluster of a run and its settings. */
export interface ClusterLayout {
  /** Number of machines that bootstrap the cluster. */
  readonly initialMachineCount: number;
  /** Number of machines that may join later. */
  readonly joiningMachineCount: number;
  readonly copies: number;
  readonly tolerate: number;
  /** Clock rate of each machine relative to simulated time; 1 for machines without an entry. */
  readonly clockRates: readonly number[];
  /** Seed of the processes' random sources. */
  readonly seed: number;
}

/** Reproducible run; its JSON can be pasted into a test. */
export interface Scenario {
  readonly layout: ClusterLayout;
  readonly deviations: readonly Deviation[];
}

/** Returns the platform's layout for a number of machines: three copies that tolerate the loss of one. */
export const platformLayout = (initialMachineCount: number, seed = 1): ClusterLayout => ({
  initialMachineCount,
  joiningMachineCount: 1,
  copies: 3,
  tolerate: 1,
  clockRates: [],
  seed,
});
