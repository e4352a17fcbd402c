/**
 * State that a store keeps of other processes: peer stores, registries, and the nodes connected to registries.
 */

import type { Address, NodeId, Seq, Timestamp, ZoneName } from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, LogPosition } from '@switchwheel/transport';

/** Last known status of a peer store. */
export interface PeerStatus {
  readonly node: NodeId;
  readonly address: Address;
  readonly metadata: ClusterMetadata | undefined;
  readonly logPosition: LogPosition;
  readonly isPrimary: boolean;
  /** Whether its disk currently accepts no writes, as it is full or stalled. */
  readonly isDiskFull: boolean;
  /** Whether it is stopping gracefully. */
  readonly isStopping: boolean;
  readonly heardAt: Timestamp;
  readonly digests: readonly string[];
  /** Time at which its resync last progressed or it became reachable again. */
  readonly progressAt: Timestamp;
}

/** Registry that receives the feed, with the positions that it already has. */
export interface Subscriber {
  readonly address: Address;
  readonly zone: ZoneName;
  /** State of its voter, as reported by the registry. */
  readonly voterStatus: FrameOf<'subscribe'>['voter'];
  readonly heardAt: Timestamp;
  /** Last write whose desired state it has; `noSeq` if that was of another epoch. */
  readonly serial: Seq;
  readonly latestPurge: Seq;
  /** Last write whose recorded departures it has; undefined if it is of a version that reads none. */
  readonly departuresSerial: Seq | undefined;
}

/** Registry that last reported a node as connected, and the time of that report. */
export interface NodeContact {
  readonly registry: NodeId;
  readonly heardAt: Timestamp;
}
