/**
 * The state of a registry: what it learned of the fleet, and what it has under way. Only
 * `transition.ts` and its parts make new states.
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

/** A session as this registry knows it: its own, or another registry's by gossip. */
export interface KnownSession {
  readonly member: Member;
  readonly report: NodeStatus;
  readonly registry: NodeId;
  readonly seq: Seq;
  readonly lastHeardAt: Timestamp;
  /** Whether the node has not ended it. */
  readonly open: boolean;
  /** The digest of the release records that the node knows; only known of own sessions. */
  readonly releasesDigest?: string | undefined;
}

/** What the store's primary sent last: what nodes are to run and to have. */
export interface Feed {
  readonly epoch: Epoch;
  /** The write as of which `desired` and `offers` are complete. */
  readonly desiredSerial: Seq;
  /** The latest write that the primary sent a frame for. */
  readonly latestSerial: Seq;
  /** As of when the primary is known to have confirmed nothing newer; undefined before its first answer. */
  readonly asOf: Timestamp | undefined;
  readonly desired: ReadonlyMap<
    NodeId,
    { readonly generation: Generation; readonly hash: Hash; readonly failed?: Hash | undefined }
  >;
  readonly offers: ReadonlyMap<Hash, ConfigManifest>;
  readonly current: ConfigManifest | undefined;
  /** When `current` came to be known here. */
  readonly currentSince: Timestamp;
  readonly purges: readonly Purge[];
  readonly oldestPurge: Seq;
  readonly latestPurge: Seq;
  readonly canaryResults: readonly CanaryResult[];
  readonly releases: readonly RolloutState[];
  /** When `releases` came: their remaining times run from there. */
  readonly releasesReceivedAt: Timestamp;
}
/** The feed before the primary's first frame. */
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

/** A command or read that waits for the primary's answer. */
export interface PendingCommand {
  readonly correlationId: number;
  /** The same command, sent again while it is pending: correlation ids that get the one answer too. */
  readonly duplicates: readonly number[];
  readonly receivedAt: Timestamp;
  readonly timeoutMs: number;
  /** When it was last sent to a primary; undefined if it never was. */
  readonly forwardedAt: Timestamp | undefined;
  readonly verb: 'apply' | 'purge' | 'ask' | 'view' | 'electorate' | 'release';
  readonly body: string;
  /** The generation that must be in force for an upload to be applied. */
  readonly baseGeneration: Generation | undefined;
  /** The chunks of an uploaded configuration, until the store has them. */
  readonly chunks: ReadonlyMap<Hash, string>;
  /** How far a read of the configuration is, once the primary has named it. */
  readonly configurationRead?: ConfigurationRead | undefined;
}

/** A read of the configuration whose manifest is known: which chunks were requested and have not come yet. */
export interface ConfigurationRead {
  readonly offer: ConfigManifest;
  /** The members of the answer beside the configuration itself. */
  readonly replyFields: object;
  readonly awaitedChunks: ReadonlySet<Hash>;
}

/** An origin's departure that was announced here, until a majority of voters has acknowledged it. */
export interface Departure {
  readonly state: OriginInstance['state'];
  readonly isConfirmed: boolean;
  readonly sentAt: Timestamp;
  readonly acknowledgedBy: ReadonlySet<NodeId>;
  readonly waiters: readonly { readonly correlationId: number; readonly since: Timestamp }[];
}

/** A bootstrap in progress, with the stores that agreed so far. */
export interface BootstrapInProgress {
  readonly correlationId: number;
  readonly startedAt: Timestamp;
  readonly stores: readonly NodeId[];
  readonly voters: readonly NodeId[];
  readonly agreedStores: ReadonlySet<NodeId>;
}

/** A cluster that its first registries propose by themselves: all of them the same, from the same settings. */
export interface ClusterProposal {
  readonly fleet: FleetId;
  readonly stores: readonly { readonly node: NodeId; readonly address: Address }[];
  readonly electorate: Electorate;
}

/** What this registry knows of its contact with another one. */
export interface PeerContact {
  readonly incarnation: Incarnation;
  /** When the newest gossip of the peer was sent, by the peer's clock. */
  readonly gossipSentAt: Timestamp;
  /** When this registry sent the newest gossip that the peer is known to have. */
  readonly gossipEchoedAt: Timestamp | undefined;
  /** As of when the peer has the primary's feed. */
  readonly primaryAsOf: Timestamp | undefined;
}

/** A store's report of its disk. */
export interface StoreHint {
  readonly frame: FrameOf<'hint'>;
  readonly heardAt: Timestamp;
}

/** All state of a registry; immutable. */
export interface RegistryState {
  readonly member: Member;
  readonly proposal: ClusterProposal | undefined;
  readonly proposedAt: Timestamp;
  /** Whether a node that runs nothing is offered what disks are proven to hold, while there is no primary. */
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
  /** Nodes that wait for a chunk. */
  readonly chunkWaiters: ReadonlyMap<Hash, ReadonlySet<Address>>;
  readonly chunkRequestedAt: ReadonlyMap<Hash, Timestamp>;
  /** The offer that each node was last sent; `tries` counts those it could not apply. */
  readonly offersSent: ReadonlyMap<
    NodeId,
    { readonly hash: Hash; readonly at: Timestamp; readonly tries: number }
  >;
  readonly pendingCommands: ReadonlyMap<CommandId, PendingCommand>;
  readonly bootstraps: ReadonlyMap<CommandId, BootstrapInProgress>;
  readonly departures: ReadonlyMap<InstanceId, Departure>;
  readonly gossipedAt: Timestamp;
  readonly subscribedAt: Timestamp;
  /** When the nodes with a session here last got the member list. */
  readonly memberListSentAt: Timestamp;
  /** Leases that were vacant at the last tick. */
  readonly vacantLeases: ReadonlySet<LeaseName>;
  readonly isStopping: boolean;
  /** How often each invariant was broken here. */
  readonly violations: Violations;
  readonly randomState: RandomState;
}

/** A state with the effects of the event that led to it. */
export type RegistryTransition = Transition<RegistryState, RegistryEffect>;

/** The state of a registry that has just started. */
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
