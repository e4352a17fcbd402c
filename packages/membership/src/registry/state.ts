/**
 * State of a registry: its view of the fleet, and its operations in progress. Only `transition.ts`
 * and the event handlers that it calls create new states.
 */

import {
  type Address,
  type CommandId,
  type RandomState,
  type LeaseName,
  type Epoch,
  type FleetId,
  type Generation,
  type Hash,
  type Incarnation,
  type InstanceId,
  type NodeId,
  type Seq,
  type Timestamp,
  type Transition,
  type Violations,
  noEpoch,
  noSeq,
  noViolations,
  clockOrigin,
} from '@switchwheel/types';
import type {
  Electorate,
  FrameOf,
  LeaseHolder,
  Member,
  ConfigManifest,
  OriginInstance,
  Purge,
  RolloutState,
  NodeStatus,
  CanaryResult,
} from '@switchwheel/transport';
import { type Voter, newVoter } from '@switchwheel/election';
import type { OriginTable } from '../origins/origins.js';
import type { RegistryEffect } from './event.js';

/**
 * A node's session, with this registry or, as reported by gossip, with another one. Spread from and into
 * gossip frames, so `report` and `open` have the names that they have on the wire.
 */
export interface KnownSession {
  readonly member: Member;
  readonly report: NodeStatus;
  readonly registry: NodeId;
  readonly seq: Seq;
  readonly lastHeardAt: Timestamp;
  /** False once the node has ended the session. */
  readonly open: boolean;
  /** Digest of the release records that the node has; only known of sessions with this registry. */
  readonly releasesDigest?: string | undefined;
}

/** State received from the store's primary: desired configurations, purges, canary results and releases. */
export interface Feed {
  readonly epoch: Epoch;
  /** Sequence number of the write up to which `desired` and `offers` are complete. */
  readonly desiredSeq: Seq;
  /** Sequence number of the latest write that the primary has sent. */
  readonly latestSeq: Seq;
  /** Time as of which this feed holds all confirmed writes; undefined before the primary's first reply. */
  readonly asOf: Timestamp | undefined;
  readonly desired: ReadonlyMap<
    NodeId,
    { readonly generation: Generation; readonly hash: Hash; readonly failed?: Hash | undefined }
  >;
  readonly offers: ReadonlyMap<Hash, ConfigManifest>;
  readonly current: ConfigManifest | undefined;
  /** Time at which `current` was received. */
  readonly currentSince: Timestamp;
  readonly purges: readonly Purge[];
  readonly oldestPurge: Seq;
  readonly latestPurge: Seq;
  readonly canaryResults: readonly CanaryResult[];
  readonly releases: readonly RolloutState[];
  /** Time at which `releases` were received; their remaining times are relative to it. */
  readonly releasesReceivedAt: Timestamp;
  /** Whether the primary records departures; one of an older version deletes the record of the origin instead. */
  readonly recordsDepartures: boolean;
  /** Sequence number of the write up to which `departures` is complete. */
  readonly departuresSeq: Seq;
  /** Departures that are on the disks of the in-sync set. */
  readonly departures: ReadonlyMap<InstanceId, OriginInstance['state']>;
}
/** Feed before the primary's first frame. */
export const emptyFeed: Feed = {
  epoch: noEpoch,
  desiredSeq: noSeq,
  latestSeq: noSeq,
  asOf: undefined,
  desired: new Map(),
  offers: new Map(),
  current: undefined,
  currentSince: clockOrigin,
  purges: [],
  oldestPurge: noSeq,
  latestPurge: noSeq,
  canaryResults: [],
  releases: [],
  releasesReceivedAt: clockOrigin,
  recordsDepartures: false,
  departuresSeq: noSeq,
  departures: new Map(),
};

/** A command or read that waits for the primary's reply. */
export interface PendingCommand {
  readonly correlationId: number;
  /** Correlation ids of repetitions received while the command is pending; they get the same reply. */
  readonly duplicates: readonly number[];
  readonly receivedAt: Timestamp;
  readonly timeoutMs: number;
  /** Time at which it was last sent to a primary; undefined if it never was. */
  readonly forwardedAt: Timestamp | undefined;
  readonly verb: 'apply' | 'purge' | 'ask' | 'view' | 'electorate' | 'release';
  readonly body: string;
  /** Generation that must be in force for an upload to be applied. */
  readonly baseGeneration: Generation | undefined;
  /** Chunks of an uploaded configuration, until the store has them. */
  readonly chunks: ReadonlyMap<Hash, string>;
  /** Progress of a read of the configuration, once its manifest is known. */
  readonly configurationRead?: ConfigurationRead | undefined;
}

/** A read of the configuration whose manifest is known. */
export interface ConfigurationRead {
  readonly offer: ConfigManifest;
  /** Fields of the response other than the configuration itself. */
  readonly replyFields: object;
  /** Chunks that were requested and have not been received yet. */
  readonly awaitedChunks: ReadonlySet<Hash>;
}

