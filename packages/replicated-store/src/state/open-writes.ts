/**
 * Writes that are under way: the primary's own, and one that a backup takes from its primary.
 */

import type { Address, CommandId, NodeId, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata, LogPosition, TableMutation } from '@switchwheel/transport';
import type { ControlState } from '@switchwheel/configuration';
import type { CanaryReport, CommandReply } from '../commands/command.js';

/** A write under way: first on this disk, then on those of the backups in sync. */
export interface PrimaryWrite {
  readonly id: number;
  /** An orphan was given up while the disk still had it in hand: what lasts of it is known later. */
  readonly phase: 'disk' | 'copy' | 'orphan';
  /** Whether this disk has it already, from before the in-sync set changed: then it is never told as refused. */
  readonly isOnOwnDisk: boolean;
  readonly phaseStartedAt: Timestamp;
  readonly lastSentAt: Timestamp;
  readonly metadata: ClusterMetadata;
  /** The stores, learners too, that acknowledged it under this metadata. */
  readonly acknowledgedBy: ReadonlySet<NodeId>;
  readonly stamp: LogPosition;
  readonly previousStamp: LogPosition;
  readonly puts: readonly TableMutation[];
  readonly controlAfter: ControlState;
  readonly replies: readonly CommandReply[];
  readonly canaryReports: readonly { readonly to: Address; readonly report: CanaryReport }[];
}

/** A copy or a mend that this store is putting on its own disk for the primary. */
export interface BackupWrite {
  readonly id: number;
  readonly startedAt: Timestamp;
  readonly purpose: 'replicate' | 'resync' | 'bootstrap';
  readonly replyTo: Address;
  readonly metadata: ClusterMetadata;
  readonly stamp: LogPosition;
  readonly puts: readonly TableMutation[];
  readonly stamps: ReadonlyMap<string, LogPosition>;
  readonly commandId: CommandId | undefined;
}
