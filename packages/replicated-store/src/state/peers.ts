/**
 * What a store knows of the processes around it: other stores, registries, and the nodes behind them.
 */

import type { Address, NodeId, Seq, Timestamp, ZoneName } from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, LogPosition } from '@switchwheel/transport';

/** The last status of a peer store. */
export interface PeerStatus {
  readonly node: NodeId;
  readonly address: Address;
  readonly metadata: ClusterMetadata | undefined;
  readonly logPosition: LogPosition;
  readonly isPrimary: boolean;
  /** Whether its disk takes no writes now: it has no room, or is stalled. */
  readonly isDiskFull: boolean;
  /** Whether it is about to stop. */
  readonly isStopping: boolean;
  readonly heardAt: Timestamp;
  readonly digests: readonly string[];
  /** When it last came closer to the primary's state, or came back. */
  readonly progressAt: Timestamp;
}

/** A registry that gets the feed, with what it has already. */
export interface Subscriber {
  readonly address: Address;
  readonly zone: ZoneName;
  /** How far its vote may be relied on, as it says. */
  readonly voterStatus: FrameOf<'subscribe'>['voter'];
  readonly heardAt: Timestamp;
  readonly serial: Seq;
  readonly latestPurge: Seq;
}

/** By which registry a node is in touch, and when it last was. */
export interface NodeContact {
  readonly registry: NodeId;
  readonly heardAt: Timestamp;
}
