/**
 * The whole state of a store, and the state that a process starts with. Changes are made by the modules
 * that own the parts; nothing in here is on the wire or on a disk in this form.
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

/** The whole state of a store. */
export interface StoreState {
  readonly session: NodeSession;
  readonly settings: ReplicationSettings;
  readonly phase: 'reading' | 'empty' | 'member' | 'stopping';
  /** When this process had read its disk, by its own clock as all times here. */
  readonly startedAt: Timestamp;
  /** Why the disk could not be used; empty if it could. */
  readonly diskDamage: string;
  /** Whether a fleet may be bootstrapped on this store: one that came back with an empty disk belongs to one already. */
  readonly mayBootstrap: boolean;
  /** Whether the disk holds something that can't be trusted: the first write clears it. */
  readonly mustWipe: boolean;
  readonly metadata: ClusterMetadata | undefined;
  readonly logPosition: LogPosition;
  readonly table: Table;
  readonly control: ControlState;
  readonly candidate: Candidate;
  /** Whether this store holds or held the lease and the metadata of its epoch is on every disk it must be on. */
  readonly isServing: boolean;
  /** Whether the metadata of this epoch could not be written, as the disk is full: it answers queries and feeds, and writes nothing. */
  readonly isReadOnly: boolean;
  readonly primaryWrite: PrimaryWrite | undefined;
  readonly backupWrite: BackupWrite | undefined;
  /** Entries of a resync that came while others were being written. */
  readonly resyncQueue: readonly {
    readonly from: Peer;
    readonly frame: FrameOf<'resync-entries'>;
  }[];
  /** Writes of the primary that came while another one was on its way to the disk. */
  readonly replicationQueue: readonly {
    readonly from: Peer;
    readonly frame: FrameOf<'replicate'>;
  }[];
  readonly commandQueue: readonly Command[];
  /** Commands whose configuration is being compiled: several may bring the same one. */
  readonly compiling: ReadonlyMap<
    Hash,
    readonly Extract<Command, { kind: 'applyConfiguration' }>[]
  >;
  /**
   * The text of each chunk that an upload under way relies on, whether it was received for it or is in the table:
   * another one's write may delete it from the table before this one is written.
   */
  readonly heldChunks: ReadonlyMap<Hash, string>;
  /** Uploads that wait for chunks. */
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
  /** The learner that is being resynced, and since when it made no progress. */
  readonly activeResync: { readonly node: NodeId; readonly since: Timestamp } | undefined;
  /** Learners that had their turn in vain: the others have theirs first. */
  readonly resyncAttempted: ReadonlySet<NodeId>;
  readonly subscribers: ReadonlyMap<NodeId, Subscriber>;
  readonly nodeContacts: ReadonlyMap<NodeId, NodeContact>;
  /** Since when this primary has had fewer replicas than the losses to be tolerated ask for. */
  readonly shortageSince: Timestamp | undefined;
  /** The highest epoch whose in-sync set is known to leave this store out. */
  readonly excludedAtEpoch: Epoch;
  /** When a primary was last heard. */
  readonly primaryHeardAt: Timestamp;
  readonly statusSentAt: Timestamp;
  /** When the recorded origins were last compared with the announced ones. */
  readonly originsCheckedAt: Timestamp;
  readonly rolloutPlannedAt: Timestamp;
  readonly rolloutsAdvancedAt: Timestamp;
  /** The electorate that this store polls, and since when: votes asked for before count for an older one. */
  readonly polledElectorate: { readonly serial: Seq; readonly since: Timestamp };
  /** Since when this store is stopping, and until when it may take. */
  readonly stopping: { readonly since: Timestamp; readonly deadline: Timestamp } | undefined;
  readonly rolloutsDueAt: Timestamp | undefined;
  /** The last write that changed what nodes are to run: registries that have it get no desired state again. */
  readonly lastNodeChangeSeq: Seq;
  /** The rollouts of releases as this primary watches them. */
  readonly releaseWatches: ReadonlyMap<ServiceName, RolloutWatch>;
  readonly targetStatusSince: StatusSince;
  readonly rolloutOpenedAt: Timestamp | undefined;
  readonly diskFullAt: Timestamp | undefined;
  /** When registries were last asked for chunks that the configuration in force lacks. */
  readonly chunksRequestedAt: Timestamp;
  /** How many chunks were requested here that the table did not hold. */
  readonly missedChunkRequests: number;
  /** How often each invariant was found broken here. */
  readonly violations: Violations;
  readonly standDownUntil: Timestamp;
  readonly nextWriteId: number;
  readonly randomState: RandomState;
}

/** The stamp of a store without a table: it has no write, and while a resync changes its table it has none either. */
export const noLogPosition: LogPosition = { epoch: noEpoch, seq: noSeq };

/** The state of a process that has not read its disk yet. */
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

/** The id of this store. */
export const ownId = (state: StoreState): NodeId => state.session.member.node;
