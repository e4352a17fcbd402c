/**
 * This registry as a voter for leases: replies to vote requests, and learns lease holders from
 * granted renewals. The election package implements the voting rules.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, send } from '@switchwheel/transport';
import { handleVoteRequest } from '@switchwheel/election';
import { learnHolder } from '../session/node-session.js';
import { broadcast } from './messages.js';
import type { RegistryState, RegistryTransition } from './state.js';

/** Handles a candidate's vote request: replies, and broadcasts a new holder that a granted renewal names. */
export const onVoteRequest = (
  state: RegistryState,
  from: Peer,
  request: FrameOf<'vote-request'>,
  now: Timestamp,
): RegistryTransition => {
  const [voter, vote] = handleVoteRequest(state.voter, request, now);
  const withVote: RegistryState = {
    ...state,
    voter,
    fleet: voter.fleet ?? state.fleet,
    electorate: voter.electorate ?? state.electorate,
  };
  const voteReply = send(from.address, vote);
  // Only a candidate that won the lease renews it, so a renewal names the holder.
  const isHolder = request.renew && !request.stepDown && vote.granted;
  if (!isHolder || request.held === undefined) return transition(withVote, voteReply);
  const holders = learnHolder(withVote.holders, request.held);
  if (holders === withVote.holders) return transition(withVote, voteReply);
  const next = { ...withVote, holders };
  return transition(next, voteReply, ...broadcast(next, now));
};
