/**
 * Settings of the replication: how many replicas there are, and which losses they must bear.
 */

import type { ZoneName } from '@switchwheel/types';
import type { ReleaseSettings } from '@switchwheel/configuration';

/** Parts of the fleet that fail as one. */
export interface FailureDomains {
  /** How many of them may be lost at once. */
  readonly tolerate: number;
  /** The domain of each area that is not one by itself. */
  readonly domainOfZone: ReadonlyMap<ZoneName, string>;
}

/** How many copies of the state a fleet keeps, and how many machines with a disk it may lose at once. */
export interface ReplicationSettings {
  readonly copies: number;
  readonly tolerate: number;
  /** Whether registries that come become voters, and take the seats of those that are gone, by themselves. */
  readonly electorateFollowsRegistries: boolean;
  /** Areas, or groups of them, that may be lost as a whole, besides single machines. */
  readonly failureDomains?: FailureDomains;
  /** Within which span of a repair or a replacement the next losses are borne, in milliseconds. */
  readonly recoveryWindowMs?: number;
  /** Whether the origins that stand are kept on disk. */
  readonly persistsOrigins?: boolean;
  /** What a release on trial is held to. */
  readonly releases?: ReleaseSettings;
}

export const defaultReplicationSettings: ReplicationSettings = {
  copies: 2,
  tolerate: 1,
  electorateFollowsRegistries: false,
};
