/**
 * State, events and effects of a proxy process: its node agent, its service leaders and its
 * forwarding module.
 */

import {
  type Address,
  type RequestId,
  type RandomState,
  type InstanceId,
  type Timestamp,
  type Transition,
  type ServiceName,
  clockOrigin,
} from '@switchwheel/types';
import type { ForwardedRequest, Member } from '@switchwheel/transport';
import {
  type NodeAgent,
  type NodeAgentEffect,
  type NodeAgentEvent,
  newNodeAgent,
} from '../node-agent/state.js';
import {
  type Forwarding,
  type ForwardingEffect,
  type ForwardingEvent,
  initialForwarding,
} from '../forwarding/state.js';
import type {
  ServiceLeader,
  ServiceLeaderEffect,
  AttemptOutcome,
} from '../service-leader/state.js';
import type { EpochHistory } from './epoch-history.js';

/** State of a proxy. */
export interface ProxyState {
  readonly nodeAgent: NodeAgent;
  /**
   * Service leaders, keyed by service and epoch; a closing one remains until its attempts have
   * ended.
   */
  readonly leaders: ReadonlyMap<string, ServiceLeader>;
  /** Key in `leaders` of the active leader of each service that is led here. */
  readonly activeLeaders: ReadonlyMap<ServiceName, string>;
  readonly forwarding: Forwarding;
  readonly epochHistory: EpochHistory;
  /** Time of the last event. */
  readonly lastEventAt: Timestamp;
  /** Time of the last event that followed a suspension or stall of the process. */
  readonly lastResumedAt: Timestamp;
}

/** Returns the state of a proxy that has just started. */
export const newProxyState = (
  member: Member,
  registryAddresses: readonly Address[],
  randomState: RandomState,
): ProxyState => ({
  nodeAgent: newNodeAgent(member, registryAddresses, randomState),
  leaders: new Map(),
  activeLeaders: new Map(),
  forwarding: initialForwarding,
  epochHistory: new Map(),
  lastEventAt: clockOrigin,
  lastResumedAt: clockOrigin,
});

/** Event for a proxy; times are of the monotonic clock, `leader` is a key in `leaders`. */
export type ProxyEvent =
  | NodeAgentEvent
  | Exclude<ForwardingEvent, { kind: 'leaseHoldersChanged' | 'nodeDisconnected' | 'tick' }>
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
    };

/** Effect that a proxy requests from the program. */
export type ProxyEffect =
  | Exclude<NodeAgentEffect, { kind: 'startLeading' | 'stopLeading' }>
  | ForwardingEffect
  | (Exclude<ServiceLeaderEffect, { kind: 'reportCanary' | 'reportEjection' | 'checkHealth' }> & {
      readonly leader: string;
    })
  | Extract<ServiceLeaderEffect, { kind: 'checkHealth' }>
  | { readonly kind: 'setLiveOrigins'; readonly liveInstances: ReadonlySet<InstanceId> };

/** State of a proxy after an event, with the requested effects. */
export type ProxyTransition = Transition<ProxyState, ProxyEffect>;
