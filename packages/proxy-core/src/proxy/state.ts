import {
  type Address,
  type RequestId,
  type RandomState,
  type InstanceId,
  type Timestamp,
  type ServiceName,
  clockOrigin,
} from '@switchwheel/types';
import type { Ask, FrameOf, Member } from '@switchwheel/transport';
import { type Cabin, type CabinEffect, type CabinEvent, newCabin } from '../cabin/state.js';
import { type Forward, type ForwardEffect, type Wagon, newForward } from '../forward/state.js';
import type { Keeper, KeeperEffect, LegEnd } from '../keeper/state.js';
import type { Heights } from './heights.js';

/** The whole state of a proxy: its control side, the services it keeps, and what it forwards. */
export interface Proxy {
  readonly cabin: Cabin;
  /** Keepers by service and epoch: one that closed stays until its legs have ended. */
  readonly keepers: ReadonlyMap<string, Keeper>;
  readonly active: ReadonlyMap<ServiceName, string>;
  readonly forward: Forward;
  /** Since when the epochs of duties have been known: how many holdings there were of late. */
  readonly heights: Heights;
  /** When this process last acted, and when it last woke from a sleep or a stall. */
  readonly acted: Timestamp;
  readonly woke: Timestamp;
}

export const newProxy = (member: Member, seeds: readonly Address[], dice: RandomState): Proxy => ({
  cabin: newCabin(member, seeds, dice),
  keepers: new Map(),
  active: new Map(),
  forward: newForward,
  heights: new Map(),
  acted: clockOrigin,
  woke: clockOrigin,
});

export type ProxyEvent =
  | CabinEvent
  | {
      readonly kind: 'take';
      readonly now: Timestamp;
      readonly wagon: Omit<Wagon, 'stage' | 'again' | 'begun'>;
    }
  | { readonly kind: 'asked'; readonly now: Timestamp; readonly ask: Omit<Ask, 'body'> }
  | { readonly kind: 'quitAsk'; readonly now: Timestamp; readonly id: RequestId }
  | {
      readonly kind: 'streaming';
      readonly now: Timestamp;
      readonly keeper: string;
      readonly leg: number;
    }
  | {
      readonly kind: 'legEnded';
      readonly now: Timestamp;
      readonly keeper: string;
      readonly leg: number;
      readonly how: LegEnd;
      readonly ms: number;
    }
  | {
      readonly kind: 'probed';
      readonly now: Timestamp;
      readonly service: ServiceName;
      readonly instance: InstanceId;
      readonly good: boolean;
      readonly ms: number;
    }
  | {
      readonly kind: 'result';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'result'>;
    }
  | {
      readonly kind: 'reject';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'reject'>;
    }
  | {
      readonly kind: 'begun';
      readonly now: Timestamp;
      readonly from: Address;
      readonly id: RequestId;
    }
  | { readonly kind: 'done'; readonly now: Timestamp; readonly id: RequestId }
  | {
      readonly kind: 'quit';
      readonly now: Timestamp;
      readonly id: RequestId;
      readonly text: string;
    }
  | {
      readonly kind: 'lost';
      readonly now: Timestamp;
      readonly keeper: Address;
      readonly unsent: ReadonlySet<RequestId>;
    };

export type ProxyEffect =
  | Exclude<CabinEffect, { kind: 'kept' | 'unkept' }>
  | ForwardEffect
  | (Exclude<KeeperEffect, { kind: 'trial' | 'barred' | 'probe' }> & { readonly keeper: string })
  | Extract<KeeperEffect, { kind: 'probe' }>
  | { readonly kind: 'gates'; readonly standing: ReadonlySet<InstanceId> };
