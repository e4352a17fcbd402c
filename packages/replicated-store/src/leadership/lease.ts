/**
 * The primary's lease as a store sees it: votes are counted, a lease that was won is served, and the end of
 * one ends all that was under way. How votes are requested and counted is the election package's business.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { type Electorate, type FrameOf, log } from '@switchwheel/transport';
import { countVote, heldEpoch, observeEpoch, tickCandidate } from '@switchwheel/election';
import { type NodeSession, highestEpoch } from '@switchwheel/membership';
import { chooseBackups, electionContext, wantsElection } from './candidacy.js';
import { endLeadership } from './hand-over.js';
import { onElected } from '../log-write/epoch-metadata.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Follows a change of the candidate: a lease that was won is served, the end of one ends all that was under way. */
const onCandidateTransition = (
  before: StoreState,
  after: StoreState,
  now: Timestamp,
): StoreTransition => {
  const was = before.candidate.phase.phase;
  const is = after.candidate.phase.phase;
  if (was === 'requestingVotes' && is === 'holdingLease')
    return prependEffects(
      [log('info', 'primary lease acquired', ['epoch', heldEpoch(after.candidate)])],
      onElected(after, now),
    );
  if ((was === 'requestingVotes' || was === 'holdingLease') && is === 'idle')
    return prependEffects(
      was === 'holdingLease' ? [log('warn', 'primary lease lost')] : [],
      endLeadership(after),
    );
  return transition(after);
};

/** The session with the newest electorate that is known. */
const withElectorate = (session: NodeSession, electorate: Electorate | undefined): NodeSession =>
  electorate === undefined ||
  (session.electorate !== undefined && session.electorate.serial >= electorate.serial)
    ? session
    : { ...session, electorate };

/** A voter answers a request for the lease, or for its renewal. */
export const onVote = (
  state: StoreState,
  vote: FrameOf<'vote'>,
  now: Timestamp,
): StoreTransition => {
  const { metadata } = state;
  if (metadata === undefined) return transition(state);
  const before: StoreState = { ...state, session: withElectorate(state.session, vote.electorate) };
  const context = electionContext(before, metadata, now);
  const candidate = countVote(before.candidate, context, vote, now);
  return onCandidateTransition(before, { ...before, candidate }, now);
};

/** Requests, renews or gives up the lease as time passes; a store without a fleet does not. */
export const tickLease = (state: StoreState, now: Timestamp): StoreTransition => {
  const { metadata } = state;
  if (metadata === undefined || state.phase !== 'member') return transition(state);
  const before: StoreState =
    state.candidate.phase.phase === 'idle'
      ? { ...state, candidate: { ...state.candidate, inSyncSet: chooseBackups(state, now) } }
      : state;
  const ticked = tickCandidate(
    observeEpoch(before.candidate, highestEpoch(before.session, before.candidate.leaseName)),
    electionContext(before, metadata, now),
    wantsElection(before, now),
    before.randomState,
    now,
  );
  const { candidate, randomState } = ticked.state;
  return prependEffects(
    ticked.effects,
    onCandidateTransition(before, { ...before, candidate, randomState }, now),
  );
};
