/**
 * Bootstrap of a new cluster: an operator's request names its stores and voters, or registries propose
 * the one in their settings. Each store that agrees records the cluster on its disk.
 */

import {
  type NodeId,
  type Timestamp,
  noSeq,
  toCommandId,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { type FrameOf, type Member, send } from '@switchwheel/transport';
import { type ExternalRequest, type RegistryEffect, reply } from './event.js';
import { isAlive } from './queries.js';
import type { RegistryState, RegistryTransition } from './state.js';

/** Time within which all stores must agree. */
const bootstrapTimeoutMs = 3000;
const proposeIntervalMs = 300;
/** Time after its start for which a registry proposes a cluster; later, a store may have lost its disk and return empty. */
const proposeWindowMs = 30_000;

type BootstrapRequest = Extract<ExternalRequest, { verb: 'bootstrap' }>;

interface Participants {
  readonly stores: readonly Member[];
  readonly voters: readonly Member[];
}

const isChosen = (names: readonly NodeId[], { node }: Member): boolean =>
  names.length === 0 || names.includes(node);

/** Live stores and registries that a request names; all of them if it names none. */
const participantsOf = (
  state: RegistryState,
  request: BootstrapRequest,
  now: Timestamp,
): Participants => {
  const live = [...state.sessions.values()]
    .filter((session) => isAlive(session, now))
    .map((session) => session.member);
  const registries = [state.member, ...live.filter((member) => member.role === 'registry')];
  return {
    stores: live.filter((member) => member.role === 'store' && isChosen(request.stores, member)),
    voters: registries.filter((member) => isChosen(request.voters, member)),
  };
};

const missingOf = (names: readonly NodeId[], members: readonly Member[]): readonly NodeId[] =>
  names.filter((name) => !members.some((member) => member.node === name));

/** Reason for refusing a bootstrap; undefined if it may start. */
const bootstrapRefusal = (
  state: RegistryState,
  request: BootstrapRequest,
  { stores, voters }: Participants,
): { readonly kind: 'unready' | 'stale'; readonly text: string } | undefined => {
  const missing = [...missingOf(request.stores, stores), ...missingOf(request.voters, voters)];
  if (missing.length > 0) return { kind: 'unready', text: `not in touch: ${missing.join(', ')}` };
  if (stores.length < 1)
    return {
      kind: 'unready',
      text: 'a fleet is founded on one store at least; in touch: none',
    };
  if (state.fleet !== undefined)
    return { kind: 'stale', text: `the fleet ${state.fleet} stands already` };
  return undefined;
};

const withAddress = ({ node, address }: Member): Pick<Member, 'node' | 'address'> => ({
  node,
  address,
});

/** Starts a bootstrap requested by an operator: sends the cluster to its stores. */
export const startBootstrap = (
  state: RegistryState,
  correlationId: number,
  request: BootstrapRequest,
  now: Timestamp,
): RegistryTransition => {
  const participants = participantsOf(state, request, now);
  const refusal = bootstrapRefusal(state, request, participants);
  if (refusal !== undefined) return transition(state, reply(correlationId, 409, refusal));
  const { stores, voters } = participants;
  const frame: FrameOf<'bootstrap'> = {
    kind: 'bootstrap',
    id: request.id,
    fleet: request.fleet,
    stores: stores.map(withAddress),
    electorate: {
      serial: noSeq,
      members: voters.map(withAddress).sort((left, right) => (left.node < right.node ? -1 : 1)),
    },
  };
  const bootstraps = withEntry(state.bootstraps, request.id, {
    correlationId,
    startedAt: now,
    stores: stores.map((store) => store.node),
    voters: frame.electorate.members.map((voter) => voter.node),
    agreedStores: new Set<NodeId>(),
  });
  return transition({ ...state, bootstraps }, ...stores.map((store) => send(store.address, frame)));
};

/** Handles a store's reply to a bootstrap, which agrees or refuses. */
export const onBootstrapped = (
  state: RegistryState,
  frame: FrameOf<'bootstrapped'>,
): RegistryTransition => {
  const bootstrap = state.bootstraps.get(frame.id);
  if (bootstrap === undefined) return transition(state);
  const { correlationId, stores, voters } = bootstrap;
  const ended = { ...state, bootstraps: withoutEntry(state.bootstraps, frame.id) };
  if (!frame.ok)
    return transition(
      ended,
      reply(correlationId, 409, { kind: 'stale', text: `${frame.node}: ${frame.text}` }),
    );
  const agreedStores = new Set([...bootstrap.agreedStores, frame.node]);
  if (stores.every((store) => agreedStores.has(store)))
    return transition(ended, reply(correlationId, 200, { kind: 'bootstrapped', stores, voters }));
  return transition({
    ...state,
    bootstraps: withEntry(state.bootstraps, frame.id, { ...bootstrap, agreedStores }),
  });
};

/** Times out bootstraps whose stores have not all agreed. */
export const expireBootstraps = (state: RegistryState, now: Timestamp): RegistryTransition => {
  let bootstraps = state.bootstraps;
  const effects: RegistryEffect[] = [];
  for (const [id, { startedAt, correlationId }] of state.bootstraps) {
    if (now - startedAt < bootstrapTimeoutMs) continue;
    bootstraps = withoutEntry(bootstraps, id);
    effects.push(
      reply(correlationId, 504, {
        kind: 'unknown',
        id,
        text: 'not every store agreed in time; found again with the same names',
      }),
    );
  }
  return transition(bootstraps === state.bootstraps ? state : { ...state, bootstraps }, ...effects);
};

/** Proposes the cluster in this registry's settings to its stores, until the registry belongs to a fleet. */
export const proposeCluster = (state: RegistryState, now: Timestamp): RegistryTransition => {
  const { proposal } = state;
  if (
    proposal === undefined ||
    state.fleet !== undefined ||
    now - state.proposedAt < proposeIntervalMs ||
    now - state.voter.startedAt > proposeWindowMs
  )
    return transition(state);
  const frame: FrameOf<'bootstrap'> = {
    kind: 'bootstrap',
    id: toCommandId(`${proposal.fleet}.${state.member.node}`),
    fleet: proposal.fleet,
    stores: [...proposal.stores],
    electorate: proposal.electorate,
  };
  return transition(
    { ...state, proposedAt: now },
    ...proposal.stores.map((store) => send(store.address, frame)),
  );
};
