import type {
  RequestId,
  ClassName,
  Epoch,
  InstanceId,
  Timestamp,
  Release,
  ServiceName,
} from '@switchwheel/types';
import type { CanaryResult } from '@switchwheel/transport';
import type { OriginTable } from '@switchwheel/membership';
import type { ServiceClass, Service } from '@switchwheel/configuration';
import type { Address } from '@switchwheel/types';
import { type SlidingWindow, newSlidingWindow } from './sliding-window.js';

/** How a leg to an origin ended. */
export type AttemptOutcome =
  | { readonly kind: 'good'; readonly status: number }
  /** The origin's whole result, but one that tells of a fault of its own. */
  | { readonly kind: 'bad'; readonly status: number }
  /** The origin said plainly that it did not run the request. */
  | { readonly kind: 'unrun' }
  /** Not a byte of the request was handed over. */
  | { readonly kind: 'unopened'; readonly text: string }
  /** Bytes went out, and no whole and trusted result came back. */
  | { readonly kind: 'lost'; readonly text: string }
  | { readonly kind: 'slow' }
  | { readonly kind: 'dropped' };

/** How fit an origin seems, from probes and from what became of legs. */
export interface EndpointHealth {
  readonly consecutiveFailures: number;
  /** Typical time of its results, in milliseconds. */
  readonly latencyEwmaMs: number;
  readonly latencySamples: number;
  readonly ejectedUntil: Timestamp;
  readonly ejectionLevel: number;
  readonly healthCheck: 'unknown' | 'good' | 'bad';
}

/** An origin as its keeper sees it. */
export interface Endpoint {
  readonly instance: InstanceId;
  readonly address: Address;
  readonly release: Release;
  readonly slots: number;
  readonly activeAttempts: number;
  /** The last leg that went there, so that bays take turns. */
  readonly lastAttemptId: number;
  readonly lastCheckedAt: Timestamp | undefined;
  readonly isLive: boolean;
  readonly health: EndpointHealth;
}

/** A request that waits for a slot, or runs. */
export interface PendingRequest {
  readonly id: RequestId;
  readonly className: ClassName;
  readonly isIdempotent: boolean;
  readonly arrivedAt: Timestamp;
  readonly deadline: Timestamp;
  readonly attemptCount: number;
  readonly triedInstances: ReadonlySet<InstanceId>;
  /** Whether a leg of it may have run: then it is never told as refused. */
  readonly mayHaveRun: boolean;
}

export interface Attempt {
  readonly id: number;
  readonly requestId: RequestId;
  readonly instance: InstanceId;
  readonly release: Release;
  readonly startedAt: Timestamp;
}

/** What this keeper knows of a release that is on trial. */
export interface Canary {
  readonly release: Release;
  /** Requests that the stored count allows. */
  readonly reservedRequests: number;
  readonly usedRequests: number;
  readonly successes: number;
  readonly failures: number;
  /** How far it went bad of late: it grows with bad answers and eases with good ones. */
  readonly failureScore: number;
  /** The traffic since the trial began that earlier keepers told of, and where this keeper's own count stood then. */
  readonly priorTraffic: number;
  readonly requestCountAtStart: number;
  readonly startedAt: Timestamp;
  readonly reportedAt: Timestamp | undefined;
  /** How many of its bad answers were told for keeping. */
  readonly reportedFailures: number;
  readonly state: 'trial' | 'good' | 'bad';
  readonly isStored: boolean;
}

/** The whole state of a keeper of one service. */
export interface ServiceLeader {
  readonly service: ServiceName;
  readonly epoch: Epoch;
  readonly startedAt: Timestamp;
  /** How many keepers there may have been in the ten seconds before, this one among them. */
  readonly recentLeaderCount: number;
  readonly serviceConfiguration: Service;
  readonly classes: ReadonlyMap<ClassName, ServiceClass>;
  readonly endpoints: ReadonlyMap<InstanceId, Endpoint>;
  readonly queues: ReadonlyMap<ClassName, readonly PendingRequest[]>;
  readonly activeRequests: ReadonlyMap<RequestId, PendingRequest>;
  readonly attempts: ReadonlyMap<number, Attempt>;
  readonly nextAttemptId: number;
  /** Since when no origin at all may take a request. */
  readonly noEndpointSince: Timestamp | undefined;
  /** Sends still allowed by the ceiling right now. */
  readonly tokens: number;
  readonly refilledAt: Timestamp;
  /** What each class that waits has had of the ceiling, for its share. */
  readonly rateUsage: ReadonlyMap<ClassName, number>;
  readonly recentRequests: SlidingWindow;
  readonly recentExtraAttempts: SlidingWindow;
  /** Requests since this keeper opened: what trial shares are taken of. */
  readonly requestCount: number;
  readonly canaries: ReadonlyMap<Release, Canary>;
  /** Typical time of a result of this service. */
  readonly latencyEwmaMs: number;
  readonly isClosing: boolean;
}

export const newServiceLeader = (
  service: ServiceName,
  epoch: Epoch,
  rules: Service,
  groups: ReadonlyMap<ClassName, ServiceClass>,
  now: Timestamp,
  holdings = 1,
): ServiceLeader => ({
  service,
  epoch,
  startedAt: now,
  recentLeaderCount: holdings,
  serviceConfiguration: rules,
  classes: groups,
  endpoints: new Map(),
  queues: new Map(),
  activeRequests: new Map(),
  attempts: new Map(),
  nextAttemptId: 1,
  noEndpointSince: undefined,
  tokens: 0,
  refilledAt: now,
  rateUsage: new Map(),
  recentRequests: newSlidingWindow(10_000, 200),
  recentExtraAttempts: newSlidingWindow(10_000, 200),
  requestCount: 0,
  canaries: new Map(),
  latencyEwmaMs: 30,
  isClosing: false,
});

export type ServiceLeaderEvent =
  | {
      readonly kind: 'requestArrived';
      readonly now: Timestamp;
      readonly id: RequestId;
      readonly className: ClassName;
      readonly isIdempotent: boolean;
      readonly mayHaveRun: boolean;
      readonly hasEarlierAttempt: boolean;
      readonly remainingMs: number;
    }
  /** A leg's result is on its way to the caller in parts: nothing else may take its place. */
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
      readonly classes: ReadonlyMap<ClassName, ServiceClass>;
    }
  | {
      readonly kind: 'canaryResultsUpdated';
      readonly now: Timestamp;
      readonly canaryResults: readonly CanaryResult[];
    }
  | { readonly kind: 'tick'; readonly now: Timestamp }
  | { readonly kind: 'leadershipEnded'; readonly now: Timestamp };

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
  /** The leg's result is the one the caller gets. */
  | { readonly kind: 'useResponse'; readonly attemptId: number; readonly requestId: RequestId }
  | {
      readonly kind: 'rejectRequest';
      readonly requestId: RequestId;
      readonly errorKind: 'rejected' | 'unknown' | 'slow' | 'lost';
      readonly text: string;
      readonly retryMs: number;
      readonly leaderMoved: boolean;
    }
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
