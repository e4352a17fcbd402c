/**
 * Lease of the primary at a store: applies votes and ticks to the candidacy, starts leadership when the lease is
 * acquired and ends it when the lease is lost. The election package requests and counts the votes.
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

/** Starts or ends leadership after a change of the candidate's phase. */
const onCandidateTransition = (
  before: StoreState,
  after: StoreState,
  now: Timestamp,
): StoreTransition => {
  const phaseBefore = before.candidate.phase.phase;
  const phaseAfter = after.candidate.phase.phase;
  if (phaseBefore === 'requestingVotes' && phaseAfter === 'holdingLease')
    return prependEffects(
      [log('info', 'primary lease acquired', ['epoch', heldEpoch(after.candidate)])],
      onElected(after, now),
    );
  if (
    (phaseBefore === 'requestingVotes' || phaseBefore === 'holdingLease') &&
    phaseAfter === 'idle'
  )
    return prependEffects(
      phaseBefore === 'holdingLease' ? [log('warn', 'primary lease lost')] : [],
      endLeadership(after),
    );
  return transition(after);
};

/** Session with the newer electorate of its own and the given one. */
const withElectorate = (session: NodeSession, electorate: Electorate | undefined): NodeSession =>
  electorate === undefined ||
  (session.electorate !== undefined && session.electorate.serial >= electorate.serial)
    ? session
    : { ...session, electorate };

/** Applies a voter's reply to a vote request or renewal. */
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

/** Campaigns for, renews or drops the lease as time passes; only for a member of a fleet. */
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
