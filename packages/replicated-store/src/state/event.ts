import type { Hash, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata, Stamp, WireEffect, WireEvent } from '@switchwheel/transport';
import type { Fault } from '@switchwheel/configuration';
import type { KeyedEntry } from '../table/table.js';

/** What a disk held when the store started. */
export type Found =
  | { readonly found: 'nothing' }
  | { readonly found: 'damaged'; readonly text: string }
  | {
      readonly found: 'whole';
      readonly metadata: ClusterMetadata;
      readonly stamp: Stamp;
      readonly entries: readonly KeyedEntry[];
    };

export type StoreEvent =
  | WireEvent
  | { readonly kind: 'read'; readonly now: Timestamp; readonly found: Found }
  | { readonly kind: 'synced'; readonly now: Timestamp; readonly id: number }
  | {
      readonly kind: 'unsynced';
      readonly now: Timestamp;
      readonly id: number;
      readonly text: string;
      readonly full: boolean;
    }
  | {
      readonly kind: 'compiled';
      readonly now: Timestamp;
      readonly hash: Hash;
      readonly faults: readonly Fault[];
    }
  /** The process is asked to stop, within the grace if it is given. */
  | { readonly kind: 'stop'; readonly now: Timestamp; readonly graceMs?: number };

/** One write to the disk: all of it lasts, or none. */
export interface DiskWrite {
  readonly id: number;
  readonly metadata: ClusterMetadata;
  readonly stamp: Stamp;
  readonly sets: readonly KeyedEntry[];
  readonly drops: readonly string[];
  /** Whether everything else on the disk goes first. */
  readonly wipe: boolean;
}

export type StoreEffect =
  | WireEffect
  | { readonly kind: 'sync'; readonly write: DiskWrite }
  | { readonly kind: 'compile'; readonly hash: Hash; readonly texts: readonly string[] }
  | { readonly kind: 'stopped' };
