/**
 * Control side of a node: its session with a registry, its configuration, its purges and, on a
 * shield, its candidacies for service leases. This module dispatches events to the modules beside
 * it.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { type CanaryResult, type Frame, type Peer, log } from '@switchwheel/transport';
import { applyMemberList, onRegistryLost, tickSession } from '@switchwheel/membership';
import { onChunk, onCompileFailed, onConfigurationCompiled, retryFetch } from './config-update.js';
import { heartbeatContent, sendHeartbeatNow } from './heartbeat.js';
import { onHeartbeatReply } from './heartbeat-reply.js';
import { onVote, tickCandidacies } from './leader-candidacy.js';
import { handOverLeases, onHandover } from './lease-handover.js';
import type { AgentTransition, NodeAgent, NodeAgentEvent } from './state.js';

const onTick = (state: NodeAgent, now: Timestamp): AgentTransition => {
  const session = tickSession(state.nodeSession, heartbeatContent(state, now), now);
  const askedRegistry = state.nodeSession.registryLink?.address;
  const fetched = retryFetch({ ...state, nodeSession: session.state }, askedRegistry, now);
  return prependEffects(
    [...session.effects, ...fetched.effects],
    tickCandidacies(fetched.state, now),
  );
};

const withCanaryResult = (state: NodeAgent, result: CanaryResult): NodeAgent => {
  const others = state.canaryResults.filter(
    (known) => known.service !== result.service || known.release !== result.release,
  );
  return { ...state, canaryResults: [...others, result] };
};

const onFrame = (state: NodeAgent, from: Peer, frame: Frame, now: Timestamp): AgentTransition => {
  switch (frame.kind) {
    case 'heartbeat-reply':
      return onHeartbeatReply(state, from, frame, now);
    case 'member-list': {
      const nodeSession = applyMemberList(state.nodeSession, from, frame, now);
      return transition({ ...state, nodeSession });
    }
    case 'piece':
      return onChunk(state, frame, now);
    case 'vote':
      return onVote(state, frame, now);
    case 'handover':
      return onHandover(state, frame, now);
    case 'tried':
      return transition(withCanaryResult(state, frame.verdict));
    // Handled by the router of a direct edge.
    case 'object-request':
    case 'object':
    case 'object-status':
      return transition(state);
    default:
      return transition(
        state,
        log('warn', 'unexpected frame ignored', ['frame', frame.kind], ['from', from.node]),
      );
  }
};

/** Hands over the held leases and sends a last heartbeat. */
const onStopRequested = (state: NodeAgent, now: Timestamp): AgentTransition => {
  const handedOver = handOverLeases({ ...state, isStopping: true }, now);
  return prependEffects(
    handedOver.effects,
    sendHeartbeatNow(handedOver.state, now, { isLeaving: true }),
  );
};

/** Reducer of a node agent; the only place where its state changes. */
export const nodeAgentTransition = (state: NodeAgent, event: NodeAgentEvent): AgentTransition => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frameReceived':
      return onFrame(state, event.from, event.frame, event.now);
    case 'peerDisconnected': {
      const nodeSession = onRegistryLost(state.nodeSession, event.address, event.now);
      return transition({ ...state, nodeSession });
    }
    case 'configurationCompiled':
      return onConfigurationCompiled(state, event);
    case 'compileFailed':
      return onCompileFailed(state, event);
    case 'stopRequested':
      return onStopRequested(state, event.now);
  }
};
