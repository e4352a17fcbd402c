/**
 * State of a store, and its initial value. Each part is changed by the module that owns it. The state is not sent or
 * stored in this form.
 */

import {
  type Address,
  type CommandId,
  type Epoch,
  type Hash,
  type NodeId,
  type RandomState,
  type Seq,
  type ServiceName,
  type Timestamp,
  type Violations,
  clockOrigin,
  noEpoch,
  noSeq,
  noViolations,
  primaryLease,
} from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, LogPosition, Member, Peer } from '@switchwheel/transport';
import { type Candidate, newCandidate } from '@switchwheel/election';
import {
  type ControlState,
  type RolloutWatch,
  type StatusSince,
  emptyControlState,
} from '@switchwheel/configuration';
import { type NodeSession, newNodeSession } from '@switchwheel/membership';
import type { Command } from '../commands/command.js';
import type { BackupWrite, PrimaryWrite } from './open-writes.js';
import type { NodeContact, PeerStatus, Subscriber } from './peers.js';
import { type ReplicationSettings, defaultReplicationSettings } from './replication-settings.js';
import type { Table } from './table.js';

/** State of a store; all times are of the process's own monotonic clock. */
export interface StoreState {
  readonly session: NodeSession;
  readonly settings: ReplicationSettings;
  readonly phase: 'reading' | 'empty' | 'member' | 'stopping';
  /** Time at which the disk had been read. */
  readonly startedAt: Timestamp;
  /** Reason why the contents of the disk are unusable; empty if they are usable. */
  readonly diskDamage: string;
  /**
   * Whether a fleet may be bootstrapped on this store; false for one that restarted with an empty disk, as it already
   * belongs to a fleet.
   */
  readonly mayBootstrap: boolean;
  /** Whether the disk holds damaged data, which the first write wipes. */
  readonly mustWipe: boolean;
  readonly metadata: ClusterMetadata | undefined;
  readonly logPosition: LogPosition;
  readonly table: Table;
  readonly control: ControlState;
  readonly candidate: Candidate;
  /**
   * Whether this store serves as primary: the metadata of its epoch is committed, or it is read-only. Reset when the
   * lease ends.
   */
  readonly isServing: boolean;
  /**
   * Whether a full disk refused the metadata of this epoch: the primary serves queries and feeds, but accepts no
   * writes.
   */
  readonly isReadOnly: boolean;
  readonly primaryWrite: PrimaryWrite | undefined;
  readonly backupWrite: BackupWrite | undefined;
  /** Entries of a resync received while others were being written. */
  readonly resyncQueue: readonly {
    readonly from: Peer;
    readonly frame: FrameOf<'resync-entries'>;
  }[];
  /** Replicated writes received while another one was being written. */
  readonly replicationQueue: readonly {
    readonly from: Peer;
    readonly frame: FrameOf<'replicate'>;
  }[];
  readonly commandQueue: readonly Command[];
  /** Commands whose configuration is being compiled, by its hash; several may share one configuration. */
  readonly compiling: ReadonlyMap<
    Hash,
    readonly Extract<Command, { kind: 'applyConfiguration' }>[]
  >;
  /**
   * Text of each chunk that a pending upload needs, received or copied from the table: the write of another
   * upload may delete a chunk from the table before this one is written.
   */
  readonly heldChunks: ReadonlyMap<Hash, string>;
  /** Uploads that are waiting for chunks. */
  readonly awaitingChunks: ReadonlyMap<
    CommandId,
    {
      readonly command: Extract<Command, { kind: 'applyConfiguration' }>;
      readonly since: Timestamp;
      readonly requestedAt: Timestamp;
      readonly outstandingChunks: number;
    }
  >;
  readonly peers: ReadonlyMap<NodeId, PeerStatus>;
  /** Learner being resynced, and the time of its last progress. */
  readonly activeResync: { readonly node: NodeId; readonly since: Timestamp } | undefined;
  /** Learners whose last resync timed out; other learners are resynced first. */
  readonly resyncAttempted: ReadonlySet<NodeId>;
  readonly subscribers: ReadonlyMap<NodeId, Subscriber>;
  readonly nodeContacts: ReadonlyMap<NodeId, NodeContact>;
  /** Start of the current shortage of replicas at this primary. */
  readonly shortageSince: Timestamp | undefined;
  /** Highest epoch whose in-sync set is known to exclude this store. */
  readonly excludedAtEpoch: Epoch;
  readonly primaryHeardAt: Timestamp;
  readonly statusSentAt: Timestamp;
  /** Time at which the recorded origins were last compared with the announced ones. */
  readonly originsCheckedAt: Timestamp;
  readonly rolloutPlannedAt: Timestamp;
  readonly rolloutsAdvancedAt: Timestamp;
  /** Electorate that this store polls, and the time since when; votes requested before that are of an older one. */
  readonly polledElectorate: { readonly serial: Seq; readonly since: Timestamp };
  /** Start and deadline of a graceful stop. */
  readonly stopping: { readonly since: Timestamp; readonly deadline: Timestamp } | undefined;
  readonly rolloutsDueAt: Timestamp | undefined;
  /**
   * Last write that changed the desired state of nodes; registries that have it are not sent the desired state again.
   */
  readonly lastNodeChangeSeq: Seq;
  /** Last write that changed a record of an origin; registries that have it are not sent the departures again. */
  readonly lastOriginChangeSeq: Seq;
  /** Progress of release rollouts observed by this primary. */
  readonly releaseWatches: ReadonlyMap<ServiceName, RolloutWatch>;
  readonly targetStatusSince: StatusSince;
  readonly rolloutOpenedAt: Timestamp | undefined;
  readonly diskFullAt: Timestamp | undefined;
  /** Time at which missing chunks of the current configuration were last requested from registries. */
  readonly chunksRequestedAt: Timestamp;
  /** Number of requested chunks that were not in the table. */
  readonly missedChunkRequests: number;
  /** Number of violations of each invariant. */
  readonly violations: Violations;
  readonly standDownUntil: Timestamp;
  readonly nextWriteId: number;
  readonly randomState: RandomState;
}

