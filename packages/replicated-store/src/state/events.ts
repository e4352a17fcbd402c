/**
 * Events that reach a store, and effects that it asks of its process, the disk included.
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

/** What a disk held when the store started. */
export type DiskContents =
  | { readonly status: 'empty' }
  | { readonly status: 'damaged'; readonly reason: string }
  | {
      readonly status: 'complete';
      readonly metadata: ClusterMetadata;
      readonly logPosition: LogPosition;
      readonly entries: readonly KeyedEntry[];
    };

/** What reaches a store; `now` is the time of its process's monotonic clock. */
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
  /** The process is asked to stop, within `graceMs` if it is given. */
  | { readonly kind: 'stopRequested'; readonly now: Timestamp; readonly graceMs?: number };

/** The disk did not take a write. */
export type WriteFailed = Extract<StoreEvent, { kind: 'writeFailed' }>;

/** One write to the disk: all of it is durable, or none. */
export interface DiskWrite {
  readonly id: number;
  readonly metadata: ClusterMetadata;
  readonly logPosition: LogPosition;
  readonly entries: readonly KeyedEntry[];
  readonly deletedKeys: readonly string[];
  /** Whether everything on the disk is deleted first. */
  readonly wipesFirst: boolean;
}

/** What a store asks of its process, in the order in which it is to be done. */
export type StoreEffect =
  | ProcessEffect
  | { readonly kind: 'writeToDisk'; readonly write: DiskWrite }
  | {
      readonly kind: 'compileConfiguration';
      readonly hash: Hash;
      readonly texts: readonly string[];
    }
  | { readonly kind: 'completeStop' };
