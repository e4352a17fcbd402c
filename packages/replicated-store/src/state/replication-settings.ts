/**
 * Settings of the replication: how many replicas there are, and which losses they must bear.
 */

import type { ZoneName } from '@switchwheel/types';
import type { ReleaseSettings } from '@switchwheel/configuration';

/** Failure domains: parts of the fleet that fail as one. */
export interface FailureDomains {
  /** How many of them may be lost at once. */
  readonly tolerate: number;
  /** The domain of each zone that is not one by itself. */
  readonly domainOfZone: ReadonlyMap<ZoneName, string>;
}

/** How many replicas of the state a fleet keeps, and how many machines with a disk it may lose at once. */
export interface ReplicationSettings {
  readonly copies: number;
  readonly tolerate: number;
  /** Whether registries that join become voters, and replace those that are gone, without an operator. */
  readonly electorateFollowsRegistries: boolean;
  /** Zones, or groups of them, that may be lost as a whole, besides single machines. */
  readonly failureDomains?: FailureDomains;
  /** The time after a loss, in milliseconds, within which repairs are done so that the next losses are borne. */
  readonly recoveryWindowMs?: number;
  /** Whether the origins that are up are kept on disk. */
  readonly persistsOrigins?: boolean;
  /** The thresholds by which canaries of releases are judged. */
  readonly releases?: ReleaseSettings;
}

/** Two replicas, one of which may be lost, and an electorate that only operators change. */
export const defaultReplicationSettings: ReplicationSettings = {
  copies: 2,
  tolerate: 1,
  electorateFollowsRegistries: false,
};
