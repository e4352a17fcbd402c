/**
 * Sends attempts to origins and records their outcomes in the endpoint's statistics and in the counts of its release.
 * Outcomes are passed as events to the request's state machine, which decides what follows.
 */

import {
  type InstanceId,
  type Release,
  type Timestamp,
  elapsedMs,
  increment,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import { conditionalFields, forwardableFields } from '@switchwheel/proxy-core';
import type { OriginResponse, RequestEvent } from '../attempt-state/attempt-state.js';
import type { EndpointTable } from '../endpoint/endpoint-table.js';
import type { ReleaseOutcome, RolloutCounters } from '../rollout/rollout-counters.js';
import type { ActiveRequest, InFlightAttempt } from './active-request.js';
import type { AttemptRequest, HeaderNames, OriginClient, RouterContext } from './ports.js';

/** Dependencies of an attempt sender, shared with its router. */
export interface AttemptSenderOptions {
  readonly context: RouterContext;
  readonly originClient: OriginClient;
  readonly endpoints: EndpointTable;
  readonly rolloutCounters: RolloutCounters;
  readonly headerNames: HeaderNames;
  readonly counts: Map<string, number>;
  /** Called with the outcome of an attempt, unless the attempt was cancelled. */
  readonly onEvent: (active: ActiveRequest, event: RequestEvent) => void;
}

/** Sends and cancels attempts. */
export class AttemptSender {
  readonly #options: AttemptSenderOptions;

  constructor(options: AttemptSenderOptions) {
    this.#options = options;
  }

  /** Sends a request to an instance; does nothing if the instance has left since it was selected. */
  send(active: ActiveRequest, attempt: number, instance: InstanceId, now: Timestamp): void {
    const { context, endpoints, originClient, rolloutCounters } = this.#options;
    const endpoint = endpoints.get(instance);
    if (endpoint === undefined) return;
    const { release } = endpoint;
    endpoints.recordAttemptStart(endpoint);
    rolloutCounters.recordAttemptStart(active.service, release, active.route.className);
    active.attemptStarts.set(attempt, {
      sentAt: now,
      purgeSeq: context.nodeAgent().lastPurgeSeq,
    });
    const inFlight: InFlightAttempt = { endpoint, release, startedAt: now, cancel: doNothing };
    inFlight.cancel = originClient.send(this.#attemptRequest(active, inFlight, now), {
      onResponse: (response) => {
        if (active.inFlight.delete(attempt)) this.#onResponse(active, attempt, inFlight, response);
      },
      onFailure: (mayHaveReachedOrigin, text) => {
        if (!active.inFlight.delete(attempt)) return;
        const failedAt = this.#recordFailure(active, inFlight, mayHaveReachedOrigin);
        this.#options.onEvent(active, {
          kind: 'attemptFailed',
          now: failedAt,
          attempt,
          mayHaveReachedOrigin,
          text,
        });
      },
    });
    active.inFlight.set(attempt, inFlight);
  }

  /** Cancels an attempt; the origin client calls no handler for it afterwards. */
  cancel(active: ActiveRequest, attempt: number, now: Timestamp): void {
    const inFlight = active.inFlight.get(attempt);
    if (inFlight === undefined) return;
    active.inFlight.delete(attempt);
    const { endpoints } = this.#options;
    const durationMs = elapsedMs(inFlight.startedAt, now);
    // The instance may have left, and a new endpoint may have the same name.
    const endpoint = endpoints.get(inFlight.endpoint.instance);
    this.#countOutcome(active, inFlight.release, 'cancelled', durationMs);
    // The latency was at least this long; recording it makes a slow origin visible.
    if (endpoint !== undefined)
      endpoints.recordAttemptEnd(endpoint, Math.max(endpoint.latencyEwmaMs, durationMs), true, now);
    inFlight.cancel();
  }

  #attemptRequest(
    { request, route, service, cacheable, state }: ActiveRequest,
    { endpoint }: InFlightAttempt,
    now: Timestamp,
  ): AttemptRequest {
    const { headerNames } = this.#options;
    const { address, instance } = endpoint;
    const timeoutMs = Math.max(1, Math.floor(elapsedMs(now, state.deadline)));
    const replacedFields = [
      headerNames.timeLeftMs,
      headerNames.targetInstance,
      'content-length',
      'expect',
      ...(cacheable === undefined ? [] : conditionalFields),
    ];
    const fields: HeaderFields = [
      ...forwardableFields(request.fields, replacedFields),
      [headerNames.timeLeftMs, String(timeoutMs)],
      [headerNames.targetInstance, instance],
    ];
    return {
      service,
      address,
      instance,
      id: request.id,
      method: request.method,
      target: request.target,
      fields,
      body: request.body,
      timeoutMs,
      needsNewConnection: !route.isIdempotent,
    };
  }

  #onResponse(
    active: ActiveRequest,
    attempt: number,
    { endpoint, release, startedAt }: InFlightAttempt,
    response: OriginResponse,
  ): void {
    const { context, endpoints, onEvent } = this.#options;
    const now = context.now();
    const durationMs = elapsedMs(startedAt, now);
    const isSuccess = response.status < 500;
    if (response.isUnprocessed) {
      this.#countOutcome(active, release, 'cancelled', 0);
      endpoints.recordRejection(endpoint, now);
    } else {
      this.#countOutcome(active, release, isSuccess ? 'succeeded' : 'failed', durationMs);
      endpoints.recordAttemptEnd(endpoint, durationMs, isSuccess, now);
    }
    onEvent(active, { kind: 'responseReceived', now, attempt, response });
  }

  #recordFailure(
    active: ActiveRequest,
    { endpoint, release, startedAt }: InFlightAttempt,
    mayHaveReachedOrigin: boolean,
  ): Timestamp {
    const { context, counts, endpoints } = this.#options;
    const now = context.now();
    increment(counts, mayHaveReachedOrigin ? 'broke' : 'unopened');
    if (mayHaveReachedOrigin)
      this.#countOutcome(active, release, 'failed', elapsedMs(startedAt, now));
    else this.#countOutcome(active, release, 'cancelled', 0);
    endpoints.recordAttemptEnd(endpoint, undefined, false, now);
    return now;
  }

  #countOutcome(
    active: ActiveRequest,
    release: Release,
    outcome: ReleaseOutcome,
    durationMs: number,
  ): void {
    const { context, endpoints, rolloutCounters } = this.#options;
    const settled = context.nodeAgent().releaseStates.get(active.service)?.settled;
    rolloutCounters.recordAttemptEnd(
      active.service,
      release,
      active.route.className,
      outcome,
      durationMs,
      endpoints.typicalLatencyMs(active.service, settled),
    );
  }
}

const doNothing = (): void => undefined;
