/**
 * The state of a service leader, the events that change it and the effects that it asks for.
 */

import type {
  RequestId,
  ServiceClassName,
  Epoch,
  InstanceId,
  Timestamp,
  Release,
  ServiceName,
  Address,
  Transition,
} from '@switchwheel/types';
import type { CanaryResult } from '@switchwheel/transport';
import type { OriginTable } from '@switchwheel/membership';
import type { ServiceClass, Service } from '@switchwheel/configuration';
import { type SlidingWindow, newSlidingWindow } from './sliding-window.js';

/** The window over which the budget of extra attempts is counted, and its slots. */
const budgetWindowMs = 10_000;
const budgetSlotMs = 200;
/** The response time that is assumed before there are any. */
const initialLatencyMs = 30;

/** How an attempt at an origin ended. */
export type AttemptOutcome =
  | { readonly kind: 'succeeded'; readonly status: number }
  /** A complete response of the origin, with a status of 500 or above. */
  | { readonly kind: 'originError'; readonly status: number }
  /** The origin says that it did not run the request. */
  | { readonly kind: 'notRun' }
  /** No byte of the request was sent. */
  | { readonly kind: 'notSent'; readonly text: string }
  /** Bytes were sent, and no complete and trusted response came back. */
  | { readonly kind: 'lost'; readonly text: string }
  | { readonly kind: 'timedOut' }
  /** The leader wanted no more of it. */
  | { readonly kind: 'cancelled' };

/** The health of an endpoint, from health checks and from the outcomes of attempts. */
export interface EndpointHealth {
  readonly consecutiveFailures: number;
  /** Moving average of its response times, in milliseconds. */
  readonly latencyEwmaMs: number;
  readonly latencySamples: number;
  readonly ejectedUntil: Timestamp;
  /** How often it was ejected of late: each time it is ejected for longer. */
  readonly ejectionLevel: number;
  readonly healthCheck: 'unknown' | 'good' | 'bad';
}

/** An instance of the service's origin as the leader sees it. */
export interface Endpoint {
  readonly instance: InstanceId;
  readonly address: Address;
  readonly release: Release;
  /** How many requests it takes at a time. */
  readonly slots: number;
  readonly activeAttempts: number;
  /** The last attempt that went there, so that endpoints take turns. */
  readonly lastAttemptId: number;
  readonly lastCheckedAt: Timestamp | undefined;
  /** Whether the registries list it as up. */
  readonly isLive: boolean;
  readonly health: EndpointHealth;
}

/** A request that waits in a queue or has attempts under way. */
export interface PendingRequest {
  readonly id: RequestId;
  readonly className: ServiceClassName;
  readonly isIdempotent: boolean;
  readonly deadline: Timestamp;
  readonly attemptCount: number;
  readonly triedInstances: ReadonlySet<InstanceId>;
  /** Whether an attempt may have run it: then it is never reported as rejected. */
  readonly mayHaveRun: boolean;
}

/** One try of a request at one endpoint. */
export interface Attempt {
  readonly id: number;
  readonly requestId: RequestId;
  readonly instance: InstanceId;
  readonly release: Release;
  readonly startedAt: Timestamp;
}

/** What the leader knows of a release that is, or was, a canary. */
export interface Canary {
  readonly release: Release;
  /** How many requests are reserved for it in the store. */
  readonly reservedRequests: number;
  readonly usedRequests: number;
  readonly successes: number;
  readonly failures: number;
  /** How badly it did of late: failures raise it, successes lower it. */
  readonly failureScore: number;
  /** The service's requests since the canary began, as earlier leaders reported them. */
  readonly priorTraffic: number;
  /** This leader's count of requests when it took the canary on. */
  readonly requestCountAtStart: number;
  readonly startedAt: Timestamp;
  readonly reportedAt: Timestamp | undefined;
  /** How many of its failures were reported to the store. */
  readonly reportedFailures: number;
  readonly state: 'trial' | 'good' | 'bad';
  /** Whether the store is known to have it. */
  readonly isStored: boolean;
}

/** The whole state of the leader of one service. */
export interface ServiceLeader {
  readonly service: ServiceName;
  readonly epoch: Epoch;
  readonly startedAt: Timestamp;
  /** How many leaders there may have been in the ten seconds before it began, itself included. */
  readonly recentLeaderCount: number;
  readonly serviceConfiguration: Service;
  /** The classes whose routes go to this service. */
  readonly classes: ReadonlyMap<ServiceClassName, ServiceClass>;
  readonly endpoints: ReadonlyMap<InstanceId, Endpoint>;
  /** Requests that wait for a slot, by class, in their order. */
  readonly queues: ReadonlyMap<ServiceClassName, readonly PendingRequest[]>;
  /** Requests with an attempt under way. */
  readonly activeRequests: ReadonlyMap<RequestId, PendingRequest>;
  readonly attempts: ReadonlyMap<number, Attempt>;
  readonly nextAttemptId: number;
  /** Since when no endpoint has been usable; undefined while one is. */
  readonly noEndpointSince: Timestamp | undefined;
  /** The tokens of the rate limit. */
  readonly tokens: number;
  readonly refilledAt: Timestamp;
  /** What each waiting class has used of the rate limit, divided by its share. */
  readonly rateUsage: ReadonlyMap<ServiceClassName, number>;
  readonly recentRequests: SlidingWindow;
  readonly recentExtraAttempts: SlidingWindow;
  /** Requests since this leader started: what the share of a canary is taken of. */
  readonly requestCount: number;
  readonly canaries: ReadonlyMap<Release, Canary>;
  /** Moving average of the response times of the service, in milliseconds. */
  readonly latencyEwmaMs: number;
  /** The lease is over: no attempt starts any more. */
  readonly isClosing: boolean;
}

