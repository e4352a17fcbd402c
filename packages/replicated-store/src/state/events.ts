/**
 * What a store is told (events) and what it asks of its process (effects), the disk included.
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
      readonly stamp: LogPosition;
      readonly entries: readonly KeyedEntry[];
    };

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
      readonly faults: readonly ValidationIssue[];
    }
  /** The process is asked to stop, within the grace if it is given. */
  | { readonly kind: 'stopRequested'; readonly now: Timestamp; readonly graceMs?: number };

/** One write to the disk: all of it lasts, or none. */
export interface DiskWrite {
  readonly id: number;
  readonly metadata: ClusterMetadata;
  readonly stamp: LogPosition;
  readonly entries: readonly KeyedEntry[];
  readonly deletedKeys: readonly string[];
  /** Whether everything else on the disk goes first. */
  readonly wipesFirst: boolean;
}

export type StoreEffect =
  | ProcessEffect
  | { readonly kind: 'writeToDisk'; readonly write: DiskWrite }
  | {
      readonly kind: 'compileConfiguration';
      readonly hash: Hash;
      readonly texts: readonly string[];
    }
  | { readonly kind: 'completeStop' };
