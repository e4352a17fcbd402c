/**
 * Writes that are under way: the primary's own, and one that a backup takes from its primary.
 */

import type { Address, CommandId, NodeId, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata, LogPosition, TableMutation } from '@switchwheel/transport';
import type { ControlState } from '@switchwheel/configuration';
import type { CanaryReport, CommandReply } from '../commands/command.js';

/** A write of the primary that is open: first it goes to its own disk, then to those of the backups in sync. */
export interface PrimaryWrite {
  readonly id: number;
  /** Set to `abandoned` if the write is given up while it is being written to disk; its outcome is known later. */
  readonly phase: 'writingToDisk' | 'replicating' | 'abandoned';
  /** Whether this disk has it already, from before the in-sync set changed: then its callers never hear that it was rejected. */
  readonly isOnOwnDisk: boolean;
  readonly phaseStartedAt: Timestamp;
  readonly lastSentAt: Timestamp;
  readonly metadata: ClusterMetadata;
  /** The stores, learners too, that acknowledged it under this metadata. */
  readonly acknowledgedBy: ReadonlySet<NodeId>;
  readonly logPosition: LogPosition;
  readonly previousLogPosition: LogPosition;
  readonly puts: readonly TableMutation[];
  readonly controlAfter: ControlState;
  readonly replies: readonly CommandReply[];
  readonly canaryReports: readonly { readonly to: Address; readonly report: CanaryReport }[];
}

/** A write from elsewhere that this store is putting on its own disk: replicated, part of a resync, or a bootstrap. */
export interface BackupWrite {
  readonly id: number;
  readonly startedAt: Timestamp;
  readonly purpose: 'replicate' | 'resync' | 'bootstrap';
  readonly replyTo: Address;
  readonly metadata: ClusterMetadata;
  readonly logPosition: LogPosition;
  readonly puts: readonly TableMutation[];
  readonly logPositionByKey: ReadonlyMap<string, LogPosition>;
  readonly commandId: CommandId | undefined;
}
