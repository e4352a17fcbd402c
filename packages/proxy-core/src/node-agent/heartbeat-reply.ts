/**
 * Handling of heartbeat replies: members, purges, rollout states, canary results, vacant leases and
 * the offered configuration.
 */

import {
  type Timestamp,
  noGeneration,
  prependEffects,
  toTimestamp,
  transition,
} from '@switchwheel/types';
import type { FrameOf, Peer, RolloutState } from '@switchwheel/transport';
import { applyHeartbeatReply } from '@switchwheel/membership';
import { updateConfigFreshness } from './config-freshness.js';
import { onOffer } from './config-update.js';
import type { AgentTransition, NodeAgent } from './state.js';
import { applyVacantLeases } from './vacant-leases.js';

type HeartbeatReply = FrameOf<'heartbeat-reply'>;

/**
 * Applies the purges after the last applied one. If some are missing, the cache is flushed when the
 * registry no longer has them or this node has applied none yet; otherwise the next reply is
 * awaited.
 */
const applyPurges = (state: NodeAgent, { top, floor, purges }: HeartbeatReply): AgentTransition => {
  if (top <= state.lastPurgeSeq) return transition(state);
  const newPurges = purges
    .filter((purge) => purge.seq > state.lastPurgeSeq)
    .sort((left, right) => left.seq - right.seq);
  const isComplete =
    newPurges[0]?.seq === state.lastPurgeSeq + 1 && newPurges.length === top - state.lastPurgeSeq;
  const next = { ...state, lastPurgeSeq: top };
  if (isComplete)
    return transition(next, {
      kind: 'purgeCache',
      purges: newPurges,
      flush: false,
      lastPurgeSeq: top,
    });
  const hasMissedPurges = state.lastPurgeSeq + 1 < floor;
  if (hasMissedPurges || state.lastPurgeSeq === 0)
    return transition(next, { kind: 'purgeCache', purges: [], flush: true, lastPurgeSeq: top });
  return transition(state);
};

/** Merges rollout states by service; the highest serial wins, whichever registry sent it. */
const mergeReleaseStates = (
  previous: NodeAgent['releaseStates'],
  received: readonly RolloutState[],
): NodeAgent['releaseStates'] => {
  const newerStates = received.filter(
    (rollout) => rollout.serial >= (previous.get(rollout.service)?.serial ?? 0),
  );
  return newerStates.length === 0
    ? previous
    : new Map([...previous, ...newerStates.map((rollout) => [rollout.service, rollout] as const)]);
};

/**
 * Records the time up to which all purges are applied; only the node's own registry can confirm it.
 */
const updatePurgesCurrent = (
  state: NodeAgent,
  reply: HeartbeatReply,
  isOwnRegistry: boolean,
): NodeAgent => {
  if (reply.age === undefined || reply.at <= 0 || state.lastPurgeSeq < reply.top || !isOwnRegistry)
    return state;
  const asOf = toTimestamp(reply.at - reply.age);
  return state.purgesCurrentAsOf === undefined || asOf > state.purgesCurrentAsOf
    ? { ...state, purgesCurrentAsOf: asOf }
    : state;
};

const applyReply = (
  state: NodeAgent,
  from: Peer,
  reply: HeartbeatReply,
  now: Timestamp,
): NodeAgent => {
  const nodeSession = applyHeartbeatReply(state.nodeSession, from, reply, now);
  // A reply without an age comes from a registry without recent contact to the primary.
  const isFromPrimary = reply.age !== undefined;
  return {
    ...applyVacantLeases({ ...state, nodeSession }, reply, now),
    canaryResults: isFromPrimary ? reply.verdicts : state.canaryResults,
    configFreshness: updateConfigFreshness(
      state.configFreshness,
      reply,
      state.compiledConfiguration?.generation ?? noGeneration,
      now,
    ),
    releaseStates: mergeReleaseStates(state.releaseStates, reply.releases),
    releaseStatesAt: isFromPrimary ? now : state.releaseStatesAt,
  };
};

/** Handles the reply to a heartbeat. */
export const onHeartbeatReply = (
  before: NodeAgent,
  from: Peer,
  reply: HeartbeatReply,
  now: Timestamp,
): AgentTransition => {
  // A later time is one of before the restart of this machine and its clock: the reply is for an earlier process.
  if (reply.at > now) return transition(before);
  const purged = applyPurges(applyReply(before, from, reply, now), reply);
  const isOwnRegistry = before.nodeSession.registryLink?.address === from.address;
  const state = updatePurgesCurrent(purged.state, reply, isOwnRegistry);
  return prependEffects(
    purged.effects,
    reply.offer === undefined ? transition(state) : onOffer(state, reply.offer, now),
  );
};
