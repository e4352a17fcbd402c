/**
 * What a store knows of the processes around it: other stores, registries, and the nodes behind them.
 */

import type { Address, NodeId, Seq, Timestamp, ZoneName } from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, LogPosition } from '@switchwheel/transport';

/** What a peer store said of itself last. */
export interface PeerStatus {
  readonly node: NodeId;
  readonly address: Address;
  readonly metadata: ClusterMetadata | undefined;
  readonly stamp: LogPosition;
  readonly isPrimary: boolean;
  /** Whether its disk takes no writes now: it has no room, or makes no progress. */
  readonly isDiskFull: boolean;
  /** Whether it is about to stop. */
  readonly isStopping: boolean;
  readonly heardAt: Timestamp;
  readonly digests: readonly string[];
  /** When it was last seen to come closer to the primary's state, or came back. */
  readonly progressAt: Timestamp;
}

export interface Subscriber {
  readonly address: Address;
  readonly zone: ZoneName;
  /** How far its vote may be relied on, by its own word. */
  readonly voter: FrameOf<'subscribe'>['voter'];
  readonly heardAt: Timestamp;
  readonly serial: Seq;
  readonly purged: Seq;
}

export interface NodeContact {
  readonly registry: NodeId;
  readonly heardAt: Timestamp;
}
