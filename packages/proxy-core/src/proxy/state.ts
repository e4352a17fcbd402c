import {
  type Address,
  type RequestId,
  type RandomState,
  type InstanceId,
  type Timestamp,
  type ServiceName,
  clockOrigin,
} from '@switchwheel/types';
import type { ForwardedRequest, FrameOf, Member } from '@switchwheel/transport';
import {
  type NodeAgent,
  type NodeAgentEffect,
  type NodeAgentEvent,
  newNodeAgent,
} from '../node-agent/state.js';
import {
  type Forwarding,
  type ForwardingEffect,
  type PendingForward,
  initialForwarding,
} from '../forwarding/state.js';
import type {
  ServiceLeader,
  ServiceLeaderEffect,
  AttemptOutcome,
} from '../service-leader/state.js';
import type { EpochHistory } from './epoch-history.js';

/** The whole state of a proxy: its control side, the services it keeps, and what it forwards. */
export interface ProxyState {
  readonly nodeAgent: NodeAgent;
  /** Keepers by service and epoch: one that closed stays until its legs have ended. */
  readonly leaders: ReadonlyMap<string, ServiceLeader>;
  readonly activeLeaders: ReadonlyMap<ServiceName, string>;
  readonly forwarding: Forwarding;
  /** Since when the epochs of duties have been known: how many holdings there were of late. */
  readonly epochHistory: EpochHistory;
  /** When this process last acted, and when it last woke from a sleep or a stall. */
  readonly lastActedAt: Timestamp;
  readonly lastWokeAt: Timestamp;
}

export const newProxyState = (
  member: Member,
  seeds: readonly Address[],
  dice: RandomState,
): ProxyState => ({
  nodeAgent: newNodeAgent(member, seeds, dice),
  leaders: new Map(),
  activeLeaders: new Map(),
  forwarding: initialForwarding,
  epochHistory: new Map(),
  lastActedAt: clockOrigin,
  lastWokeAt: clockOrigin,
});

export type ProxyEvent =
  | NodeAgentEvent
  | {
      readonly kind: 'requestAccepted';
      readonly now: Timestamp;
      readonly request: Omit<PendingForward, 'phase' | 'mayHaveRun' | 'attemptStarted'>;
    }
  | {
      readonly kind: 'inboundRequestArrived';
      readonly now: Timestamp;
      readonly request: Omit<ForwardedRequest, 'body'>;
    }
  | { readonly kind: 'inboundRequestCancelled'; readonly now: Timestamp; readonly id: RequestId }
  | {
      readonly kind: 'streamingStarted';
      readonly now: Timestamp;
      readonly leader: string;
      readonly attemptId: number;
    }
  | {
      readonly kind: 'attemptEnded';
      readonly now: Timestamp;
      readonly leader: string;
      readonly attemptId: number;
      readonly outcome: AttemptOutcome;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'healthChecked';
      readonly now: Timestamp;
      readonly service: ServiceName;
      readonly instance: InstanceId;
      readonly isHealthy: boolean;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'responseStarted';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'result'>;
    }
  | {
      readonly kind: 'requestRejected';
      readonly now: Timestamp;
      readonly from: Address;
      readonly frame: FrameOf<'reject'>;
    }
  | {
      readonly kind: 'attemptStarted';
      readonly now: Timestamp;
      readonly from: Address;
      readonly id: RequestId;
    }
  | { readonly kind: 'responseCompleted'; readonly now: Timestamp; readonly id: RequestId }
  | {
      readonly kind: 'requestCancelled';
      readonly now: Timestamp;
      readonly id: RequestId;
      readonly text: string;
    }
  | {
      readonly kind: 'channelLost';
      readonly now: Timestamp;
      readonly leader: Address;
      readonly unsentIds: ReadonlySet<RequestId>;
    };

export type ProxyEffect =
  | Exclude<NodeAgentEffect, { kind: 'startLeading' | 'stopLeading' }>
  | ForwardingEffect
  | (Exclude<ServiceLeaderEffect, { kind: 'reportCanary' | 'reportEjection' | 'checkHealth' }> & {
      readonly leader: string;
    })
  | Extract<ServiceLeaderEffect, { kind: 'checkHealth' }>
  | { readonly kind: 'setLiveOrigins'; readonly liveInstances: ReadonlySet<InstanceId> };