/** The state of a leader that has just acquired its lease. */
export const newServiceLeader = (
  service: ServiceName,
  epoch: Epoch,
  serviceConfiguration: Service,
  classes: ReadonlyMap<ServiceClassName, ServiceClass>,
  now: Timestamp,
  recentLeaderCount = 1,
): ServiceLeader => ({
  service,
  epoch,
  startedAt: now,
  recentLeaderCount,
  serviceConfiguration,
  classes,
  endpoints: new Map(),
  queues: new Map(),
  activeRequests: new Map(),
  attempts: new Map(),
  nextAttemptId: 1,
  noEndpointSince: undefined,
  tokens: 0,
  refilledAt: now,
  rateUsage: new Map(),
  recentRequests: newSlidingWindow(budgetWindowMs, budgetSlotMs),
  recentExtraAttempts: newSlidingWindow(budgetWindowMs, budgetSlotMs),
  requestCount: 0,
  canaries: new Map(),
  latencyEwmaMs: initialLatencyMs,
  isClosing: false,
});

/** What happens to a service leader; times are of the monotonic clock. */
export type ServiceLeaderEvent =
  | {
      readonly kind: 'requestArrived';
      readonly now: Timestamp;
      readonly id: RequestId;
      readonly className: ServiceClassName;
      readonly isIdempotent: boolean;
      readonly mayHaveRun: boolean;
      readonly hasEarlierAttempt: boolean;
      readonly remainingMs: number;
    }
  /** An attempt's response goes to the client in parts: no other one may take its place. */
  | { readonly kind: 'streamingStarted'; readonly now: Timestamp; readonly attemptId: number }
  | {
      readonly kind: 'attemptEnded';
      readonly now: Timestamp;
      readonly attemptId: number;
      readonly outcome: AttemptOutcome;
      readonly durationMs: number;
    }
  | { readonly kind: 'requestCancelled'; readonly now: Timestamp; readonly id: RequestId }
  | { readonly kind: 'originsUpdated'; readonly now: Timestamp; readonly origins: OriginTable }
  | {
      readonly kind: 'healthChecked';
      readonly now: Timestamp;
      readonly instance: InstanceId;
      readonly isHealthy: boolean;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'configurationChanged';
      readonly now: Timestamp;
      readonly serviceConfiguration: Service;
      readonly classes: ReadonlyMap<ServiceClassName, ServiceClass>;
    }
  | {
      readonly kind: 'canaryResultsUpdated';
      readonly now: Timestamp;
      readonly canaryResults: readonly CanaryResult[];
    }
  | { readonly kind: 'tick'; readonly now: Timestamp }
  | { readonly kind: 'leadershipEnded'; readonly now: Timestamp };

/** Turns a request away; see `Rejection` for the fields. */
export interface RejectRequestEffect {
  readonly kind: 'rejectRequest';
  readonly requestId: RequestId;
  readonly errorKind: 'rejected' | 'unknown' | 'slow' | 'lost';
  readonly text: string;
  readonly retryAfterMs: number;
  readonly leaderMoved: boolean;
}

/** What a service leader asks of the program around it. */
export type ServiceLeaderEffect =
  | {
      readonly kind: 'startAttempt';
      readonly attemptId: number;
      readonly requestId: RequestId;
      readonly instance: InstanceId;
      readonly address: Address;
      readonly release: Release;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'cancelAttempt'; readonly attemptId: number }
  /** The attempt's response is the one for the client. */
  | { readonly kind: 'useResponse'; readonly attemptId: number; readonly requestId: RequestId }
  | RejectRequestEffect
  | {
      readonly kind: 'reportCanary';
      readonly service: ServiceName;
      readonly release: Release;
      readonly reservedRequests: number;
      readonly failures: number;
      readonly successes: number;
      readonly traffic: number;
      readonly state: 'trial' | 'good' | 'bad';
    }
  | {
      readonly kind: 'checkHealth';
      readonly service: ServiceName;
      readonly instance: InstanceId;
      readonly address: Address;
      readonly path: string;
    }
  | { readonly kind: 'reportEjection'; readonly instance: InstanceId; readonly text: string };

/** A leader's state after an event, and the effects that the event asks for. */
export type LeaderTransition = Transition<ServiceLeader, ServiceLeaderEffect>;
