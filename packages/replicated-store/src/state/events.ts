/**
 * Events that a store handles, and effects that its process runs, disk access included.
 */

import type { Hash, Timestamp } from '@switchwheel/types';
import type {
  ClusterMetadata,
  LogPosition,
  ProcessEffect,
  ProcessEvent,
} from '@switchwheel/transport';
import type { ValidationIssue } from '@switchwheel/configuration';
import type { KeyedEntry } from './table.js';

/** Contents of the disk at the start of the store. */
export type DiskContents =
  | { readonly status: 'empty' }
  | { readonly status: 'damaged'; readonly reason: string }
  | {
      readonly status: 'complete';
      readonly metadata: ClusterMetadata;
      readonly logPosition: LogPosition;
      readonly entries: readonly KeyedEntry[];
    };

/** Event for a store; `now` is the monotonic clock of its process. */
export type StoreEvent =
  | ProcessEvent
  | { readonly kind: 'diskRead'; readonly now: Timestamp; readonly contents: DiskContents }
  | { readonly kind: 'writeSynced'; readonly now: Timestamp; readonly writeId: number }
  | {
      readonly kind: 'writeFailed';
      readonly now: Timestamp;
      readonly writeId: number;
      readonly reason: string;
      readonly isDiskFull: boolean;
    }
  | {
      readonly kind: 'configurationCompiled';
      readonly now: Timestamp;
      readonly hash: Hash;
      readonly issues: readonly ValidationIssue[];
    }
  /** Request to stop the process, within `graceMs` if given. */
  | { readonly kind: 'stopRequested'; readonly now: Timestamp; readonly graceMs?: number };

/** Event of a failed disk write. */
export type WriteFailed = Extract<StoreEvent, { kind: 'writeFailed' }>;

/** Atomic write to the disk: all of it becomes durable, or none. */
export interface DiskWrite {
  readonly id: number;
  readonly metadata: ClusterMetadata;
  readonly logPosition: LogPosition;
  readonly entries: readonly KeyedEntry[];
  readonly deletedKeys: readonly string[];
  /** Whether the disk is wiped first. */
  readonly wipesFirst: boolean;
}

/** Effect that a store requests from its process; effects are run in order. */
export type StoreEffect =
  | ProcessEffect
  | { readonly kind: 'writeToDisk'; readonly write: DiskWrite }
  | {
      readonly kind: 'compileConfiguration';
      readonly hash: Hash;
      readonly texts: readonly string[];
    }
  | { readonly kind: 'completeStop' };
