import type {
  RequestId,
  ClassName,
  Epoch,
  InstanceId,
  Timestamp,
  Release,
  ServiceName,
} from '@switchwheel/types';
import type { Verdict } from '@switchwheel/transport';
import type { Origins } from '@switchwheel/membership';
import type { Group, Service } from '@switchwheel/configuration';
import type { Address } from '@switchwheel/types';
import { type Sliding, newSliding } from './window.js';

/** How a leg to an origin ended. */
export type LegEnd =
  | { readonly end: 'good'; readonly status: number }
  /** The origin's whole result, but one that tells of a fault of its own. */
  | { readonly end: 'bad'; readonly status: number }
  /** The origin said plainly that it did not run the request. */
  | { readonly end: 'unrun' }
  /** Not a byte of the request was handed over. */
  | { readonly end: 'unopened'; readonly text: string }
  /** Bytes went out, and no whole and trusted result came back. */
  | { readonly end: 'lost'; readonly text: string }
  | { readonly end: 'slow' }
  | { readonly end: 'dropped' };

/** How fit an origin seems, from probes and from what became of legs. */
export interface Fit {
  readonly streak: number;
  /** Typical time of its results, in milliseconds. */
  readonly typical: number;
  readonly samples: number;
  readonly barredUntil: Timestamp;
  readonly barred: number;
  readonly probe: 'unknown' | 'good' | 'bad';
}

/** An origin as its keeper sees it. */
export interface Bay {
  readonly instance: InstanceId;
  readonly address: Address;
  readonly release: Release;
  readonly slots: number;
  readonly used: number;
  /** The last leg that went there, so that bays take turns. */
  readonly lastLeg: number;
  readonly probed: Timestamp | undefined;
  readonly up: boolean;
  readonly fit: Fit;
}

/** A request that waits for a slot, or runs. */
export interface Load {
  readonly id: RequestId;
  readonly group: ClassName;
  readonly repeatable: boolean;
  readonly came: Timestamp;
  readonly until: Timestamp;
  readonly legs: number;
  readonly tried: ReadonlySet<InstanceId>;
  /** Whether a leg of it may have run: then it is never told as refused. */
  readonly begun: boolean;
}

export interface Leg {
  readonly id: number;
  readonly ask: RequestId;
  readonly instance: InstanceId;
  readonly release: Release;
  readonly since: Timestamp;
}

/** What this keeper knows of a release that is on trial. */
export interface Trial {
  readonly release: Release;
  /** Requests that the stored count allows. */
  readonly granted: number;
  readonly used: number;
  readonly good: number;
  readonly bad: number;
  /** How far it went bad of late: it grows with bad answers and eases with good ones. */
  readonly strain: number;
  /** The traffic since the trial began that earlier keepers told of, and where this keeper's own count stood then. */
  readonly base: number;
  readonly from: number;
  readonly since: Timestamp;
  readonly asked: Timestamp | undefined;
  /** How many of its bad answers were told for keeping. */
  readonly told: number;
  readonly state: 'trial' | 'good' | 'bad';
  readonly stored: boolean;
}

/** The whole state of a keeper of one service. */
export interface Keeper {
  readonly service: ServiceName;
  readonly epoch: Epoch;
  readonly opened: Timestamp;
  /** How many keepers there may have been in the ten seconds before, this one among them. */
  readonly holdings: number;
  readonly rules: Service;
  readonly groups: ReadonlyMap<ClassName, Group>;
  readonly bays: ReadonlyMap<InstanceId, Bay>;
  readonly waiting: ReadonlyMap<ClassName, readonly Load[]>;
  readonly running: ReadonlyMap<RequestId, Load>;
  readonly legs: ReadonlyMap<number, Leg>;
  readonly nextLeg: number;
  /** Since when no origin at all may take a request. */
  readonly bare: Timestamp | undefined;
  /** Sends still allowed by the ceiling right now. */
  readonly tokens: number;
  readonly filled: Timestamp;
  /** What each class that waits has had of the ceiling, for its share. */
  readonly paid: ReadonlyMap<ClassName, number>;
  readonly traffic: Sliding;
  readonly extra: Sliding;
  /** Requests since this keeper opened: what trial shares are taken of. */
  readonly sent: number;
  readonly trials: ReadonlyMap<Release, Trial>;
  /** Typical time of a result of this service. */
  readonly typical: number;
  readonly closing: boolean;
}

export const newKeeper = (
  service: ServiceName,
  epoch: Epoch,
  rules: Service,
  groups: ReadonlyMap<ClassName, Group>,
  now: Timestamp,
  holdings = 1,
): Keeper => ({
  service,
  epoch,
  opened: now,
  holdings,
  rules,
  groups,
  bays: new Map(),
  waiting: new Map(),
  running: new Map(),
  legs: new Map(),
  nextLeg: 1,
  bare: undefined,
  tokens: 0,
  filled: now,
  paid: new Map(),
  traffic: newSliding(10_000, 200),
  extra: newSliding(10_000, 200),
  sent: 0,
  trials: new Map(),
  typical: 30,
  closing: false,
});

export type KeeperEvent =
  | {
      readonly kind: 'arrive';
      readonly now: Timestamp;
      readonly id: RequestId;
      readonly group: ClassName;
      readonly repeatable: boolean;
      readonly again: boolean;
      readonly extra: boolean;
      readonly left: number;
    }
  /** A leg's result is on its way to the caller in parts: nothing else may take its place. */
  | { readonly kind: 'streaming'; readonly now: Timestamp; readonly leg: number }
  | {
      readonly kind: 'ended';
      readonly now: Timestamp;
      readonly leg: number;
      readonly how: LegEnd;
      readonly ms: number;
    }
  | { readonly kind: 'quit'; readonly now: Timestamp; readonly id: RequestId }
  | { readonly kind: 'origins'; readonly now: Timestamp; readonly origins: Origins }
  | {
      readonly kind: 'probed';
      readonly now: Timestamp;
      readonly instance: InstanceId;
      readonly good: boolean;
      readonly ms: number;
    }
  | {
      readonly kind: 'rules';
      readonly now: Timestamp;
      readonly rules: Service;
      readonly groups: ReadonlyMap<ClassName, Group>;
    }
  | { readonly kind: 'verdicts'; readonly now: Timestamp; readonly verdicts: readonly Verdict[] }
  | { readonly kind: 'tick'; readonly now: Timestamp }
  | { readonly kind: 'close'; readonly now: Timestamp };

export type KeeperEffect =
  | {
      readonly kind: 'leg';
      readonly leg: number;
      readonly ask: RequestId;
      readonly instance: InstanceId;
      readonly address: Address;
      readonly release: Release;
      readonly spanMs: number;
    }
  | { readonly kind: 'cut'; readonly leg: number }
  /** The leg's result is the one the caller gets. */
  | { readonly kind: 'use'; readonly leg: number; readonly ask: RequestId }
  | {
      readonly kind: 'turnAway';
      readonly ask: RequestId;
      readonly errorKind: 'rejected' | 'unknown' | 'slow' | 'lost';
      readonly text: string;
      readonly retryMs: number;
      readonly moved: boolean;
    }
  | {
      readonly kind: 'trial';
      readonly service: ServiceName;
      readonly release: Release;
      readonly spent: number;
      readonly bad: number;
      readonly good: number;
      readonly seen: number;
      readonly state: 'trial' | 'good' | 'bad';
    }
  | {
      readonly kind: 'probe';
      readonly service: ServiceName;
      readonly instance: InstanceId;
      readonly address: Address;
      readonly path: string;
    }
  | { readonly kind: 'barred'; readonly instance: InstanceId; readonly text: string };
