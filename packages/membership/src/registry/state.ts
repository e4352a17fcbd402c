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
  type Timestamp,
  type NodeId,
  type Seq,
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
import type { ConfigurationRead } from './configuration-read.js';

/** A session as this registry knows it, its own or a peer's. */
export interface KnownSession {
  readonly member: Member;
  readonly report: NodeStatus;
  readonly registry: NodeId;
  readonly seq: Seq;
  readonly lastHeardAt: Timestamp;
  readonly open: boolean;
  /** The digest of the records of releases that it said it knows. */
  readonly releasesDigest?: string | undefined;
}

/** What the primary told last, and as of when it is known to be all there is. */
export interface Feed {
  readonly epoch: Epoch;
  /** The write as of which the desired state here is whole, and the last one that was told of. */
  readonly desiredSerial: Seq;
  readonly latestSerial: Seq;
  readonly asOf: Timestamp | undefined;
  readonly desired: ReadonlyMap<
    NodeId,
    { readonly generation: Generation; readonly hash: Hash; readonly failed?: Hash | undefined }
  >;
  readonly offers: ReadonlyMap<Hash, ConfigManifest>;
  readonly current: ConfigManifest | undefined;
  /** When the current offer was first heard of here. */
  readonly currentSince: Timestamp;
  readonly purges: readonly Purge[];
  readonly oldestPurge: Seq;
  readonly latestPurge: Seq;
  readonly canaryResults: readonly CanaryResult[];
  readonly releases: readonly RolloutState[];
  /** When the releases were told: their spans run on from there. */
  readonly releasesReceivedAt: Timestamp;
}
export const emptyFeed: Feed = {
  epoch: noEpoch,
  desiredSerial: noSeq,
  latestSerial: noSeq,
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
};

/** An outside call that waits for the store. */
export interface PendingCommand {
  readonly correlationId: number;
  /** The same order, sent again here while it is under way: answered as the first one is. */
  readonly duplicates: readonly number[];
  readonly receivedAt: Timestamp;
  readonly span: number;
  readonly forwardedAt: Timestamp | undefined;
  readonly verb: 'apply' | 'purge' | 'ask' | 'view' | 'electorate' | 'release';
  readonly body: string;
  readonly base: Generation | undefined;
  readonly pieces: ReadonlyMap<Hash, string>;
  /** How far a read of the description is, once the primary has named the offer. */
  readonly configurationRead?: ConfigurationRead | undefined;
}

/** An origin's departure that was announced here: who of the peers confirmed that they know, and who waits for it. */
export interface Departure {
  readonly state: OriginInstance['state'];
  readonly isConfirmed: boolean;
  readonly sentAt: Timestamp;
  readonly acknowledgedBy: ReadonlySet<NodeId>;
  readonly waiters: readonly { readonly ref: number; readonly since: Timestamp }[];
}

/** A founding under way: the stores that agreed so far. */
export interface BootstrapInProgress {
  readonly correlationId: number;
  readonly startedAt: Timestamp;
  readonly stores: readonly NodeId[];
  readonly voters: readonly NodeId[];
  readonly agreedStores: ReadonlySet<NodeId>;
}

/** A fleet that its first processes found by themselves: each of them, from the same seeds, proposes the same. */
export interface ClusterProposal {
  readonly fleet: FleetId;
  readonly stores: readonly { readonly node: NodeId; readonly address: Address }[];
  readonly electorate: Electorate;
}

/** What this registry knows of its way to and from a peer. */
export interface PeerContact {
  readonly incarnation: Incarnation;
  /** When the newest gossip of the peer was sent, by the peer's clock. */
  readonly gossipSentAt: Timestamp;
  /** When this registry sent the newest gossip that the peer is known to have. */
  readonly gossipEchoedAt: Timestamp | undefined;
  /** As of when the peer is known to have heard the primary. */
  readonly primaryAsOf: Timestamp | undefined;
}

/** What a store said of its disk, and when it was heard. */
export interface StoreHint {
  readonly frame: FrameOf<'hint'>;
  readonly heardAt: Timestamp;
}

export interface RegistryState {
  readonly member: Member;
  readonly proposal: ClusterProposal | undefined;
  readonly proposedAt: Timestamp;
  /** Whether a node that runs nothing gets the newest that any disk is known to hold, while no primary is heard of. */
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
  readonly chunkWaiters: ReadonlyMap<Hash, ReadonlySet<Address>>;
  readonly chunkRequestedAt: ReadonlyMap<Hash, Timestamp>;
  readonly offersSent: ReadonlyMap<
    NodeId,
    { readonly hash: Hash; readonly at: Timestamp; readonly tries: number }
  >;
  readonly pendingCommands: ReadonlyMap<CommandId, PendingCommand>;
  readonly bootstraps: ReadonlyMap<CommandId, BootstrapInProgress>;
  readonly departures: ReadonlyMap<InstanceId, Departure>;
  readonly gossipedAt: Timestamp;
  readonly subscribedAt: Timestamp;
  /** When the nodes with a session here were last told of the whole fleet. */
  readonly memberListSentAt: Timestamp;
  /** Duties that were vacant at the last look. */
  readonly vacantLeases: ReadonlySet<LeaseName>;
  readonly isStopping: boolean;
  /** How often each invariant was found broken here. */
  readonly violations: Violations;
  readonly randomState: RandomState;
}

export const newRegistryState = (
  member: Member,
  seeds: readonly Address[],
  now: Timestamp,
  dice: RandomState,
  proposal?: ClusterProposal,
  eager = false,
): RegistryState => ({
  proposal,
  proposedAt: clockOrigin,
  offersDiskHints: eager,
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
  randomState: dice,
});
