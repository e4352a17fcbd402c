/**
 * Leader of one service: the shield that holds the service's lease admits its requests, sends them
 * to endpoints, retries, hedges and evaluates canaries. This module dispatches events to the pure
 * functions of the modules beside it. Which shield leads is decided in `node-agent`.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import type { OriginTable } from '@switchwheel/membership';
import { admitQueued } from './admission.js';
import { onAttemptEnded, onRequestCancelled, onStreamingStarted } from './attempt-result.js';
import { advanceCanaries, applyCanaryResults, startCanaries } from './canary.js';
import { updateEndpoints } from './endpoints.js';
import { startDueHealthChecks } from './health-checks.js';
import { hedgeSlowAttempts } from './hedging.js';
import { recordHealthCheck } from './outlier-ejection.js';
import { recordEndpointAvailability, rejectUnservable } from './queue-wait.js';
import { refillTokens } from './rate-limit.js';
import { rejectRequest } from './reject-request.js';
import { onRequestArrived } from './request-arrival.js';
import type { LeaderTransition, ServiceLeader, ServiceLeaderEvent } from './state.js';

const onOriginsUpdated = (
  state: ServiceLeader,
  origins: OriginTable,
  now: Timestamp,
): LeaderTransition => {
  const started = startCanaries(updateEndpoints(state, origins, now), now);
  return prependEffects(
    started.effects,
    admitQueued(recordEndpointAvailability(started.state, now), now),
  );
};

/** Rejects the queued requests at the end of the lease; running attempts complete. */
const onLeadershipEnded = (state: ServiceLeader): LeaderTransition => {
  const rejections = [...state.queues.values()].flat().map((request) =>
    request.mayHaveRun
      ? rejectRequest(request.id, { errorKind: 'lost', text: 'the keeper moved', retryAfterMs: 0 })
      : rejectRequest(request.id, {
          errorKind: 'rejected',
          text: 'the keeper moved',
          retryAfterMs: 0,
          leaderMoved: true,
        }),
  );
  return transition({ ...state, isClosing: true, queues: new Map() }, ...rejections);
};

const onTick = (state: ServiceLeader, now: Timestamp): LeaderTransition => {
  if (state.isClosing) return transition(state);
  const rejected = rejectUnservable(recordEndpointAvailability(state, now), now);
  const advanced = advanceCanaries(rejected.state, now);
  const checked = startDueHealthChecks(refillTokens(advanced.state, now), now);
  const admitted = admitQueued(checked.state, now);
  return prependEffects(
    [...rejected.effects, ...advanced.effects, ...checked.effects, ...admitted.effects],
    hedgeSlowAttempts(admitted.state, now),
  );
};

/** Reducer of a service leader; the only place where its state changes. */
export const serviceLeaderTransition = (
  state: ServiceLeader,
  event: ServiceLeaderEvent,
): LeaderTransition => {
  const { now } = event;
  switch (event.kind) {
    case 'requestArrived':
      return onRequestArrived(state, event);
    case 'streamingStarted':
      return onStreamingStarted(state, event.attemptId);
    case 'attemptEnded':
      return onAttemptEnded(state, event);
    case 'requestCancelled':
      return onRequestCancelled(state, event.id, now);
    case 'originsUpdated':
      return onOriginsUpdated(state, event.origins, now);
    case 'healthChecked':
      return admitQueued(recordHealthCheck(state, event.instance, event.isHealthy), now);
    case 'configurationChanged': {
      const { serviceConfiguration, classes } = event;
      return admitQueued({ ...state, serviceConfiguration, classes }, now);
    }
    case 'canaryResultsUpdated':
      return admitQueued(applyCanaryResults(state, event.canaryResults, now), now);
    case 'tick':
      return onTick(state, now);
    case 'leadershipEnded':
      return onLeadershipEnded(state);
  }
};

/** Whether a leader has no attempt in progress; a closing leader is removed once it is idle. */
export const isIdle = (state: ServiceLeader): boolean => state.attempts.size === 0;
