/**
 * Picks the endpoint of each attempt: the service's rate limit and the retry budget allow it, the rollout decides the
 * release, and the endpoint table balances among the instances that are left.
 */

import {
  type Release,
  type Timestamp,
  type ZoneName,
  elapsedMs,
  increment,
} from '@switchwheel/types';
import { pickRelease } from '@switchwheel/configuration';
import type { RequestEvent } from '../attempt-state/attempt-state.js';
import type { BalancingPolicy, EndpointTable } from '../endpoint/endpoint-table.js';
import type { QuotaShare } from '../quota/quota-share.js';
import type { RandomSource } from '../random/random-source.js';
import type { ActiveRequest } from './active-request.js';
import type { RouterContext } from './ports.js';

const unknownServiceRetryMs = 120;
const noEndpointRetryMs = 250;
/** What is added to the wait for a token, so that a client does not come back just before there is one. */
const rateLimitRetryMarginMs = 20;
/** How old the rollouts' state may be for a canary to get new requests. */
const canaryFreshnessMs = 1500;
const crossZoneCostFactor = 1.3;
const latencyExponent = 3;
/** The fraction by which an extra attempt draws its release: such an attempt never goes to a canary. */
const extraAttemptReleaseFraction = 1;

/** What a selector stands on; the table, the quota and the counters are the router's own. */
export interface EndpointSelectorOptions {
  readonly context: RouterContext;
  readonly zone: ZoneName;
  readonly endpoints: EndpointTable;
  readonly quota: QuotaShare;
  readonly random: RandomSource;
  readonly counts: Map<string, number>;
}

/** Chooses where an attempt goes, and whether it may be made at all. */
export class EndpointSelector {
  readonly #options: EndpointSelectorOptions;
  readonly #policy: BalancingPolicy;

  constructor(options: EndpointSelectorOptions) {
    this.#options = options;
    this.#policy = { zone: options.zone, crossZoneCostFactor, latencyExponent };
  }

  /** Picks an endpoint and takes what the attempt costs from the quota; the event says which, or why there is none. */
  pick(active: ActiveRequest, isExtra: boolean, now: Timestamp): RequestEvent {
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
    if (endpoint === undefined) return unavailable(now, 'no origin stands');
    if (isExtra && triedInstances.has(endpoint.instance))
      return unavailable(now, 'no other origin stands');
    if (isExtra && !quota.takeExtraAttempt(active.service, now)) {
      increment(counts, 'budget');
      return unavailable(now, 'no further tries are left');
    }
    const waitMs = quota.takeOrWaitMs(service, now);
    if (waitMs > 0) {
      increment(counts, 'ceiling');
      const retryAfterMs = waitMs + rateLimitRetryMarginMs;
      return unavailable(now, 'the service takes no more just now', retryAfterMs);
    }
    if (isExtra) increment(counts, 'extra');
    return { kind: 'endpointPicked', now, instance: endpoint.instance };
  }

  /** The release to send to: undefined for any, null if only one that failed its rollout is left. */
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
