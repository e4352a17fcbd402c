/**
 * Replication settings: the number of replicas and the failures to tolerate.
 */

import type { ZoneName } from '@switchwheel/types';
import type { ReleaseSettings } from '@switchwheel/configuration';

/** Failure domains: zones, or groups of zones, that can fail together. */
export interface FailureDomains {
  /** Number of domains that may fail at once. */
  readonly tolerate: number;
  /** Domain of each zone that is grouped with others; any other zone is its own domain. */
  readonly domainOfZone: ReadonlyMap<ZoneName, string>;
}

/** Number of replicas of the state, and of machines with a disk that may be lost at once. */
export interface ReplicationSettings {
  readonly copies: number;
  readonly tolerate: number;
  /** Whether registries become voters automatically and replace voters that are gone. */
  readonly electorateFollowsRegistries: boolean;
  /** Failure domains to tolerate the loss of, in addition to single machines. */
  readonly failureDomains?: FailureDomains;
  /** Time after a failure within which redundancy is restored, so that further failures are tolerated. */
  readonly recoveryWindowMs?: number;
  /** Whether live origins are recorded on disk. Departures always are. */
  readonly persistsOrigins?: boolean;
  /** Thresholds for evaluating canaries of releases. */
  readonly releases?: ReleaseSettings;
}

/** Default settings: two replicas, one tolerated loss, and an electorate that only operators change. */
export const defaultReplicationSettings: ReplicationSettings = {
  copies: 2,
  tolerate: 1,
  electorateFollowsRegistries: false,
};
