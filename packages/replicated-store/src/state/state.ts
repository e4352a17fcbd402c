import {
  type Address,
  type ZoneName,
  type CallId,
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
  Aim,
  ClusterMetadata,
  Peer,
  Electorate,
  FrameOf,
  Member,
  Put,
  Report,
  Stamp,
} from '@switchwheel/transport';
import { type Candidate, newCandidate } from '@switchwheel/election';
import { type NodeSession, newNodeSession } from '@switchwheel/membership';
import {
  type Control,
  type Fault,
  type ReleaseOrder,
  type Seen,
  type Watch,
  noControl,
  type ReleaseSettings,
} from '@switchwheel/configuration';
import type { Table } from '../table/table.js';

/** Who waits for the answer to a call. */
export interface Asker {
  readonly to: Address;
  readonly id: CallId;
}

/** What is to become one write, in its turn. */
export type Command =
  | {
      readonly kind: 'apply';
      readonly asker: Asker;
      readonly hash: Hash;
      readonly order: readonly Hash[];
      readonly base: Generation | undefined;
      readonly number: Generation | undefined;
      readonly faults: readonly Fault[];
    }
  /** Pieces of a description that is too large for one write: they are stored before it. */
  | { readonly kind: 'pieces'; readonly hashes: readonly Hash[] }
  | { readonly kind: 'purge'; readonly asker: Asker; readonly aims: readonly Aim[] }
  | { readonly kind: 'electorate'; readonly asker: Asker; readonly electorate: Electorate }
  | { readonly kind: 'seats'; readonly electorate: Electorate }
  | {
      readonly kind: 'node';
      readonly node: NodeId;
      readonly role: string;
      readonly incarnation: Incarnation;
      readonly online: boolean;
      readonly report: Report;
    }
  | { readonly kind: 'forget'; readonly node: NodeId }
  | { readonly kind: 'trial'; readonly to: Address; readonly word: TrialWord }
  | {
      readonly kind: 'order';
      readonly asker: Asker;
      readonly service: ServiceName;
      readonly target: Release;
      readonly spanMs: number;
    }
  | { readonly kind: 'release'; readonly next: ReleaseOrder }
  | { readonly kind: 'origins'; readonly sure: boolean }
  | { readonly kind: 'plan' }
  | { readonly kind: 'turn' };

export interface TrialWord {
  readonly service: ServiceName;
  readonly release: Release;
  readonly spent: number;
  readonly bad: number;
  readonly good: number;
  readonly seen: number;
  readonly state: 'trial' | 'good' | 'bad';
  readonly at: Timestamp;
}

export interface CallResult {
  readonly to: Address;
  readonly id: CallId;
  readonly status: number;
  readonly body: string;
}

/** Parts of the fleet that fail as one. */
export interface FailureDomains {
  /** How many of them may be lost at once. */
  readonly tolerate: number;
  /** The domain of each area that is not one by itself. */
  readonly ofArea: ReadonlyMap<ZoneName, string>;
}

/** How many copies of the state a fleet keeps, and how many machines with a disk it may lose at once. */
export interface ReplicationSettings {
  readonly copies: number;
  readonly tolerate: number;
  /** Whether registries that come become voters, and take the seats of those that are gone, by themselves. */
  readonly follow: boolean;
  /** Areas, or groups of them, that may be lost as a whole, besides single machines. */
  readonly failureDomains?: FailureDomains;
  /** Within which span of a repair or a replacement the next losses are borne, in milliseconds. */
  readonly syncMs?: number;
  /** Whether the origins that stand are kept on disk. */
  readonly origins?: boolean;
  /** What a release on trial is held to. */
  readonly releases?: ReleaseSettings;
}
export const defaultReplication: ReplicationSettings = { copies: 2, tolerate: 1, follow: false };

/** A write under way: first on this disk, then on those of the backups in sync. */
export interface PrimaryWrite {
  readonly id: number;
  /** An orphan was given up while the disk still had it in hand: what lasts of it is known later. */
  readonly phase: 'disk' | 'copy' | 'orphan';
  /** Whether this disk has it already, from before the in-sync set changed: then it is never told as refused. */
  readonly onOwnDisk: boolean;
  readonly since: Timestamp;
  readonly sent: Timestamp;
  readonly metadata: ClusterMetadata;
  /** The stores, learners too, that acknowledged it under this metadata. */
  readonly confirmed: ReadonlySet<NodeId>;
  readonly stamp: Stamp;
  readonly prior: Stamp;
  readonly puts: readonly Put[];
  readonly draft: Control;
  readonly results: readonly CallResult[];
  readonly trialReports: readonly { readonly to: Address; readonly word: TrialWord }[];
}

/** A copy or a mend that this store is putting on its own disk for the primary. */
export interface BackupWrite {
  readonly id: number;
  readonly since: Timestamp;
  readonly after: 'replicated' | 'resynced' | 'bootstrapped';
  readonly to: Address;
  readonly metadata: ClusterMetadata;
  readonly stamp: Stamp;
  readonly puts: readonly Put[];
  readonly stamps: ReadonlyMap<string, Stamp>;
  readonly call: CallId | undefined;
}

/** What a peer store said of itself last. */
export interface PeerStatus {
  readonly node: NodeId;
  readonly address: Address;
  readonly metadata: ClusterMetadata | undefined;
  readonly stamp: Stamp;
  readonly primary: boolean;
  /** Whether its disk takes no writes now: it has no room, or makes no progress. */
  readonly full: boolean;
  /** Whether it is about to stop. */
  readonly leaving: boolean;
  readonly at: Timestamp;
  readonly digests: readonly string[];
  /** When it was last seen to come closer to the primary's state, or came back. */
  readonly progressAt: Timestamp;
}

