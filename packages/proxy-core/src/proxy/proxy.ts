/**
 * Reducer of a proxy process. It dispatches events to the node agent, the service leaders and the
 * forwarding module, and passes changes in the node agent on to the other two.
 */

import { type Timestamp, clockOrigin, transition } from '@switchwheel/types';
import { heldEpoch } from '@switchwheel/election';
import { isLiveOrigin } from '@switchwheel/membership';
import { forwardingTransition } from '../forwarding/forwarding.js';
import type { ForwardingEvent } from '../forwarding/state.js';
import { acceptsRequests } from '../node-agent/readiness.js';
import { nodeAgentTransition } from '../node-agent/node-agent.js';
import type { NodeAgent, NodeAgentEffect, NodeAgentEvent } from '../node-agent/state.js';
import { andThen } from './and-then.js';
import { recordEpochs } from './epoch-history.js';
import {
  closeExpiredLeaders,
  dispatchToActiveLeaders,
  dispatchToLeader,
  openLeader,
} from './leaders.js';
import type { ProxyEffect, ProxyEvent, ProxyState, ProxyTransition } from './state.js';

type EventOf<K extends ProxyEvent['kind']> = Extract<ProxyEvent, { kind: K }>;

/**
 * Time without an event after which the process is considered to have been suspended or stalled.
 */
const stallThresholdMs = 1500;

const onConfigurationAdopted = (
  state: ProxyState,
  effect: Extract<NodeAgentEffect, { kind: 'adoptConfiguration' }>,
  now: Timestamp,
): ProxyTransition => {
  const { services, classesByService } = effect.compiledConfiguration;
  let next: ProxyTransition = transition(state, effect);
  for (const [service, key] of state.activeLeaders) {
    const serviceConfiguration = services.get(service);
    if (serviceConfiguration === undefined) continue;
    next = andThen(next, (current) =>
      dispatchToLeader(current, key, {
        kind: 'configurationChanged',
        now,
        serviceConfiguration,
        classes: classesByService.get(service) ?? new Map(),
      }),
    );
  }
  return next;
};

const onNodeAgentEffect = (
  state: ProxyState,
  effect: NodeAgentEffect,
  now: Timestamp,
): ProxyTransition => {
  switch (effect.kind) {
    case 'startLeading':
      return openLeader(state, effect.service, heldEpoch(effect.candidate), now);
    case 'stopLeading':
      return closeExpiredLeaders(state, now);
    case 'adoptConfiguration':
      return onConfigurationAdopted(state, effect, now);
    default:
      return transition(state, effect);
  }
};

const dispatchToForwarding = (state: ProxyState, event: ForwardingEvent): ProxyTransition => {
  const result = forwardingTransition(state.forwarding, event);
  return transition({ ...state, forwarding: result.state }, ...result.effects);
};

const propagateLeaseHolders = (state: ProxyState, now: Timestamp): ProxyTransition => {
  const leaseHolders = state.nodeAgent.nodeSession.leaseHolders;
  const epochHistory = recordEpochs(state.epochHistory, leaseHolders, now);
  return dispatchToForwarding(
    { ...state, epochHistory },
    { kind: 'leaseHoldersChanged', now, leaseHolders },
  );
};

const propagateOrigins = (state: ProxyState, now: Timestamp): ProxyTransition => {
  const { origins } = state.nodeAgent.nodeSession;
  const liveInstances = new Set(
    [...origins.values()]
      .filter((origin) => isLiveOrigin(origin, now))
      .map((origin) => origin.instance),
  );
  const updated = dispatchToActiveLeaders(state, { kind: 'originsUpdated', now, origins });
  return andThen(updated, (current) =>
    transition<ProxyState, ProxyEffect>(current, { kind: 'setLiveOrigins', liveInstances }),
  );
};

/** Passes changes in the node agent on to the leaders and the forwarding module. */
const propagateChanges = (
  before: NodeAgent,
  state: ProxyState,
  now: Timestamp,
): ProxyTransition => {
  const { nodeSession, canaryResults } = state.nodeAgent;
  let next: ProxyTransition = transition(state);
  if (before.nodeSession.leaseHolders !== nodeSession.leaseHolders)
    next = andThen(next, (current) => propagateLeaseHolders(current, now));
  if (before.nodeSession.origins !== nodeSession.origins)
    next = andThen(next, (current) => propagateOrigins(current, now));
  if (before.canaryResults !== canaryResults)
    next = andThen(next, (current) =>
      dispatchToActiveLeaders(current, { kind: 'canaryResultsUpdated', now, canaryResults }),
    );
  return next;
};

