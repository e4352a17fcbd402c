/**
 * Open writes of a store: one as primary, and one received from a primary or registry.
 */

import type { Address, CommandId, NodeId, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata, LogPosition, TableMutation } from '@switchwheel/transport';
import type { ControlState } from '@switchwheel/configuration';
import type { CanaryReport, CommandReply } from '../commands/command.js';

/** Open write of the primary: written to its own disk, then replicated to the in-sync backups. */
export interface PrimaryWrite {
  readonly id: number;
  /** Set to `abandoned` if the write is given up while it is being written to disk; its outcome is known later. */
  readonly phase: 'writingToDisk' | 'replicating' | 'abandoned';
  /**
   * Whether the own disk already has the write from before an in-sync set change; it is then never reported as
   * rejected.
   */
  readonly isOnOwnDisk: boolean;
  readonly phaseStartedAt: Timestamp;
  readonly lastSentAt: Timestamp;
  readonly metadata: ClusterMetadata;
  /** Stores, learners included, that acknowledged the write with its current metadata. */
  readonly acknowledgedBy: ReadonlySet<NodeId>;
  readonly logPosition: LogPosition;
  readonly previousLogPosition: LogPosition;
  readonly puts: readonly TableMutation[];
  readonly controlAfter: ControlState;
  readonly replies: readonly CommandReply[];
  readonly canaryReports: readonly { readonly to: Address; readonly report: CanaryReport }[];
}

/** Open write of this store for another node: a replicated write, a part of a resync, or a bootstrap. */
export interface BackupWrite {
  readonly id: number;
  readonly startedAt: Timestamp;
  readonly purpose: 'replicate' | 'resync' | 'bootstrap';
  readonly replyTo: Address;
  readonly metadata: ClusterMetadata;
  readonly logPosition: LogPosition;
  readonly puts: readonly TableMutation[];
  /** Log positions of resynced entries; entries that are not listed get `logPosition`. */
  readonly logPositionByKey: ReadonlyMap<string, LogPosition>;
  readonly commandId: CommandId | undefined;
}
