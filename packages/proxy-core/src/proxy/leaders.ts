/**
 * Service leaders of a shield: one is created when the shield acquires a service's lease, and
 * closed when the lease ends. Their effects are converted into those of the proxy.
 */

import {
  type ServiceName,
  type Timestamp,
  primaryLease,
  serviceLeaseOf,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { type FrameOf, log, send } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { isIdle, serviceLeaderTransition } from '../service-leader/service-leader.js';
import {
  type ServiceLeader,
  type ServiceLeaderEffect,
  type ServiceLeaderEvent,
  newServiceLeader,
} from '../service-leader/state.js';
import { andThen } from './and-then.js';
import { recentHolderCount } from './epoch-history.js';
import type { ProxyEffect, ProxyState, ProxyTransition } from './state.js';

type ReportCanary = Extract<ServiceLeaderEffect, { kind: 'reportCanary' }>;

/**
 * Sends a canary report to the primary. Without a known primary nothing is sent: the leader repeats
 * the report.
 */
const reportCanary = (state: ProxyState, report: ReportCanary): readonly ProxyEffect[] => {
  const { nodeSession } = state.nodeAgent;
  const primary = nodeSession.leaseHolders.get(primaryLease);
  if (primary === undefined) return [];
  const { service, release, failures } = report;
  const frame: FrameOf<'trial'> = {
    kind: 'trial',
    service,
    release,
    spent: report.reservedRequests,
    bad: failures,
    good: report.successes,
    seen: report.traffic,
    state: report.state,
    at: nodeSession.heartbeatSentAt,
    node: nodeSession.member.node,
  };
  const message = send(primary.address, frame);
  if (report.state !== 'bad') return [message];
  return [
    message,
    log(
      'error',
      'canary rejected',
      ['service', service],
      ['release', release],
      ['failures', failures],
    ),
  ];
};

const toProxyEffects = (
  state: ProxyState,
  leader: string,
  effect: ServiceLeaderEffect,
): readonly ProxyEffect[] => {
  switch (effect.kind) {
    case 'reportEjection':
      return [
        log('warn', 'endpoint ejected', ['instance', effect.instance], ['reason', effect.text]),
      ];
    case 'checkHealth':
      return [effect];
    case 'reportCanary':
      return reportCanary(state, effect);
    default:
      return [{ ...effect, leader }];
  }
};

/**
 * Dispatches an event to a leader, if it still exists. A closing leader without attempts is
 * removed.
 */
export const dispatchToLeader = (
  state: ProxyState,
  key: string,
  event: ServiceLeaderEvent,
): ProxyTransition => {
  const leader = state.leaders.get(key);
  if (leader === undefined) return transition(state);
  const result = serviceLeaderTransition(leader, event);
  const isFinished = result.state.isClosing && isIdle(result.state);
  const next = {
    ...state,
    leaders: isFinished
      ? withoutEntry(state.leaders, key)
      : withEntry(state.leaders, key, result.state),
  };
  return transition(next, ...result.effects.flatMap((effect) => toProxyEffects(next, key, effect)));
};

/** Dispatches an event to the leader of each service that this node leads. */
export const dispatchToActiveLeaders = (
  state: ProxyState,
  event: ServiceLeaderEvent,
): ProxyTransition => {
  let next: ProxyTransition = transition(state);
  for (const key of state.activeLeaders.values())
    next = andThen(next, (current) => dispatchToLeader(current, key, event));
  return next;
};

const holdsLeaseOf = (
  state: ProxyState,
  service: ServiceName,
  leader: ServiceLeader | undefined,
  now: Timestamp,
): boolean => {
  const candidate = state.nodeAgent.candidates.get(service);
  return (
    candidate !== undefined &&
    leader !== undefined &&
    holdsLease(candidate, now) &&
    heldEpoch(candidate) === leader.epoch
  );
};

/**
 * Closes the leaders whose lease has ended. It is called before each event is handled, so that a
 * process that was suspended past its lease starts no attempt.
 */
export const closeExpiredLeaders = (state: ProxyState, now: Timestamp): ProxyTransition => {
  let next: ProxyTransition = transition(state);
  for (const [service, key] of state.activeLeaders) {
    if (holdsLeaseOf(state, service, state.leaders.get(key), now)) continue;
    next = andThen(next, (current) => {
      const activeLeaders = withoutEntry(current.activeLeaders, service);
      const event: ServiceLeaderEvent = { kind: 'leadershipEnded', now };
      return dispatchToLeader({ ...current, activeLeaders }, key, event);
    });
  }
  return next;
};

/**
 * Creates the leader of a service whose lease was acquired, and passes it the known canary results
 * and origins.
 */
export const openLeader = (
  state: ProxyState,
  service: ServiceName,
  epoch: ServiceLeader['epoch'],
  now: Timestamp,
): ProxyTransition => {
  const configuration = state.nodeAgent.compiledConfiguration;
  const serviceConfiguration = configuration?.services.get(service);
  if (configuration === undefined || serviceConfiguration === undefined) return transition(state);
  const key = `${service}#${epoch}`;
  const leader = newServiceLeader(
    service,
    epoch,
    serviceConfiguration,
    configuration.classesByService.get(service) ?? new Map(),
    now,
    recentHolderCount(state.epochHistory, serviceLeaseOf(service), epoch, now),
  );
  const opened: ProxyTransition = transition(
    {
      ...state,
      leaders: withEntry(state.leaders, key, leader),
      activeLeaders: withEntry(state.activeLeaders, service, key),
    },
    log('info', 'service lease acquired', ['service', service], ['epoch', epoch]),
  );
  const { canaryResults } = state.nodeAgent;
  const { origins } = state.nodeAgent.nodeSession;
  const withResults = andThen(opened, (current) =>
    dispatchToLeader(current, key, { kind: 'canaryResultsUpdated', now, canaryResults }),
  );
  return andThen(withResults, (current) =>
    dispatchToLeader(current, key, { kind: 'originsUpdated', now, origins }),
  );
};
