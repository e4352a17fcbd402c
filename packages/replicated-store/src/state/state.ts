import {
  type Address,
  type ZoneName,
  type CommandId,
  type RandomState,
  type Epoch,
  type Generation,
  type Hash,
  type Incarnation,
  type Timestamp,
  type NodeId,
  type Release,
  type Seq,
  type ServiceName,
  type Violations,
  noEpoch,
  noSeq,
  noViolations,
  primaryLease,
  clockOrigin,
} from '@switchwheel/types';
import type {
  PurgeTarget,
  ClusterMetadata,
  Peer,
  Electorate,
  FrameOf,
  Member,
  TableMutation,
  NodeStatus,
  LogPosition,
} from '@switchwheel/transport';
import { type Candidate, newCandidate } from '@switchwheel/election';
import { type NodeSession, newNodeSession } from '@switchwheel/membership';
import {
  type ControlState,
  type ValidationIssue,
  type ReleaseRollout,
  type StatusSince,
  type RolloutWatch,
  emptyControlState,
  type ReleaseSettings,
} from '@switchwheel/configuration';
import type { Table } from './table.js';

/** Who waits for the answer to a call. */
export interface Caller {
  readonly to: Address;
  readonly id: CommandId;
}

/** What is to become one write, in its turn. */
export type Command =
  | {
      readonly kind: 'apply';
      readonly asker: Caller;
      readonly hash: Hash;
      readonly order: readonly Hash[];
      readonly base: Generation | undefined;
      readonly number: Generation | undefined;
      readonly faults: readonly ValidationIssue[];
    }
  /** Pieces of a description that is too large for one write: they are stored before it. */
  | { readonly kind: 'pieces'; readonly hashes: readonly Hash[] }
  | { readonly kind: 'purge'; readonly asker: Caller; readonly aims: readonly PurgeTarget[] }
  | { readonly kind: 'electorate'; readonly asker: Caller; readonly electorate: Electorate }
  | { readonly kind: 'seats'; readonly electorate: Electorate }
  | {
      readonly kind: 'node';
      readonly node: NodeId;
      readonly role: string;
      readonly incarnation: Incarnation;
      readonly online: boolean;
      readonly report: NodeStatus;
    }
  | { readonly kind: 'forget'; readonly node: NodeId }
  | { readonly kind: 'trial'; readonly to: Address; readonly word: CanaryReport }
  | {
      readonly kind: 'order';
      readonly asker: Caller;
      readonly service: ServiceName;
      readonly target: Release;
      readonly spanMs: number;
    }
  | { readonly kind: 'release'; readonly next: ReleaseRollout }
  | { readonly kind: 'origins'; readonly sure: boolean }
  | { readonly kind: 'plan' }
  | { readonly kind: 'turn' };

export interface CanaryReport {
  readonly service: ServiceName;
  readonly release: Release;
  readonly spent: number;
  readonly bad: number;
  readonly good: number;
  readonly seen: number;
  readonly state: 'trial' | 'good' | 'bad';
  readonly at: Timestamp;
}

export interface CommandReply {
  readonly to: Address;
  readonly id: CommandId;
  readonly status: number;
  readonly body: string;
}

/** Parts of the fleet that fail as one. */
export interface FailureDomains {
  /** How many of them may be lost at once. */
  readonly tolerate: number;
  /** The domain of each area that is not one by itself. */
  readonly domainOfZone: ReadonlyMap<ZoneName, string>;
}

/** How many copies of the state a fleet keeps, and how many machines with a disk it may lose at once. */
export interface ReplicationSettings {
  readonly copies: number;
  readonly tolerate: number;
  /** Whether registries that come become voters, and take the seats of those that are gone, by themselves. */
  readonly electorateFollowsRegistries: boolean;
  /** Areas, or groups of them, that may be lost as a whole, besides single machines. */
  readonly failureDomains?: FailureDomains;
  /** Within which span of a repair or a replacement the next losses are borne, in milliseconds. */
  readonly recoveryWindowMs?: number;
  /** Whether the origins that stand are kept on disk. */
  readonly persistsOrigins?: boolean;
  /** What a release on trial is held to. */
  readonly releases?: ReleaseSettings;
}
export const defaultReplicationSettings: ReplicationSettings = {
  copies: 2,
  tolerate: 1,
  electorateFollowsRegistries: false,
};