/** Log position of a store whose table is empty or is being changed by a resync. */
export const noLogPosition: LogPosition = { epoch: noEpoch, seq: noSeq };

/** Initial state of a store that has not read its disk yet. */
export const newStoreState = (
  member: Member,
  seeds: readonly Address[],
  randomState: RandomState,
  settings = defaultReplicationSettings,
  mayBootstrap = true,
): StoreState => ({
  mayBootstrap,
  session: newNodeSession(member, seeds, { seed: randomState.seed ^ 0x5bd1e995 }),
  settings,
  phase: 'reading',
  startedAt: clockOrigin,
  diskDamage: '',
  mustWipe: false,
  metadata: undefined,
  logPosition: noLogPosition,
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
  nodeContacts: new Map(),
  shortageSince: undefined,
  excludedAtEpoch: noEpoch,
  primaryHeardAt: clockOrigin,
  statusSentAt: clockOrigin,
  rolloutPlannedAt: clockOrigin,
  rolloutsAdvancedAt: clockOrigin,
  polledElectorate: { serial: noSeq, since: clockOrigin },
  stopping: undefined,
  originsCheckedAt: clockOrigin,
  rolloutsDueAt: undefined,
  lastNodeChangeSeq: noSeq,
  lastOriginChangeSeq: noSeq,
  releaseWatches: new Map(),
  targetStatusSince: new Map(),
  rolloutOpenedAt: undefined,
  diskFullAt: undefined,
  chunksRequestedAt: clockOrigin,
  missedChunkRequests: 0,
  violations: noViolations,
  standDownUntil: clockOrigin,
  nextWriteId: 1,
  randomState,
});

/** Node id of this store. */
export const ownId = (state: StoreState): NodeId => state.session.member.node;
