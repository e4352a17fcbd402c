/**
 * Requests of operators and origins at this registry: each goes to the part that answers it, and
 * what only the primary can answer is put into the form that the store takes.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import type { Member } from '@switchwheel/transport';
import { startBootstrap } from './cluster-bootstrap.js';
import { onAnnouncement } from './departures.js';
import { type ExternalRequest, reply } from './event.js';
import { fleetView } from './fleet-view.js';
import { type ForwardedCommand, forwardToPrimary } from './operator-commands.js';
import type { RegistryState, RegistryTransition } from './state.js';

/** How long an uploaded configuration may take, its chunks included. */
const applyTimeoutMs = 8000;
const writeTimeoutMs = 4000;
const readTimeoutMs = 2500;

type ElectorateRequest = Extract<ExternalRequest, { verb: 'electorate' }>;
type ForwardedRequest = Extract<
  ExternalRequest,
  { verb: 'apply' | 'purge' | 'release' | 'outcome' | 'view' }
>;

/** A request in the form that the store takes; the members of `body` are the store's contract. */
const commandOf = (request: ForwardedRequest): Omit<ForwardedCommand, 'id' | 'correlationId'> => {
  switch (request.verb) {
    case 'apply':
      return {
        verb: 'apply',
        body: JSON.stringify({
          hash: request.hash,
          order: request.chunkHashes,
          number: request.requestedGeneration,
        }),
        baseGeneration: request.baseGeneration,
        chunks: request.chunks,
        timeoutMs: applyTimeoutMs,
      };
    case 'purge':
      return {
        verb: 'purge',
        body: JSON.stringify(request.targets),
        timeoutMs: writeTimeoutMs,
      };
    case 'release': {
      const { service, target, spanMs } = request;
      return {
        verb: 'release',
        body: JSON.stringify({ service, target, spanMs }),
        timeoutMs: writeTimeoutMs,
      };
    }
    case 'outcome':
      return { verb: 'ask', body: request.commandId, timeoutMs: readTimeoutMs };
    case 'view':
      return { verb: 'view', body: request.viewName, timeoutMs: readTimeoutMs };
  }
};

/** The registry that is to get a vote; undefined if none of that name was met. */
const voterToAdd = (state: RegistryState, { add }: ElectorateRequest): Member | undefined => {
  if (add === undefined) return undefined;
  return add === state.member.node ? state.member : state.sessions.get(add)?.member;
};

/** Adds or removes one voter: the electorates before and after then have a majority in common. */
const changeElectorate = (
  state: RegistryState,
  correlationId: number,
  request: ElectorateRequest,
  now: Timestamp,
): RegistryTransition => {
  if (state.electorate === undefined)
    return transition(
      state,
      reply(correlationId, 409, { kind: 'unready', text: 'no fleet stands yet' }),
    );
  if ((request.add === undefined) === (request.remove === undefined))
    return transition(
      state,
      reply(correlationId, 422, {
        kind: 'invalid',
        text: 'one voter is added or removed at a time',
      }),
    );
  const voter = voterToAdd(state, request);
  if (request.add !== undefined && voter?.role !== 'registry')
    return transition(
      state,
      reply(correlationId, 409, {
        kind: 'unready',
        text: `no registry named ${request.add} is in touch`,
      }),
    );
  const body = JSON.stringify({
    ...(voter === undefined ? {} : { add: { node: voter.node, address: voter.address } }),
    ...(request.remove === undefined ? {} : { remove: request.remove }),
  });
  const { id } = request;
  return forwardToPrimary(
    state,
    { id, correlationId, verb: 'electorate', body, timeoutMs: writeTimeoutMs },
    now,
  );
};

/** Takes a request from outside; its answer bears the correlation id. */
export const onExternalRequest = (
  state: RegistryState,
  correlationId: number,
  request: ExternalRequest,
  now: Timestamp,
): RegistryTransition => {
  switch (request.verb) {
    case 'announce':
      return onAnnouncement(state, correlationId, request.origin, now);
    case 'bootstrap':
      return startBootstrap(state, correlationId, request, now);
    case 'electorate':
      return changeElectorate(state, correlationId, request, now);
    case 'fleet':
      return transition(state, reply(correlationId, 200, fleetView(state, now)));
    default:
      return forwardToPrimary(state, { id: request.id, correlationId, ...commandOf(request) }, now);
  }
};
