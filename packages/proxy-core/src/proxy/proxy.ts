import {
  type Timestamp,
  type ServiceName,
  type Transition,
  withoutEntry,
  prependEffects,
  serviceLeaseOf,
  primaryLease,
  withEntry,
  clockOrigin,
  transition,
} from '@switchwheel/types';
import { type FrameOf, log, send } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { isLiveOrigin } from '@switchwheel/membership';
import { nodeAgentTransition, acceptsRequests } from '../node-agent/node-agent.js';
import type { NodeAgentEffect } from '../node-agent/state.js';
import { forwardingTransition } from '../forwarding/forwarding.js';
import type { ForwardingEvent } from '../forwarding/state.js';
import { isIdle, serviceLeaderTransition } from '../service-leader/service-leader.js';
import {
  type ServiceLeader,
  type ServiceLeaderEffect,
  type ServiceLeaderEvent,
  newServiceLeader,
} from '../service-leader/state.js';
import { recentHolderCount, recordEpochs } from './epoch-history.js';
import type { ProxyState, ProxyEffect, ProxyEvent } from './state.js';

type ProxyTransition = Transition<ProxyState, ProxyEffect>;
const andThen = (
  first: ProxyTransition,
  next: (state: ProxyState) => ProxyTransition,
): ProxyTransition => prependEffects(first.effects, next(first.state));

const toProxyEffects = (
  state: ProxyState,
  name: string,
  effect: ServiceLeaderEffect,
): readonly ProxyEffect[] => {
  if (effect.kind === 'reportEjection')
    return [
      log(
        'warn',
        'an origin is passed over for a while',
        ['instance', effect.instance],
        ['why', effect.text],
      ),
    ];
  if (effect.kind === 'checkHealth') return [effect];
  if (effect.kind !== 'reportCanary') return [{ ...effect, leader: name }];
  const store = state.nodeAgent.nodeSession.holders.get(primaryLease);
  if (store === undefined) return [];
  const {
    service,
    release,
    reservedRequests,
    failures,
    successes,
    traffic,
    state: verdict,
  } = effect;
  const word: FrameOf<'trial'> = {
    kind: 'trial',
    service,
    release,
    spent: reservedRequests,
    bad: failures,
    good: successes,
    seen: traffic,
    state: verdict,
    at: state.nodeAgent.nodeSession.heartbeatSentAt,
    node: state.nodeAgent.nodeSession.member.node,
  };
  return [
    send(store.address, word),
    ...(verdict === 'bad'
      ? [
          log(
            'error',
            'a release is judged bad',
            ['service', service],
            ['release', release],
            ['bad', failures],
          ),
        ]
      : []),
  ];
};

const dispatchToLeader = (
  state: ProxyState,
  name: string,
  event: ServiceLeaderEvent,
): ProxyTransition => {
  const keeper = state.leaders.get(name);
  if (keeper === undefined) return transition(state);
  const done = serviceLeaderTransition(keeper, event);
  const keepers =
    done.state.isClosing && isIdle(done.state)
      ? withoutEntry(state.leaders, name)
      : withEntry(state.leaders, name, done.state);
  const next = { ...state, leaders: keepers };
  return transition(next, ...done.effects.flatMap((one) => toProxyEffects(next, name, one)));
};

/** Closes a keeper whose lease is over before anything else is acted on: a process that slept acts on nothing stale. */
const closeExpiredLeaders = (state: ProxyState, now: Timestamp): ProxyTransition => {
  let next: ProxyTransition = transition(state);
  for (const [service, name] of state.activeLeaders) {
    const candidate = state.nodeAgent.candidates.get(service);
    const keeper = state.leaders.get(name);
    if (
      candidate !== undefined &&
      keeper !== undefined &&
      holdsLease(candidate, now) &&
      heldEpoch(candidate) === keeper.epoch
    )
      continue;
    next = andThen(next, (one) =>
      dispatchToLeader({ ...one, activeLeaders: withoutEntry(one.activeLeaders, service) }, name, {
        kind: 'leadershipEnded',
        now,
      }),
    );
  }
  return next;
};