const dispatchToNodeAgent = (state: ProxyState, event: NodeAgentEvent): ProxyTransition => {
  const result = nodeAgentTransition(state.nodeAgent, event);
  let next: ProxyTransition = transition({ ...state, nodeAgent: result.state });
  for (const effect of result.effects)
    next = andThen(next, (current) => onNodeAgentEffect(current, effect, event.now));
  return andThen(next, (current) => propagateChanges(state.nodeAgent, current, event.now));
};

const onTick = (state: ProxyState, now: Timestamp): ProxyTransition => {
  let next = dispatchToNodeAgent(state, { kind: 'tick', now });
  for (const [key, leader] of next.state.leaders) {
    // Whether an origin is live depends on the time, too.
    if (!leader.isClosing)
      next = andThen(next, (current) =>
        dispatchToLeader(current, key, {
          kind: 'originsUpdated',
          now,
          origins: current.nodeAgent.nodeSession.origins,
        }),
      );
    next = andThen(next, (current) => dispatchToLeader(current, key, { kind: 'tick', now }));
  }
  next = andThen(next, (current) => dispatchToForwarding(current, { kind: 'tick', now }));
  const { forwarding, nodeAgent } = next.state;
  return forwarding.requests.size === 0 || acceptsRequests(nodeAgent, now)
    ? next
    : andThen(next, (current) => dispatchToForwarding(current, { kind: 'nodeDisconnected', now }));
};

/**
 * Dispatches a forwarded request to the service's leader. Without a leader of at least the
 * request's epoch, the edge is asked to retry with the next leader.
 */
const onInboundRequest = (
  state: ProxyState,
  { request, now }: EventOf<'inboundRequestArrived'>,
): ProxyTransition => {
  const key = state.activeLeaders.get(request.service);
  const leader = key === undefined ? undefined : state.leaders.get(key);
  if (key === undefined || leader === undefined || request.epoch > leader.epoch)
    return transition<ProxyState, ProxyEffect>(state, {
      kind: 'rejectRequest',
      leader: '',
      requestId: request.id,
      errorKind: 'rejected',
      text: 'not the keeper',
      retryAfterMs: 0,
      leaderMoved: true,
    });
  return dispatchToLeader(state, key, {
    kind: 'requestArrived',
    now,
    id: request.id,
    className: request.group,
    isIdempotent: request.repeatable,
    mayHaveRun: request.again,
    hasEarlierAttempt: request.extra,
    remainingMs: request.left,
  });
};

const onInboundCancelled = (
  state: ProxyState,
  { id, now }: EventOf<'inboundRequestCancelled'>,
): ProxyTransition => {
  let next: ProxyTransition = transition(state);
  for (const key of state.leaders.keys())
    next = andThen(next, (current) =>
      dispatchToLeader(current, key, { kind: 'requestCancelled', now, id }),
    );
  return next;
};

const onHealthChecked = (
  state: ProxyState,
  { now, service, instance, isHealthy, durationMs }: EventOf<'healthChecked'>,
): ProxyTransition => {
  const key = state.activeLeaders.get(service);
  return key === undefined
    ? transition(state)
    : dispatchToLeader(state, key, { kind: 'healthChecked', now, instance, isHealthy, durationMs });
};

const handleEvent = (state: ProxyState, event: ProxyEvent): ProxyTransition => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frameReceived':
    case 'peerDisconnected':
    case 'configurationCompiled':
    case 'compileFailed':
    case 'stopRequested':
      return dispatchToNodeAgent(state, event);
    case 'inboundRequestArrived':
      return onInboundRequest(state, event);
    case 'inboundRequestCancelled':
      return onInboundCancelled(state, event);
    case 'streamingStarted': {
      const { now, attemptId } = event;
      return dispatchToLeader(state, event.leader, { kind: 'streamingStarted', now, attemptId });
    }
    case 'attemptEnded': {
      const { now, attemptId, outcome, durationMs } = event;
      const ended = { kind: 'attemptEnded' as const, now, attemptId, outcome, durationMs };
      return dispatchToLeader(state, event.leader, ended);
    }
    case 'healthChecked':
      return onHealthChecked(state, event);
    case 'requestAccepted':
    case 'responseStarted':
    case 'attemptStarted':
    case 'requestRejected':
    case 'responseCompleted':
    case 'requestCancelled':
    case 'channelLost':
      return dispatchToForwarding(state, event);
  }
};

const recordEventTime = (state: ProxyState, now: Timestamp): ProxyState => {
  const hasResumed = state.lastEventAt > clockOrigin && now - state.lastEventAt > stallThresholdMs;
  return { ...state, lastEventAt: now, lastResumedAt: hasResumed ? now : state.lastResumedAt };
};

/** Reducer of a proxy; the only place where its state changes. */
export const proxyTransition = (state: ProxyState, event: ProxyEvent): ProxyTransition =>
  andThen(closeExpiredLeaders(recordEventTime(state, event.now), event.now), (current) =>
    handleEvent(current, event),
  );
