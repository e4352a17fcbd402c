/**
 * Planned handover of service leases: a stopping shield resigns its leases, and the next shield in
 * the leadership order starts an election at once.
 */

import {
  type Timestamp,
  prependEffects,
  serviceLeaseOf,
  transition,
  withEntry,
} from '@switchwheel/types';
import { type FrameOf, type ProcessEffect, send } from '@switchwheel/transport';
import {
  type Candidate,
  heldEpoch,
  holdsLease,
  observeEpoch,
  stepDown,
  tickCandidate,
} from '@switchwheel/election';
import { leadershipOrder, shieldMembers } from './leadership-order.js';
import { candidateOf, electionContext } from './service-lease.js';
import type { AgentTransition, NodeAgent } from './state.js';

/** Time during which a stopping shield starts no further election; longer than a shutdown takes. */
const stoppedPauseMs = 60_000;

const handoverMessage = (
  successor: { readonly address: Parameters<typeof send>[0] } | undefined,
  candidate: Candidate,
): readonly ProcessEffect[] =>
  successor === undefined
    ? []
    : [
        send(successor.address, {
          kind: 'handover',
          duty: candidate.leaseName,
          epoch: heldEpoch(candidate),
        }),
      ];

/** Resigns every held lease and notifies the next shield in its leadership order. */
export const handOverLeases = (state: NodeAgent, now: Timestamp): AgentTransition => {
  const self = state.nodeSession.member.node;
  let next: AgentTransition = transition(state);
  for (const [service, candidate] of state.candidates) {
    if (!holdsLease(candidate, now)) continue;
    const successor = leadershipOrder(service, shieldMembers(state)).find(
      (shield) => shield.node !== self,
    );
    const resigned = stepDown(candidate, electionContext(state, service), now, stoppedPauseMs);
    const candidates = withEntry(next.state.candidates, service, resigned.state);
    next = prependEffects(
      [...next.effects, ...resigned.effects, ...handoverMessage(successor, candidate)],
      transition({ ...next.state, candidates }, { kind: 'stopLeading' as const, service }),
    );
  }
  return next;
};

/**
 * Handles the handover of a service lease by a stopping shield: starts an election for it at once.
 */
export const onHandover = (
  state: NodeAgent,
  handover: FrameOf<'handover'>,
  now: Timestamp,
): AgentTransition => {
  const services = [...(state.compiledConfiguration?.services.keys() ?? [])];
  const service = services.find((name) => serviceLeaseOf(name) === handover.duty);
  const context = service === undefined ? undefined : electionContext(state, service);
  if (service === undefined || context === undefined || state.isStopping) return transition(state);
  const candidate = observeEpoch(candidateOf(state, service), handover.epoch);
  const ticked = tickCandidate(candidate, context, true, state.randomState, now);
  return transition(
    {
      ...state,
      randomState: ticked.state.randomState,
      vacantSince: withEntry(state.vacantSince, handover.duty, now),
      candidates: withEntry(state.candidates, service, ticked.state.candidate),
    },
    ...ticked.effects,
  );
};