const openLeader = (
  state: ProxyState,
  service: ServiceName,
  epoch: ServiceLeader['epoch'],
  now: Timestamp,
): ProxyTransition => {
  const rules = state.nodeAgent.compiledConfiguration?.services.get(service);
  if (rules === undefined || state.nodeAgent.compiledConfiguration === undefined)
    return transition(state);
  const name = `${service}#${epoch}`;
  const holdings = recentHolderCount(state.epochHistory, serviceLeaseOf(service), epoch, now);
  const keeper = newServiceLeader(
    service,
    epoch,
    rules,
    state.nodeAgent.compiledConfiguration.classesByService.get(service) ?? new Map(),
    now,
    holdings,
  );
  const opened: ProxyState = {
    ...state,
    leaders: withEntry(state.leaders, name, keeper),
    activeLeaders: withEntry(state.activeLeaders, service, name),
  };
  const taught = andThen(
    transition(opened, log('info', 'keeps a service', ['service', service], ['epoch', epoch])),
    (one) =>
      dispatchToLeader(one, name, {
        kind: 'canaryResultsUpdated',
        now,
        canaryResults: one.nodeAgent.canaryResults,
      }),
  );
  return andThen(taught, (one) =>
    dispatchToLeader(one, name, {
      kind: 'originsUpdated',
      now,
      origins: one.nodeAgent.nodeSession.origins,
    }),
  );
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
    case 'adoptConfiguration': {
      let next: ProxyTransition = transition(state, effect);
      for (const [service, name] of state.activeLeaders) {
        const rules = effect.compiledConfiguration.services.get(service);
        if (rules !== undefined)
          next = andThen(next, (one) =>
            dispatchToLeader(one, name, {
              kind: 'configurationChanged',
              now,
              serviceConfiguration: rules,
              classes: effect.compiledConfiguration.classesByService.get(service) ?? new Map(),
            }),
          );
      }
      return next;
    }
    default:
      return transition(state, effect);
  }
};

const dispatchToForwarding = (state: ProxyState, event: ForwardingEvent): ProxyTransition => {
  const done = forwardingTransition(state.forwarding, event);
  return transition({ ...state, forwarding: done.state }, ...done.effects);
};

/** What the control side learned goes to where it is used. */
const propagateChanges = (
  before: ProxyState,
  state: ProxyState,
  now: Timestamp,
): ProxyTransition => {
  let next: ProxyTransition = transition(state);
  const was = before.nodeAgent;
  const is = state.nodeAgent;
  if (was.nodeSession.holders !== is.nodeSession.holders) {
    const heights = recordEpochs(state.epochHistory, is.nodeSession.holders, now);
    next = andThen(transition({ ...state, epochHistory: heights }), (one) =>
      dispatchToForwarding(one, {
        kind: 'leaseHoldersChanged',
        now,
        leaseHolders: is.nodeSession.holders,
      }),
    );
  }
  if (was.nodeSession.origins !== is.nodeSession.origins) {
    for (const name of state.activeLeaders.values())
      next = andThen(next, (one) =>
        dispatchToLeader(one, name, {
          kind: 'originsUpdated',
          now,
          origins: is.nodeSession.origins,
        }),
      );
    const up = new Set(
      [...is.nodeSession.origins.values()]
        .filter((one) => isLiveOrigin(one, now))
        .map((one) => one.instance),
    );
    next = andThen(next, (one) => transition(one, { kind: 'setLiveOrigins', liveInstances: up }));
  }
  if (was.canaryResults !== is.canaryResults) {
    for (const name of state.activeLeaders.values())
      next = andThen(next, (one) =>
        dispatchToLeader(one, name, {
          kind: 'canaryResultsUpdated',
          now,
          canaryResults: is.canaryResults,
        }),
      );
  }
  return next;
};

const dispatchToNodeAgent = (
  state: ProxyState,
  event: Parameters<typeof nodeAgentTransition>[1],
): ProxyTransition => {
  const done = nodeAgentTransition(state.nodeAgent, event);
  let next: ProxyTransition = transition({ ...state, nodeAgent: done.state });
  for (const effect of done.effects)
    next = andThen(next, (one) => onNodeAgentEffect(one, effect, event.now));
  return andThen(next, (one) => propagateChanges(state, one, event.now));
};