/** A write under way: first on this disk, then on those of the backups in sync. */
export interface PrimaryWrite {
  readonly id: number;
  /** An orphan was given up while the disk still had it in hand: what lasts of it is known later. */
  readonly phase: 'disk' | 'copy' | 'orphan';
  /** Whether this disk has it already, from before the in-sync set changed: then it is never told as refused. */
  readonly isOnOwnDisk: boolean;
  readonly phaseStartedAt: Timestamp;
  readonly lastSentAt: Timestamp;
  readonly metadata: ClusterMetadata;
  /** The stores, learners too, that acknowledged it under this metadata. */
  readonly acknowledgedBy: ReadonlySet<NodeId>;
  readonly stamp: LogPosition;
  readonly previousStamp: LogPosition;
  readonly puts: readonly TableMutation[];
  readonly controlAfter: ControlState;
  readonly replies: readonly CommandReply[];
  readonly canaryReports: readonly { readonly to: Address; readonly word: CanaryReport }[];
}

/** A copy or a mend that this store is putting on its own disk for the primary. */
export interface BackupWrite {
  readonly id: number;
  readonly startedAt: Timestamp;
  readonly purpose: 'replicated' | 'resynced' | 'bootstrapped';
  readonly to: Address;
  readonly metadata: ClusterMetadata;
  readonly stamp: LogPosition;
  readonly puts: readonly TableMutation[];
  readonly stamps: ReadonlyMap<string, LogPosition>;
  readonly callId: CommandId | undefined;
}

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
  readonly at: Timestamp;
  readonly digests: readonly string[];
  /** When it was last seen to come closer to the primary's state, or came back. */
  readonly progressAt: Timestamp;
}

export interface Subscriber {
  readonly address: Address;
  readonly zone: ZoneName;
  /** How far its vote may be relied on, by its own word. */
  readonly voter: FrameOf<'subscribe'>['voter'];
  readonly at: Timestamp;
  readonly serial: Seq;
  readonly purged: Seq;
}

export interface Contact {
  readonly registry: NodeId;
  readonly at: Timestamp;
}