/** An origin's departure that was announced to this registry, and its acknowledgements by other voters. */
export interface Departure {
  readonly state: OriginInstance['state'];
  readonly isConfirmed: boolean;
  readonly announcedAt: Timestamp;
  readonly sentAt: Timestamp;
  readonly acknowledgedBy: ReadonlySet<NodeId>;
  readonly waiters: readonly { readonly correlationId: number; readonly since: Timestamp }[];
}

/** A bootstrap in progress, with the stores that have agreed so far. */
export interface BootstrapInProgress {
  readonly correlationId: number;
  readonly startedAt: Timestamp;
  readonly stores: readonly NodeId[];
  readonly voters: readonly NodeId[];
  readonly agreedStores: ReadonlySet<NodeId>;
}

/** A cluster that registries propose without an operator's request; the same on all of them, from their settings. */
export interface ClusterProposal {
  readonly fleet: FleetId;
  readonly stores: readonly { readonly node: NodeId; readonly address: Address }[];
  readonly electorate: Electorate;
}

/** Contact of this registry with another one. */
export interface PeerContact {
  readonly incarnation: Incarnation;
  /** Time at which the peer sent its newest gossip, by the peer's clock. */
  readonly gossipSentAt: Timestamp;
  /** Time at which this registry sent the newest gossip that the peer has echoed. */
  readonly gossipEchoedAt: Timestamp | undefined;
  /** Time as of which the peer's feed of the primary is complete. */
  readonly primaryAsOf: Timestamp | undefined;
}

/** A store's disk hint, with the time at which it was received. */
export interface StoreHint {
  readonly frame: FrameOf<'hint'>;
  readonly heardAt: Timestamp;
}

/** State of a registry; immutable. */
export interface RegistryState {
  readonly member: Member;
  readonly proposal: ClusterProposal | undefined;
  readonly proposedAt: Timestamp;
  /** Whether nodes without a configuration are offered one from proven disk hints while there is no primary. */
  readonly offersDiskHints: boolean;
  readonly diskHints: ReadonlyMap<NodeId, StoreHint>;
  readonly seeds: readonly Address[];
  readonly voter: Voter;
  readonly sessions: ReadonlyMap<NodeId, KnownSession>;
  readonly origins: OriginTable;
  readonly holders: ReadonlyMap<LeaseName, LeaseHolder>;
  readonly peers: ReadonlyMap<NodeId, PeerContact>;
  readonly feed: Feed;
  readonly electorate: Electorate | undefined;
  readonly fleet: FleetId | undefined;
  readonly chunks: ReadonlyMap<Hash, string>;
  /** Addresses of the nodes that wait for each chunk. */
  readonly chunkWaiters: ReadonlyMap<Hash, ReadonlySet<Address>>;
  readonly chunkRequestedAt: ReadonlyMap<Hash, Timestamp>;
  /** Last offer to each node; `failures` counts how often in a row the node could not apply it. */
  readonly offersSent: ReadonlyMap<
    NodeId,
    { readonly hash: Hash; readonly sentAt: Timestamp; readonly failures: number }
  >;
  readonly pendingCommands: ReadonlyMap<CommandId, PendingCommand>;
  readonly bootstraps: ReadonlyMap<CommandId, BootstrapInProgress>;
  readonly departures: ReadonlyMap<InstanceId, Departure>;
  readonly gossipedAt: Timestamp;
  readonly subscribedAt: Timestamp;
  /** Time of the last periodic member list to the nodes with a session at this registry. */
  readonly memberListSentAt: Timestamp;
  /** Leases that were vacant at the last tick. */
  readonly vacantLeases: ReadonlySet<LeaseName>;
  readonly isStopping: boolean;
  /** Number of violations of each invariant. */
  readonly violations: Violations;
  readonly randomState: RandomState;
}

/** A new state, with the effects to run. */
export type RegistryTransition = Transition<RegistryState, RegistryEffect>;

/** Creates the state of a registry that has just started. */
export const newRegistryState = (
  member: Member,
  seeds: readonly Address[],
  now: Timestamp,
  randomState: RandomState,
  proposal?: ClusterProposal,
  offersDiskHints = false,
): RegistryState => ({
  proposal,
  proposedAt: clockOrigin,
  offersDiskHints,
  diskHints: new Map(),
  member,
  seeds,
  voter: newVoter(member.node, now, member.incarnation),
  sessions: new Map(),
  origins: new Map(),
  holders: new Map(),
  peers: new Map(),
  feed: emptyFeed,
  electorate: undefined,
  fleet: undefined,
  chunks: new Map(),
  chunkWaiters: new Map(),
  chunkRequestedAt: new Map(),
  offersSent: new Map(),
  pendingCommands: new Map(),
  bootstraps: new Map(),
  departures: new Map(),
  gossipedAt: clockOrigin,
  subscribedAt: clockOrigin,
  memberListSentAt: clockOrigin,
  vacantLeases: new Set(),
  isStopping: false,
  violations: noViolations,
  randomState,
});
