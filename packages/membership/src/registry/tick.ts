/**
 * What a registry does as time passes: it subscribes, gossips, proposes a cluster, sends member
 * lists, and resends or ends what waits. The order of the parts is the order of their effects.
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
/** How often nodes get the member list without news: an origin that nobody reports counts as silent. */
const memberListIntervalMs = 1000;

const subscribeIfDue = (state: RegistryState, now: Timestamp): RegistryTransition =>
  now - state.subscribedAt >= subscribeIntervalMs ? subscribe(state, now) : transition(state);

/** Whether the voter's abstention has just ended: peers are asked at once for what they remember. */
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

/** Nodes that may take a lease over hear at once that it is vacant. */
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

const parts: readonly ((state: RegistryState, now: Timestamp) => RegistryTransition)[] = [
  subscribeIfDue,
  gossipIfDue,
  announceVacantLeases,
  proposeCluster,
  sendMemberListIfDue,
  tickDepartures,
  tickPendingCommands,
];

/** Lets time pass: every periodic part in turn. */
export const onTick = (state: RegistryState, now: Timestamp): RegistryTransition =>
  parts.reduce<RegistryTransition>(
    (done, part) => prependEffects(done.effects, part(done.state, now)),
    transition(state),
  );
