/**
 * Selects the endpoint of each attempt. The rate limit and the retry budget must permit the attempt, the rollout
 * determines the release, and the endpoint table balances the load among the remaining instances.
 */

import {
  type Release,
  type ServiceName,
  type Timestamp,
  type ZoneName,
  elapsedMs,
  increment,
} from '@switchwheel/types';
import { type Service, pickRelease } from '@switchwheel/configuration';
import type { RequestEvent } from '../attempt-state/attempt-state.js';
import type { BalancingPolicy, EndpointTable } from '../endpoint/endpoint-table.js';
import type { QuotaShare } from '../quota/quota-share.js';
import type { RandomSource } from '../random/random-source.js';
import type { ActiveRequest } from './active-request.js';
import type { RouterContext } from './ports.js';

const unknownServiceRetryMs = 120;
const noEndpointRetryMs = 250;
/** Added to the wait for a limit, so that a client does not retry just before the limit permits it. */
const limitRetryMarginMs = 20;
/** Maximum age of the rollouts' state at which a canary still receives new requests. */
const canaryFreshnessMs = 1500;
const crossZoneCostFactor = 1.3;
const latencyExponent = 3;
/** Fixed draw for the release of an extra attempt: 1 is above every share, so no canary is selected. */
const extraAttemptReleaseFraction = 1;

/** A limit of the service permits no attempt now; another attempt may be permitted after the wait. */
export interface LimitReached {
  readonly kind: 'limitReached';
  /** Counter of the requests that the limit rejected. */
  readonly counter: 'ceiling' | 'connections';
  readonly text: string;
  readonly waitMs: number;
}

/** Dependencies of an endpoint selector, shared with its router. */
export interface EndpointSelectorOptions {
  readonly context: RouterContext;
  readonly zone: ZoneName;
  readonly endpoints: EndpointTable;
  readonly quota: QuotaShare;
  readonly random: RandomSource;
  readonly counts: Map<string, number>;
}

/** Decides whether an attempt may be sent, and to which endpoint. */
export class EndpointSelector {
  readonly #options: EndpointSelectorOptions;
  readonly #policy: BalancingPolicy;

  constructor(options: EndpointSelectorOptions) {
    this.#options = options;
    this.#policy = { zone: options.zone, crossZoneCostFactor, latencyExponent };
  }

  /**
   * Selects an endpoint and charges the attempt to the quota; the event holds the endpoint, or the reason for none. An
   * extra attempt never waits for a limit.
   */
  pick(active: ActiveRequest, isExtra: boolean, now: Timestamp): RequestEvent | LimitReached {
    const { context, endpoints, quota, counts } = this.#options;
    const service = context.nodeAgent().compiledConfiguration?.services.get(active.service);
    if (service === undefined)
      return unavailable(now, 'the service is gone', unknownServiceRetryMs);
    const release = this.#pickRelease(active, isExtra, now);
    if (release === null) return unavailable(now, 'no origin of a sound release stands');
    const { triedInstances } = active.state;
    const endpoint = endpoints.pick(
      active.service,
      triedInstances,
      this.#policy,
      quota.maxConnectionsPerEndpoint(service),
      (candidate) => release === undefined || candidate.release === release,
      now,
    );
    if (endpoint === undefined) {
      if (endpoints.ofService(active.service).length > 0)
        return this.#limitReached('connections', service, 0, now);
      increment(counts, 'no_origin');
      return unavailable(now, 'no origin stands');
    }
    if (isExtra && triedInstances.has(endpoint.instance))
      return unavailable(now, 'no other origin stands');
    if (isExtra && !quota.takeExtraAttempt(active.service, now)) {
      increment(counts, 'budget');
      return unavailable(now, 'no further tries are left');
    }
    if (!quota.take(service, now)) return this.#limitReached('ceiling', service, 0, now);
    if (isExtra) increment(counts, 'extra');
    return { kind: 'endpointPicked', now, instance: endpoint.instance };
  }

  /** Returns the limit that a request meets behind others that wait for the same service. */
  limitBehind(
    waitingCount: number,
    service: ServiceName,
    now: Timestamp,
  ): LimitReached | undefined {
    const { context } = this.#options;
    const found = context.nodeAgent().compiledConfiguration?.services.get(service);
    if (found === undefined || waitingCount === 0) return undefined;
    const byRate = this.#limitReached('ceiling', found, waitingCount, now);
    const byConnections = this.#limitReached('connections', found, waitingCount, now);
    return byRate.waitMs >= byConnections.waitMs ? byRate : byConnections;
  }

  /** Rejects a request because of a limit. */
  reject({ counter, text, waitMs }: LimitReached, now: Timestamp): RequestEvent {
    increment(this.#options.counts, counter);
    return unavailable(now, text, waitMs + limitRetryMarginMs);
  }

  /** Describes a limit for a request behind `waitingCount` others. */
  #limitReached(
    counter: LimitReached['counter'],
    service: Service,
    waitingCount: number,
    now: Timestamp,
  ): LimitReached {
    return counter === 'ceiling'
      ? {
          kind: 'limitReached',
          counter,
          text: 'the service takes no more just now',
          waitMs: this.#options.quota.waitMs(service, waitingCount + 1, now),
        }
      : {
          kind: 'limitReached',
          counter,
          text: 'no origin stands',
          waitMs: this.#connectionWaitMs(service, waitingCount + 1),
        };
  }

  /** Expected time until `count` of this edge's connections to a service's origins become free. */
  #connectionWaitMs(service: Service, count: number): number {
    const { endpoints, quota } = this.#options;
    const connections =
      endpoints.ofService(service.name).length * quota.maxConnectionsPerEndpoint(service);
    return (count * endpoints.typicalLatencyMs(service.name)) / connections;
  }

  /** Returns the release to send to: undefined for any, null if only releases that failed their rollout are left. */
  #pickRelease(
    active: ActiveRequest,
    isExtra: boolean,
    now: Timestamp,
  ): Release | undefined | null {
    const { context, endpoints, random } = this.#options;
    const releases = endpoints.releases(active.service);
    const { releaseStates, releaseStatesAt } = context.nodeAgent();
    const rollout = releaseStates.get(active.service);
    if (releases.size <= 1 && rollout === undefined) return undefined;
    const isFresh = elapsedMs(releaseStatesAt, now) < canaryFreshnessMs;
    const fraction = isExtra ? extraAttemptReleaseFraction : random.next();
    return (
      pickRelease(rollout, releases, active.route.className, fraction, isFresh) ??
      (releases.size === 0 ? undefined : null)
    );
  }
}

const unavailable = (
  now: Timestamp,
  text: string,
  retryAfterMs: number = noEndpointRetryMs,
): RequestEvent => ({ kind: 'noEndpointAvailable', now, text, retryAfterMs });
