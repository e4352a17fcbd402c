/**
 * Periodic work of a registry: renews its subscription, gossips, proposes a cluster, sends member
 * lists, and resends or times out pending operations. The order of the tasks is the order of their
 * effects.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { send } from '@switchwheel/transport';
import { abstentionEnd } from '@switchwheel/election';
import { proposeCluster } from './cluster-bootstrap.js';
import { tickDepartures } from './departures.js';
import { gossipFrame, sendMemberList } from './messages.js';
import { pushToNodes, vacantLeases } from './node-sessions.js';
import { tickPendingCommands } from './operator-commands.js';
import { subscribe } from './primary-feed.js';
import { isAlive, peerAddresses } from './queries.js';
import { forgetExpired } from './retention.js';
import type { RegistryState, RegistryTransition } from './state.js';

const gossipIntervalMs = 300;
const subscribeIntervalMs = 250;
/** Interval between periodic member lists, which also keep nodes' origins from timing out. */
const memberListIntervalMs = 1000;

const subscribeIfDue = (state: RegistryState, now: Timestamp): RegistryTransition =>
  now - state.subscribedAt >= subscribeIntervalMs ? subscribe(state, now) : transition(state);

/** Whether the voter's abstention ended after the last gossip: then peers are asked at once for their grant records. */
const abstentionHasEnded = (state: RegistryState, now: Timestamp): boolean =>
  state.voter.isRecovering &&
  now >= abstentionEnd(state.voter) &&
  state.gossipedAt < abstentionEnd(state.voter);

const gossipIfDue = (state: RegistryState, now: Timestamp): RegistryTransition => {
  if (now - state.gossipedAt < gossipIntervalMs && !abstentionHasEnded(state, now))
    return transition(state);
  const frame = gossipFrame(state, now);
  return transition(
    { ...forgetExpired(state, now), gossipedAt: now },
    ...peerAddresses(state, now).map((peer) => send(peer, frame)),
  );
};

/** Pushes newly vacant leases to the nodes at once, so that candidates can take them over. */
const announceVacantLeases = (state: RegistryState, now: Timestamp): RegistryTransition => {
  const vacant = new Set(vacantLeases(state, now));
  const hasNewlyVacant = [...vacant].some((lease) => !state.vacantLeases.has(lease));
  if (!hasNewlyVacant && vacant.size === state.vacantLeases.size) return transition(state);
  const next = { ...state, vacantLeases: vacant };
  return hasNewlyVacant ? pushToNodes(next, next.feed.latestPurge, now) : transition(next);
};

const sendMemberListIfDue = (state: RegistryState, now: Timestamp): RegistryTransition => {
  if (now - state.memberListSentAt < memberListIntervalMs) return transition(state);
  const ownNodes = [...state.sessions.values()].filter(
    (session) =>
      isAlive(session, now) &&
      session.member.role !== 'registry' &&
      session.registry === state.member.node,
  );
  const addresses = ownNodes.map((session) => session.member.address);
  return transition({ ...state, memberListSentAt: now }, ...sendMemberList(state, addresses, now));
};

const tasks: readonly ((state: RegistryState, now: Timestamp) => RegistryTransition)[] = [
  subscribeIfDue,
  gossipIfDue,
  announceVacantLeases,
  proposeCluster,
  sendMemberListIfDue,
  tickDepartures,
  tickPendingCommands,
];

/** Handles a tick: runs every periodic task in order. */
export const onTick = (state: RegistryState, now: Timestamp): RegistryTransition =>
  tasks.reduce<RegistryTransition>(
    (done, task) => prependEffects(done.effects, task(done.state, now)),
    transition(state),
  );
