/**
 * The registry as a state machine: dispatches every event to its handler. Handlers are pure and
 * return effects.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { type Frame, type FrameOf, type Peer, log } from '@switchwheel/transport';
import { departureRank, learnOrigins } from '../origins/origins.js';
import { onChunk, onNodeChunkRequest, onStoreChunkRequest } from './chunk-exchange.js';
import { onBootstrapped } from './cluster-bootstrap.js';
import { onDeparture, onDepartureAck } from './departures.js';
import { inSyncHints, learnHint } from './disk-hints.js';
import type { RegistryEvent } from './event.js';
import { onExternalRequest } from './external-requests.js';
import { onGossip } from './gossip.js';
import { broadcastTargets, sendMemberList } from './messages.js';
import { onHeartbeat } from './node-sessions.js';
import { onCommandResult } from './operator-commands.js';
import { onFeed, subscribe } from './primary-feed.js';
import { primaryHolder } from './queries.js';
import type { RegistryState, RegistryTransition } from './state.js';
import { onTick } from './tick.js';
import { onVoteRequest } from './voting.js';

/**
 * Records a store's disk hint and merges the origins that it lists: departures always, as they are final; live origins
 * only if no departure of them can be missing from that disk.
 */
const onHint = (
  state: RegistryState,
  hint: FrameOf<'hint'>,
  now: Timestamp,
): RegistryTransition => {
  const withHint = learnHint(state, hint, now);
  if (state.fleet !== undefined && state.fleet !== hint.metadata.fleet) return transition(withHint);
  const isComplete = inSyncHints(withHint, now).some(({ node }) => node === hint.node);
  const origins = hint.origins.filter(
    (origin) => isComplete || departureRank(origin.state) > departureRank('up'),
  );
  const learned = learnOrigins(withHint.origins, origins, now);
  const next = { ...withHint, origins: learned.origins };
  return transition(
    next,
    ...(learned.hasChanged ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};

const onFrame = (
  state: RegistryState,
  from: Peer,
  frame: Frame,
  now: Timestamp,
): RegistryTransition => {
  switch (frame.kind) {
    case 'heartbeat':
      return onHeartbeat(state, from, frame, now);
    case 'vote-request':
      return onVoteRequest(state, from, frame, now);
    case 'gossip':
      return onGossip(state, frame, now);
    case 'departure':
      return onDeparture(state, from, frame, now);
    case 'departure-ack':
      return onDepartureAck(state, frame, now);
    case 'feed':
      return onFeed(state, frame, now);
    case 'piece-request':
      return primaryHolder(state)?.node === frame.node
        ? onStoreChunkRequest(state, frame, from.address)
        : onNodeChunkRequest(state, from, frame, now);
    case 'piece':
      return onChunk(state, frame, now);
    case 'called':
      return onCommandResult(state, frame, now);
    case 'bootstrapped':
      return onBootstrapped(state, frame);
    case 'hint':
      return onHint(state, frame, now);
    default:
      return transition(
        state,
        log('warn', 'unexpected frame ignored', ['frame', frame.kind], ['from', from.node]),
      );
  }
};

/** Handles an event: returns the registry's next state and the effects to run. */
export const registryTransition = (
  state: RegistryState,
  event: RegistryEvent,
): RegistryTransition => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frameReceived':
      return onFrame(state, event.from, event.frame, event.now);
    case 'peerDisconnected':
      // A node may reconnect: its session ends by missing heartbeats, not with its connection.
      return transition(state);
    case 'requestReceived':
      return onExternalRequest(state, event.correlationId, event.request, event.now);
    case 'stopRequested':
      // The subscription tells the primary at once that this registry's voter is leaving.
      return subscribe({ ...state, isStopping: true }, event.now);
  }
};
