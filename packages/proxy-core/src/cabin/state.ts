import {
  type Address,
  type RandomState,
  type LeaseName,
  type Hash,
  type Timestamp,
  type Seq,
  type ServiceName,
  type Violations,
  noSeq,
  noViolations,
  clockOrigin,
} from '@switchwheel/types';
import type {
  Member,
  Offer,
  Purge,
  ReleaseState,
  Verdict,
  WireEffect,
  WireEvent,
} from '@switchwheel/transport';
import type { Candidate } from '@switchwheel/election';
import { type NodeSession, newNodeSession } from '@switchwheel/membership';
import type { Fault, Table } from '@switchwheel/configuration';
import { type Newest, noNewest } from './newest.js';

/** What a node is doing about an offered description. */
export type Fitting =
  | { readonly phase: 'idle' }
  | {
      readonly phase: 'fetching';
      readonly offer: Offer;
      readonly since: Timestamp;
      readonly asked: Timestamp;
      readonly awaited: number;
    }
  | {
      readonly phase: 'compiling';
      readonly offer: Offer;
      readonly since: Timestamp;
      readonly whole: Timestamp;
    };

/** The control side of a proxy: its session, its description, its purges and its duties. */
export interface Cabin {
  readonly nodeSession: NodeSession;
  readonly table: Table | undefined;
  readonly fitting: Fitting;
  readonly pieces: ReadonlyMap<Hash, string>;
  readonly failed: { readonly offer: Offer; readonly text: string } | undefined;
  /** The last purge that was acted on. */
  readonly purged: Seq;
  /** As of when this node is known to have acted on every accepted purge. */
  readonly asOf: Timestamp | undefined;
  readonly newest: Newest;
  readonly verdicts: readonly Verdict[];
  /** Which release each service's requests go to, as last told. */
  readonly releases: ReadonlyMap<ServiceName, ReleaseState>;
  readonly releasesAt: Timestamp;
  readonly candidates: ReadonlyMap<ServiceName, Candidate>;
  /** Since when each duty is seen vacant. */
  readonly vacant: ReadonlyMap<LeaseName, Timestamp>;
  readonly stopping: boolean;
  /** How often each invariant was found broken here. */
  readonly violations: Violations;
  readonly dice: RandomState;
}

export type CabinEvent =
  | WireEvent
  | {
      readonly kind: 'built';
      readonly now: Timestamp;
      readonly offer: Offer;
      readonly table: Table;
    }
  | {
      readonly kind: 'unbuilt';
      readonly now: Timestamp;
      readonly offer: Offer;
      readonly faults: readonly Fault[];
    }
  | { readonly kind: 'stop'; readonly now: Timestamp };

export type CabinEffect =
  | WireEffect
  | {
      readonly kind: 'build';
      readonly offer: Offer;
      readonly texts: readonly string[];
      readonly before: Table | undefined;
    }
  | { readonly kind: 'adopt'; readonly table: Table }
  | {
      readonly kind: 'purge';
      readonly purges: readonly Purge[];
      readonly flush: boolean;
      readonly top: Seq;
    }
  | { readonly kind: 'kept'; readonly service: ServiceName; readonly candidate: Candidate }
  | { readonly kind: 'unkept'; readonly service: ServiceName };

export const newCabin = (member: Member, seeds: readonly Address[], dice: RandomState): Cabin => ({
  nodeSession: newNodeSession(member, seeds, { seed: dice.seed ^ 0x2545f491 }),
  table: undefined,
  fitting: { phase: 'idle' },
  pieces: new Map(),
  failed: undefined,
  purged: noSeq,
  asOf: undefined,
  newest: noNewest,
  verdicts: [],
  releases: new Map(),
  releasesAt: clockOrigin,
  candidates: new Map(),
  vacant: new Map(),
  stopping: false,
  violations: noViolations,
  dice,
});