export interface Subscriber {
  readonly address: Address;
  readonly area: ZoneName;
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
export interface Store {
  readonly session: NodeSession;
  readonly settings: ReplicationSettings;
  readonly phase: 'reading' | 'empty' | 'member' | 'stopping';
  /** When this process had read its disk. */
  readonly startedAt: Timestamp;
  readonly trouble: string;
  /** Whether a fleet may be founded on this store: one that came back with an empty disk belongs to one already. */
  readonly mayBootstrap: boolean;
  /** Whether the disk holds something that can't be trusted: the first write sweeps it away. */
  readonly mustWipe: boolean;
  readonly metadata: ClusterMetadata | undefined;
  readonly stamp: Stamp;
  readonly table: Table;
  readonly control: Control;
  readonly candidate: Candidate;
  /** Set once the metadata of this holding is on every disk it must be on. */
  readonly serving: boolean;
  /** Set while this holding could not be written down, as the disk is full: it reads and pushes, and writes nothing. */
  readonly readOnly: boolean;
  readonly primaryWrite: PrimaryWrite | undefined;
  readonly backupWrite: BackupWrite | undefined;
  /** Mends that came while one was being written. */
  readonly resyncQueue: readonly {
    readonly from: Peer;
    readonly word: FrameOf<'resync-entries'>;
  }[];
  /** Writes of the primary that came while another one was on its way to the disk. */
  readonly replicateQueue: readonly {
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
  readonly heldPieces: ReadonlyMap<Hash, string>;
  readonly awaitingPieces: ReadonlyMap<
    CallId,
    {
      readonly command: Extract<Command, { kind: 'apply' }>;
      readonly since: Timestamp;
      readonly asked: Timestamp;
      readonly awaited: number;
    }
  >;
  readonly peers: ReadonlyMap<NodeId, PeerStatus>;
  /** The spare that is being mended, and since when it made no progress. */
  readonly resyncing: { readonly node: NodeId; readonly since: Timestamp } | undefined;
  /** Spares whose mending came to nothing: the others have their turn first. */
  readonly resyncTried: ReadonlySet<NodeId>;
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
  readonly engineRanAt: Timestamp;
  /** The electorate that this store polls, and since when: votes asked for before count for an older one. */
  readonly polledElectorate: { readonly serial: Seq; readonly since: Timestamp };
  /** Since when this store is leaving, and until when it may take. */
  readonly leaving: { readonly since: Timestamp; readonly deadline: Timestamp } | undefined;
  readonly engineDueAt: Timestamp | undefined;
  /** The last write that changed what nodes are to run: registries that have it are not told of it again. */
  readonly lastNodeChange: Seq;
  /** The orders of releases as this holding watches them. */
  readonly watches: ReadonlyMap<ServiceName, Watch>;
  readonly seen: Seen;
  readonly opened: Timestamp | undefined;
  readonly diskFull: Timestamp | undefined;
  /** When registries were last asked for pieces that the description in force lacks. */
  readonly repairAskedAt: Timestamp;
  /** How many pieces were asked for here that the table did not hold. */
  readonly missedPieceRequests: number;
  /** How often each invariant was found broken here. */
  readonly violations: Violations;
  readonly standDownUntil: Timestamp;
  readonly nextId: number;
  readonly dice: RandomState;
}

export const noStamp: Stamp = { epoch: noEpoch, seq: noSeq };

export const newStore = (
  member: Member,
  seeds: readonly Address[],
  dice: RandomState,
  limits = defaultReplication,
  foundable = true,
): Store => ({
  mayBootstrap: foundable,
  session: newNodeSession(member, seeds, { seed: dice.seed ^ 0x5bd1e995 }),
  settings: limits,
  phase: 'reading',
  startedAt: clockOrigin,
  trouble: '',
  mustWipe: false,
  metadata: undefined,
  stamp: noStamp,
  table: new Map(),
  control: noControl,
  candidate: newCandidate(member.node, primaryLease, []),
  serving: false,
  readOnly: false,
  primaryWrite: undefined,
  backupWrite: undefined,
  resyncQueue: [],
  replicateQueue: [],
  commandQueue: [],
  compiling: new Map(),
  heldPieces: new Map(),
  awaitingPieces: new Map(),
  peers: new Map(),
  resyncing: undefined,
  resyncTried: new Set(),
  subscribers: new Map(),
  contacts: new Map(),
  shortageSince: undefined,
  excludedAtEpoch: noEpoch,
  primaryHeardAt: clockOrigin,
  statusSentAt: clockOrigin,
  plannedAt: clockOrigin,
  engineRanAt: clockOrigin,
  polledElectorate: { serial: noSeq, since: clockOrigin },
  leaving: undefined,
  originsCheckedAt: clockOrigin,
  engineDueAt: undefined,
  lastNodeChange: noSeq,
  watches: new Map(),
  seen: new Map(),
  opened: undefined,
  diskFull: undefined,
  repairAskedAt: clockOrigin,
  missedPieceRequests: 0,
  violations: noViolations,
  standDownUntil: clockOrigin,
  nextId: 1,
  dice,
});

export const ownId = (state: Store): NodeId => state.session.member.node;
