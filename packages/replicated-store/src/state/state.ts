import {
  type Address,
  type CallId,
  type Dice,
  type Epoch,
  type Generation,
  type Hash,
  type Incarnation,
  type Moment,
  type NodeId,
  type Release,
  type Seq,
  type ServiceName,
  noEpoch,
  noSeq,
  primary,
  start,
} from '@switchwheel/types';
import type {
  Aim,
  Charter,
  Colleague,
  Electorate,
  FrameOf,
  Member,
  Put,
  Report,
  Stamp,
} from '@switchwheel/transport';
import { type Stand, newStand } from '@switchwheel/election';
import { type Berth, newBerth } from '@switchwheel/membership';
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
  readonly at: Moment;
}

export interface CallResult {
  readonly to: Address;
  readonly id: CallId;
  readonly status: number;
  readonly body: string;
}

/** How many copies of the state a fleet keeps, and how many machines with a disk it may lose at once. */
export interface Limits {
  readonly copies: number;
  readonly tolerate: number;
  /** Whether registries that come become witnesses, and take the seats of those that are gone, by themselves. */
  readonly follow: boolean;
  /** Whether the origins that stand are kept on disk. */
  readonly origins?: boolean;
  /** What a release on trial is held to. */
  readonly releases?: ReleaseSettings;
}
export const pair: Limits = { copies: 2, tolerate: 1, follow: false };

/** A write under way: first on this disk, then on those of the backups in sync. */
export interface Job {
  readonly id: number;
  /** An orphan was given up while the disk still had it in hand: what lasts of it is known later. */
  readonly phase: 'disk' | 'copy' | 'orphan';
  /** Whether this disk has it already, from before the in-sync set changed: then it is never told as refused. */
  readonly lasts: boolean;
  readonly since: Moment;
  readonly sent: Moment;
  readonly charter: Charter;
  /** The backups that have it under this charter. */
  readonly confirmed: ReadonlySet<NodeId>;
  readonly stamp: Stamp;
  readonly prior: Stamp;
  readonly puts: readonly Put[];
  readonly draft: Control;
  readonly results: readonly CallResult[];
  readonly tried: readonly { readonly to: Address; readonly word: TrialWord }[];
}

/** A copy or a mend that this store is putting on its own disk for the primary. */
export interface Chore {
  readonly id: number;
  readonly since: Moment;
  readonly after: 'copied' | 'mended' | 'founded';
  readonly to: Address;
  readonly charter: Charter;
  readonly stamp: Stamp;
  readonly puts: readonly Put[];
  readonly stamps: ReadonlyMap<string, Stamp>;
  readonly call: CallId | undefined;
}

/** What a colleague store said of itself last. */
export interface ColleagueWord {
  readonly node: NodeId;
  readonly address: Address;
  readonly charter: Charter | undefined;
  readonly stamp: Stamp;
  readonly primary: boolean;
  readonly full: boolean;
  readonly at: Moment;
}

export interface Tuned {
  readonly address: Address;
  /** Since when it has been in touch without a break. */
  readonly since: Moment;
  readonly at: Moment;
  readonly serial: Seq;
  readonly purged: Seq;
}

export interface Touch {
  readonly registry: NodeId;
  readonly at: Moment;
}

/** The whole state of a store. */
export interface Store {
  readonly berth: Berth;
  readonly limits: Limits;
  readonly phase: 'reading' | 'blank' | 'member' | 'stopping';
  /** When this process had read its disk. */
  readonly born: Moment;
  readonly trouble: string;
  /** Whether a fleet may be founded on this store: one that came back with an empty disk belongs to one already. */
  readonly foundable: boolean;
  /** Whether the disk holds something that can't be trusted: the first write sweeps it away. */
  readonly soiled: boolean;
  readonly charter: Charter | undefined;
  readonly stamp: Stamp;
  readonly table: Table;
  readonly control: Control;
  readonly stand: Stand;
  /** Set once the charter of this holding is on every disk it must be on. */
  readonly serving: boolean;
  /** Set while this holding could not be written down, as the disk is full: it reads and pushes, and writes nothing. */
  readonly muted: boolean;
  readonly job: Job | undefined;
  readonly chore: Chore | undefined;
  /** Mends that came while one was being written. */
  readonly mends: readonly { readonly from: Colleague; readonly word: FrameOf<'mend'> }[];
  readonly waitlist: readonly Command[];
  /** Calls whose description is being compiled: several may bring the same one. */
  readonly compiling: ReadonlyMap<Hash, readonly Extract<Command, { kind: 'apply' }>[]>;
  readonly spare: ReadonlyMap<Hash, string>;
  readonly lacking: ReadonlyMap<
    CallId,
    {
      readonly command: Extract<Command, { kind: 'apply' }>;
      readonly since: Moment;
      readonly asked: Moment;
      readonly awaited: number;
    }
  >;
  readonly colleagues: ReadonlyMap<NodeId, ColleagueWord>;
  /** The spare that is being mended, and since when it made no progress. */
  readonly mending: { readonly node: NodeId; readonly since: Moment } | undefined;
  /** Spares whose mending came to nothing: the others have their turn first. */
  readonly tried: ReadonlySet<NodeId>;
  readonly tuned: ReadonlyMap<NodeId, Tuned>;
  readonly touch: ReadonlyMap<NodeId, Touch>;
  /** The highest epoch that is known to have left this store out. */
  readonly ousted: Epoch;
  /** When a primary was last heard. */
  readonly led: Moment;
  readonly greeted: Moment;
  /** When the origins were last looked at. */
  readonly noted: Moment;
  readonly planned: Moment;
  readonly turned: Moment;
  /** When the electorate last followed the registries. */
  readonly seated: Moment;
  readonly due: Moment | undefined;
  /** The last write that changed what nodes are to run: registries that have it are not told of it again. */
  readonly listed: Seq;
  /** The orders of releases as this holding watches them. */
  readonly watches: ReadonlyMap<ServiceName, Watch>;
  readonly seen: Seen;
  readonly opened: Moment | undefined;
  readonly diskFull: Moment | undefined;
  readonly shunned: Moment;
  readonly nextId: number;
  readonly dice: Dice;
}

export const noStamp: Stamp = { epoch: noEpoch, seq: noSeq };

export const newStore = (
  member: Member,
  seeds: readonly Address[],
  dice: Dice,
  limits = pair,
  foundable = true,
): Store => ({
  foundable,
  berth: newBerth(member, seeds, { seed: dice.seed ^ 0x5bd1e995 }),
  limits,
  phase: 'reading',
  born: start,
  trouble: '',
  soiled: false,
  charter: undefined,
  stamp: noStamp,
  table: new Map(),
  control: noControl,
  stand: newStand(member.node, primary, []),
  serving: false,
  muted: false,
  job: undefined,
  chore: undefined,
  mends: [],
  waitlist: [],
  compiling: new Map(),
  spare: new Map(),
  lacking: new Map(),
  colleagues: new Map(),
  mending: undefined,
  tried: new Set(),
  tuned: new Map(),
  touch: new Map(),
  ousted: noEpoch,
  led: start,
  greeted: start,
  planned: start,
  turned: start,
  seated: start,
  noted: start,
  due: undefined,
  listed: noSeq,
  watches: new Map(),
  seen: new Map(),
  opened: undefined,
  diskFull: undefined,
  shunned: start,
  nextId: 1,
  dice,
});

export const me = (state: Store): NodeId => state.berth.member.node;
