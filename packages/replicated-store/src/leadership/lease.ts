/**
 * The primary's lease as a store sees it: votes are counted, a lease that was won is served, and the end of
 * one ends all that was under way. How votes are requested and counted is the election package's business.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { type FrameOf, log } from '@switchwheel/transport';
import { countVote, heldEpoch } from '@switchwheel/election';
import { electionContext } from './candidacy.js';
import { endLeadership } from './hand-over.js';
import { onElected } from '../log-write/primary-write.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Follows a change of the stand: a win is served, a loss ends all that was under way. */
export const onCandidateTransition = (
  before: StoreState,
  after: StoreState,
  now: Timestamp,
): StoreTransition => {
  const was = before.candidate.phase.phase;
  const is = after.candidate.phase.phase;
  if (was === 'requestingVotes' && is === 'holdingLease')
    return prependEffects(
      [log('info', 'won the duty', ['epoch', heldEpoch(after.candidate)])],
      onElected(after, now),
    );
  if ((was === 'requestingVotes' || was === 'holdingLease') && is === 'idle') {
    const ended = endLeadership(after);
    return prependEffects(was === 'holdingLease' ? [log('warn', 'the duty is over')] : [], ended);
  }
  return transition(after);
};

export const onVote = (
  state: StoreState,
  vote: FrameOf<'vote'>,
  now: Timestamp,
): StoreTransition => {
  if (state.metadata === undefined) return transition(state);
  const nodeSession =
    vote.electorate === undefined ||
    (state.session.electorate !== undefined &&
      state.session.electorate.serial >= vote.electorate.serial)
      ? state.session
      : { ...state.session, electorate: vote.electorate };
  const base = { ...state, session: nodeSession };
  return onCandidateTransition(
    base,
    {
      ...base,
      candidate: countVote(base.candidate, electionContext(base, state.metadata, now), vote, now),
    },
    now,
  );
};
