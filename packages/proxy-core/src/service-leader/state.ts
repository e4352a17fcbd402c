/**
 * State, events and effects of a service leader.
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

/** Window and slot length for the budget of extra attempts. */
const budgetWindowMs = 10_000;
const budgetSlotMs = 200;
/** Assumed response time before the first sample. */
const initialLatencyMs = 30;

/** Outcome of an attempt at an origin. */
export type AttemptOutcome =
  | { readonly kind: 'succeeded'; readonly status: number }
  /** A complete response with a status of 500 or above. */
  | { readonly kind: 'originError'; readonly status: number }
  /** The origin declared that it did not run the request. */
  | { readonly kind: 'notRun' }
  /** No byte of the request was sent. */
  | { readonly kind: 'notSent'; readonly text: string }
  /** Bytes were sent, but no complete and verified response was received. */
  | { readonly kind: 'lost'; readonly text: string }
  | { readonly kind: 'timedOut' }
  /** The leader cancelled the attempt. */
  | { readonly kind: 'cancelled' };

/** Health of an endpoint, from health checks and outcomes of attempts. */
export interface EndpointHealth {
  readonly consecutiveFailures: number;
  /** Moving average of the response time, in milliseconds. */
  readonly latencyEwmaMs: number;
  readonly latencySamples: number;
  readonly ejectedUntil: Timestamp;
  /** Number of recent ejections; each one doubles the next ejection time. */
  readonly ejectionLevel: number;
  readonly healthCheck: 'unknown' | 'good' | 'bad';
}

/** Instance of the service's origin, as seen by the leader. */
export interface Endpoint {
  readonly instance: InstanceId;
  readonly address: Address;
  readonly release: Release;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly activeAttempts: number;
  /** Latest attempt at this endpoint; used to pick the least recently used endpoint. */
  readonly lastAttemptId: number;
  readonly lastCheckedAt: Timestamp | undefined;
  /** Whether the registries list it as up. */
  readonly isLive: boolean;
  readonly health: EndpointHealth;
}

/** Request that is queued or has attempts in progress. */
export interface PendingRequest {
  readonly id: RequestId;
  readonly className: ServiceClassName;
  readonly isIdempotent: boolean;
  readonly deadline: Timestamp;
  readonly attemptCount: number;
  readonly triedInstances: ReadonlySet<InstanceId>;
  /** Whether an attempt may have run it; if so, it is never reported as rejected. */
  readonly mayHaveRun: boolean;
}

/** Single attempt of a request at one endpoint. */
export interface Attempt {
  readonly id: number;
  readonly requestId: RequestId;
  readonly instance: InstanceId;
  readonly release: Release;
  readonly startedAt: Timestamp;
}

/** Current or former canary, as known to the leader. */
export interface Canary {
  readonly release: Release;
  /** Number of requests reserved for it in the store. */
  readonly reservedRequests: number;
  readonly usedRequests: number;
  readonly successes: number;
  readonly failures: number;
  /** Recent failures: a failure raises the score, a success lowers it. */
  readonly failureScore: number;
  /** The service's requests since the canary started, as reported by earlier leaders. */
  readonly priorTraffic: number;
  /** This leader's request count when the canary was added. */
  readonly requestCountAtStart: number;
  readonly startedAt: Timestamp;
  readonly reportedAt: Timestamp | undefined;
  /** Number of failures already reported to the store. */
  readonly reportedFailures: number;
  readonly state: 'trial' | 'good' | 'bad';
  /** Whether the store is known to have it. */
  readonly isStored: boolean;
}

/** State of the leader of one service. */
export interface ServiceLeader {
  readonly service: ServiceName;
  readonly epoch: Epoch;
  readonly startedAt: Timestamp;
  /**
   * Maximum number of leaders that the service may have had in the ten seconds before this one
   * started, itself included.
   */
  readonly recentLeaderCount: number;
  readonly serviceConfiguration: Service;
  /** Classes whose routes point to this service. */
  readonly classes: ReadonlyMap<ServiceClassName, ServiceClass>;
  readonly endpoints: ReadonlyMap<InstanceId, Endpoint>;
  /** Queued requests by class, in order. */
  readonly queues: ReadonlyMap<ServiceClassName, readonly PendingRequest[]>;
  /** Requests with an attempt in progress. */
  readonly activeRequests: ReadonlyMap<RequestId, PendingRequest>;
  readonly attempts: ReadonlyMap<number, Attempt>;
  readonly nextAttemptId: number;
  /** Time since when no endpoint has been usable; undefined while one is. */
  readonly noEndpointSince: Timestamp | undefined;
  /** Tokens left in the bucket of the rate limit. */
  readonly tokens: number;
  readonly refilledAt: Timestamp;
  /** Usage of the rate limit by each waiting class, divided by its share. */
  readonly rateUsage: ReadonlyMap<ServiceClassName, number>;
  readonly recentRequests: SlidingWindow;
  readonly recentExtraAttempts: SlidingWindow;
  /** Requests since this leader started; the basis of the canaries' traffic shares. */
  readonly requestCount: number;
  readonly canaries: ReadonlyMap<Release, Canary>;
  /** Moving average of the service's response time, in milliseconds. */
  readonly latencyEwmaMs: number;
  /** Whether the lease has ended; no further attempts are started. */
  readonly isClosing: boolean;
}

/** Returns the state of a leader that has just acquired its lease. */
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

/** Event for a service leader; times are of the monotonic clock. */
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
  /** The response of an attempt is streamed to the client; no other attempt may replace it. */
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

/** Rejects a request; `Rejection` describes the fields. */
export interface RejectRequestEffect {
  readonly kind: 'rejectRequest';
  readonly requestId: RequestId;
  readonly errorKind: 'rejected' | 'unknown' | 'slow' | 'lost';
  readonly text: string;
  readonly retryAfterMs: number;
  readonly leaderMoved: boolean;
}

/** Effect that a service leader requests from the program. */
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
  /** The attempt's response is to be sent to the client. */
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

/** State of a leader after an event, with the requested effects. */
export type LeaderTransition = Transition<ServiceLeader, ServiceLeaderEffect>;
