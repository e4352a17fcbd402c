import {
  type Address,
  type CallId,
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
  Holder,
  Member,
  Offer,
  Origin,
  Purge,
  ReleaseState,
  Report,
  Verdict,
} from '@switchwheel/transport';
import { type Voter, newVoter } from '@switchwheel/election';
import type { Origins } from '../origins/origins.js';
import type { DescriptionRead } from './description-read.js';

/** A session as this registry knows it, its own or a peer's. */
export interface KnownSession {
  readonly member: Member;
  readonly report: Report;
  readonly registry: NodeId;
  readonly seq: Seq;
  readonly at: Timestamp;
  readonly open: boolean;
  /** The digest of the records of releases that it said it knows. */
  readonly releases?: string | undefined;
}

/** What the primary told last, and as of when it is known to be all there is. */
export interface Feed {
  readonly epoch: Epoch;
  /** The write as of which the desired state here is whole, and the last one that was told of. */
  readonly serial: Seq;
  readonly latest: Seq;
  readonly asOf: Timestamp | undefined;
  readonly desired: ReadonlyMap<
    NodeId,
    { readonly generation: Generation; readonly hash: Hash; readonly failed?: Hash | undefined }
  >;
  readonly offers: ReadonlyMap<Hash, Offer>;
  readonly current: Offer | undefined;
  /** When the current offer was first heard of here. */
  readonly currentSince: Timestamp;
  readonly purges: readonly Purge[];
  readonly floor: Seq;
  readonly top: Seq;
  readonly verdicts: readonly Verdict[];
  readonly releases: readonly ReleaseState[];
  /** When the releases were told: their spans run on from there. */
  readonly releasesAt: Timestamp;
}
export const noFeed: Feed = {
  epoch: noEpoch,
  serial: noSeq,
  latest: noSeq,
  asOf: undefined,
  desired: new Map(),
  offers: new Map(),
  current: undefined,
  currentSince: clockOrigin,
  purges: [],
  floor: noSeq,
  top: noSeq,
  verdicts: [],
  releases: [],
  releasesAt: clockOrigin,
};

/** An outside call that waits for the store. */
export interface Pending {
  readonly ref: number;
  /** The same order, sent again here while it is under way: answered as the first one is. */
  readonly repeats: readonly number[];
  readonly since: Timestamp;
  readonly span: number;
  readonly sent: Timestamp | undefined;
  readonly verb: 'apply' | 'purge' | 'ask' | 'view' | 'electorate' | 'release';
  readonly body: string;
  readonly base: Generation | undefined;
  readonly pieces: ReadonlyMap<Hash, string>;
  /** How far a read of the description is, once the primary has named the offer. */
  readonly read?: DescriptionRead | undefined;
}

/** An origin's departure that was announced here: who of the peers confirmed that they know, and who waits for it. */
export interface Departure {
  readonly state: Origin['state'];
  readonly confirmed: boolean;
  readonly sent: Timestamp;
  readonly noted: ReadonlySet<NodeId>;
  readonly waiting: readonly { readonly ref: number; readonly since: Timestamp }[];
}

/** A founding under way: the stores that agreed so far. */
export interface BootstrapInProgress {
  readonly ref: number;
  readonly since: Timestamp;
  readonly stores: readonly NodeId[];
  readonly voters: readonly NodeId[];
  readonly agreed: ReadonlySet<NodeId>;
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
  readonly sentAt: Timestamp;
  /** When this registry sent the newest gossip that the peer is known to have. */
  readonly echoedAt: Timestamp | undefined;
  /** As of when the peer is known to have heard the primary. */
  readonly primaryAsOf: Timestamp | undefined;
}

/** What a store said of its disk, and when it was heard. */
export interface StoreHint {
  readonly word: FrameOf<'hint'>;
  readonly heardAt: Timestamp;
}

export interface Registry {
  readonly member: Member;
  readonly proposal: ClusterProposal | undefined;
  readonly proposedAt: Timestamp;
  /** Whether a node that runs nothing gets the newest that any disk is known to hold, while no primary is heard of. */
  readonly eager: boolean;
  readonly hints: ReadonlyMap<NodeId, StoreHint>;
  readonly seeds: readonly Address[];
  readonly voter: Voter;
  readonly sessions: ReadonlyMap<NodeId, KnownSession>;
  readonly origins: Origins;
  readonly holders: ReadonlyMap<LeaseName, Holder>;
  readonly peers: ReadonlyMap<NodeId, PeerContact>;
  readonly feed: Feed;
  readonly electorate: Electorate | undefined;
  readonly fleet: FleetId | undefined;
  readonly pieces: ReadonlyMap<Hash, string>;
  readonly wanted: ReadonlyMap<Hash, ReadonlySet<Address>>;
  readonly asked: ReadonlyMap<Hash, Timestamp>;
  readonly offered: ReadonlyMap<
    NodeId,
    { readonly hash: Hash; readonly at: Timestamp; readonly tries: number }
  >;
  readonly pending: ReadonlyMap<CallId, Pending>;
  readonly bootstraps: ReadonlyMap<CallId, BootstrapInProgress>;
  readonly departures: ReadonlyMap<InstanceId, Departure>;
  readonly gossipedAt: Timestamp;
  readonly subscribedAt: Timestamp;
  /** When the nodes with a session here were last told of the whole fleet. */
  readonly memberListSentAt: Timestamp;
  /** Duties that were vacant at the last look. */
  readonly vacantDuties: ReadonlySet<LeaseName>;
  readonly stopping: boolean;
  /** How often each invariant was found broken here. */
  readonly violations: Violations;
  readonly dice: RandomState;
}

export const newRegistry = (
  member: Member,
  seeds: readonly Address[],
  now: Timestamp,
  dice: RandomState,
  proposal?: ClusterProposal,
  eager = false,
): Registry => ({
  proposal,
  proposedAt: clockOrigin,
  eager,
  hints: new Map(),
  member,
  seeds,
  voter: newVoter(member.node, now, member.incarnation),
  sessions: new Map(),
  origins: new Map(),
  holders: new Map(),
  peers: new Map(),
  feed: noFeed,
  electorate: undefined,
  fleet: undefined,
  pieces: new Map(),
  wanted: new Map(),
  asked: new Map(),
  offered: new Map(),
  pending: new Map(),
  bootstraps: new Map(),
  departures: new Map(),
  gossipedAt: clockOrigin,
  subscribedAt: clockOrigin,
  memberListSentAt: clockOrigin,
  vacantDuties: new Set(),
  stopping: false,
  violations: noViolations,
  dice,
});