const onTick = (state: ProxyState, now: Timestamp): ProxyTransition => {
  let next = dispatchToNodeAgent(state, { kind: 'tick', now });
  for (const [name, keeper] of next.state.leaders) {
    if (!keeper.isClosing)
      next = andThen(next, (one) =>
        dispatchToLeader(one, name, {
          kind: 'originsUpdated',
          now,
          origins: one.nodeAgent.nodeSession.origins,
        }),
      );
    next = andThen(next, (one) => dispatchToLeader(one, name, { kind: 'tick', now }));
  }
  next = andThen(next, (one) => dispatchToForwarding(one, { kind: 'tick', now }));
  return next.state.forwarding.requests.size === 0 || acceptsRequests(next.state.nodeAgent, now)
    ? next
    : andThen(next, (one) => dispatchToForwarding(one, { kind: 'nodeDisconnected', now }));
};

const onInboundRequest = (
  state: ProxyState,
  event: Extract<ProxyEvent, { kind: 'inboundRequestArrived' }>,
): ProxyTransition => {
  const { request, now } = event;
  const name = state.activeLeaders.get(request.service);
  const keeper = name === undefined ? undefined : state.leaders.get(name);
  const moved = {
    kind: 'rejectRequest' as const,
    leader: '',
    requestId: request.id,
    errorKind: 'rejected' as const,
    text: 'not the keeper',
    retryMs: 0,
    leaderMoved: true,
  };
  if (name === undefined || keeper === undefined || request.epoch > keeper.epoch)
    return transition(state, moved);
  return dispatchToLeader(state, name, {
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
  event: Extract<ProxyEvent, { kind: 'inboundRequestCancelled' }>,
): ProxyTransition => {
  let next: ProxyTransition = transition(state);
  for (const name of state.leaders.keys())
    next = andThen(next, (one) =>
      dispatchToLeader(one, name, { kind: 'requestCancelled', now: event.now, id: event.id }),
    );
  return next;
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
    case 'requestAccepted':
      return dispatchToForwarding(state, event);
    case 'inboundRequestArrived':
      return onInboundRequest(state, event);
    case 'inboundRequestCancelled':
      return onInboundCancelled(state, event);
    case 'streamingStarted':
      return dispatchToLeader(state, event.leader, {
        kind: 'streamingStarted',
        now: event.now,
        attemptId: event.attemptId,
      });
    case 'attemptEnded':
      return dispatchToLeader(state, event.leader, {
        kind: 'attemptEnded',
        now: event.now,
        attemptId: event.attemptId,
        outcome: event.outcome,
        durationMs: event.durationMs,
      });
    case 'healthChecked': {
      const name = state.activeLeaders.get(event.service);
      return name === undefined
        ? transition(state)
        : dispatchToLeader(state, name, {
            kind: 'healthChecked',
            now: event.now,
            instance: event.instance,
            isHealthy: event.isHealthy,
            durationMs: event.durationMs,
          });
    }
    case 'responseStarted':
    case 'attemptStarted':
    case 'requestRejected':
    case 'responseCompleted':
    case 'requestCancelled':
    case 'channelLost':
      return dispatchToForwarding(state, event);
  }
};

/** A process that did nothing for so long slept, was stopped, or was held up. */
const stallThresholdMs = 1500;
const noteActivity = (state: ProxyState, now: Timestamp): ProxyState => ({
  ...state,
  lastActedAt: now,
  lastWokeAt:
    state.lastActedAt > clockOrigin && now - state.lastActedAt > stallThresholdMs
      ? now
      : state.lastWokeAt,
});

/** The proxy: one function for every change of its state. */
export const proxyTransition = (state: ProxyState, event: ProxyEvent): ProxyTransition =>
  andThen(closeExpiredLeaders(noteActivity(state, event.now), event.now), (one) =>
    handleEvent(one, event),
  );