/** The whole state of a store. */
export interface StoreState {
  readonly session: NodeSession;
  readonly settings: ReplicationSettings;
  readonly phase: 'reading' | 'empty' | 'member' | 'stopping';
  /** When this process had read its disk. */
  readonly startedAt: Timestamp;
  readonly diskDamage: string;
  /** Whether a fleet may be founded on this store: one that came back with an empty disk belongs to one already. */
  readonly mayBootstrap: boolean;
  /** Whether the disk holds something that can't be trusted: the first write sweeps it away. */
  readonly mustWipe: boolean;
  readonly metadata: ClusterMetadata | undefined;
  readonly stamp: LogPosition;
  readonly table: Table;
  readonly control: ControlState;
  readonly candidate: Candidate;
  /** Set once the metadata of this holding is on every disk it must be on. */
  readonly isServing: boolean;
  /** Set while this holding could not be written down, as the disk is full: it reads and pushes, and writes nothing. */
  readonly isReadOnly: boolean;
  readonly primaryWrite: PrimaryWrite | undefined;
  readonly backupWrite: BackupWrite | undefined;
  /** Mends that came while one was being written. */
  readonly resyncQueue: readonly {
    readonly from: Peer;
    readonly word: FrameOf<'resync-entries'>;
  }[];
  /** Writes of the primary that came while another one was on its way to the disk. */
  readonly replicationQueue: readonly {
    readonly from: Peer;
    readonly word: FrameOf<'replicate'>;
  }[];
  readonly commandQueue: readonly Command[];
  /** Calls whose description is being compiled: several may bring the same one. */
  readonly compiling: ReadonlyMap<Hash, readonly Extract<Command, { kind: 'apply' }>[]>;
  /**
   * The text of each piece that an order under way relies on, whether it was received for it or stood in the table:
   * another order's write may drop it from the table before this one is written.
   */
  readonly heldChunks: ReadonlyMap<Hash, string>;
  readonly awaitingChunks: ReadonlyMap<
    CommandId,
    {
      readonly command: Extract<Command, { kind: 'apply' }>;
      readonly since: Timestamp;
      readonly asked: Timestamp;
      readonly awaited: number;
    }
  >;
  readonly peers: ReadonlyMap<NodeId, PeerStatus>;
  /** The spare that is being mended, and since when it made no progress. */
  readonly activeResync: { readonly node: NodeId; readonly since: Timestamp } | undefined;
  /** Spares whose mending came to nothing: the others have their turn first. */
  readonly resyncAttempted: ReadonlySet<NodeId>;
  readonly subscribers: ReadonlyMap<NodeId, Subscriber>;
  readonly contacts: ReadonlyMap<NodeId, Contact>;
  /** Since when this primary has had fewer copies than losses to be tolerated ask for. */
  readonly shortageSince: Timestamp | undefined;
  /** The highest epoch that is known to have left this store out. */
  readonly excludedAtEpoch: Epoch;
  /** When a primary was last heard. */
  readonly primaryHeardAt: Timestamp;
  readonly statusSentAt: Timestamp;
  /** When the origins were last looked at. */
  readonly originsCheckedAt: Timestamp;
  readonly plannedAt: Timestamp;
  readonly rolloutsAdvancedAt: Timestamp;
  /** The electorate that this store polls, and since when: votes asked for before count for an older one. */
  readonly polledElectorate: { readonly serial: Seq; readonly since: Timestamp };
  /** Since when this store is leaving, and until when it may take. */
  readonly stopping: { readonly since: Timestamp; readonly deadline: Timestamp } | undefined;
  readonly rolloutsDueAt: Timestamp | undefined;
  /** The last write that changed what nodes are to run: registries that have it are not told of it again. */
  readonly lastNodeChangeSeq: Seq;
  /** The orders of releases as this holding watches them. */
  readonly releaseWatches: ReadonlyMap<ServiceName, RolloutWatch>;
  readonly targetStatusSeen: StatusSince;
  readonly rolloutOpenedAt: Timestamp | undefined;
  readonly diskFullAt: Timestamp | undefined;
  /** When registries were last asked for pieces that the description in force lacks. */
  readonly chunksRequestedAt: Timestamp;
  /** How many pieces were asked for here that the table did not hold. */
  readonly missedChunkRequests: number;
  /** How often each invariant was found broken here. */
  readonly violations: Violations;
  readonly standDownUntil: Timestamp;
  readonly nextWriteId: number;
  readonly randomState: RandomState;
}

export const noStamp: LogPosition = { epoch: noEpoch, seq: noSeq };

export const newStoreState = (
  member: Member,
  seeds: readonly Address[],
  randomState: RandomState,
  settings = defaultReplicationSettings,
  mayBootstrap = true,
): StoreState => ({
  mayBootstrap: mayBootstrap,
  session: newNodeSession(member, seeds, { seed: randomState.seed ^ 0x5bd1e995 }),
  settings: settings,
  phase: 'reading',
  startedAt: clockOrigin,
  diskDamage: '',
  mustWipe: false,
  metadata: undefined,
  stamp: noStamp,
  table: new Map(),
  control: emptyControlState,
  candidate: newCandidate(member.node, primaryLease, []),
  isServing: false,
  isReadOnly: false,
  primaryWrite: undefined,
  backupWrite: undefined,
  resyncQueue: [],
  replicationQueue: [],
  commandQueue: [],
  compiling: new Map(),
  heldChunks: new Map(),
  awaitingChunks: new Map(),
  peers: new Map(),
  activeResync: undefined,
  resyncAttempted: new Set(),
  subscribers: new Map(),
  contacts: new Map(),
  shortageSince: undefined,
  excludedAtEpoch: noEpoch,
  primaryHeardAt: clockOrigin,
  statusSentAt: clockOrigin,
  plannedAt: clockOrigin,
  rolloutsAdvancedAt: clockOrigin,
  polledElectorate: { serial: noSeq, since: clockOrigin },
  stopping: undefined,
  originsCheckedAt: clockOrigin,
  rolloutsDueAt: undefined,
  lastNodeChangeSeq: noSeq,
  releaseWatches: new Map(),
  targetStatusSeen: new Map(),
  rolloutOpenedAt: undefined,
  diskFullAt: undefined,
  chunksRequestedAt: clockOrigin,
  missedChunkRequests: 0,
  violations: noViolations,
  standDownUntil: clockOrigin,
  nextWriteId: 1,
  randomState,
});

export const ownId = (state: StoreState): NodeId => state.session.member.node;
