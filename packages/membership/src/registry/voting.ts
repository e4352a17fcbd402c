/**
 * This registry as a voter for leases: it answers candidates and takes a renewal as the statement
 * of the lease's holder. The voter's own rules are the election package's.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, send } from '@switchwheel/transport';
import { handleVoteRequest } from '@switchwheel/election';
import { learnHolder } from '../session/node-session.js';
import { broadcast } from './messages.js';
import type { RegistryState, RegistryTransition } from './state.js';

/** Answers a candidate, and spreads the holder that a granted renewal names. */
export const onVoteRequest = (
  state: RegistryState,
  from: Peer,
  request: FrameOf<'vote-request'>,
  now: Timestamp,
): RegistryTransition => {
  const [voter, ballot] = handleVoteRequest(state.voter, request, now);
  const voted: RegistryState = {
    ...state,
    voter,
    fleet: voter.fleet ?? state.fleet,
    electorate: voter.electorate ?? state.electorate,
  };
  const answer = send(from.address, ballot);
  // Only a candidate that won the lease renews it, so a renewal names the holder.
  const isHolder = request.renew && !request.stepDown && ballot.granted;
  if (!isHolder || request.held === undefined) return transition(voted, answer);
  const holders = learnHolder(voted.holders, request.held);
  if (holders === voted.holders) return transition(voted, answer);
  const next = { ...voted, holders };
  return transition(next, answer, ...broadcast(next, now));
};
