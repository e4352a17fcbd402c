/**
 * Requests of operators and origins at this registry: dispatches them to their handlers, and encodes
 * those that only the primary can answer as commands for the store.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import type { Member } from '@switchwheel/transport';
import { startBootstrap } from './cluster-bootstrap.js';
import { onAnnouncement } from './departures.js';
import { type ExternalRequest, reply } from './event.js';
import { fleetView } from './fleet-view.js';
import { type ForwardedCommand, forwardToPrimary } from './operator-commands.js';
import type { RegistryState, RegistryTransition } from './state.js';

/** Timeout of the upload of a configuration, its chunks included. */
const applyTimeoutMs = 8000;
const writeTimeoutMs = 4000;
const readTimeoutMs = 2500;

type ElectorateRequest = Extract<ExternalRequest, { verb: 'electorate' }>;
type ForwardedRequest = Extract<
  ExternalRequest,
  { verb: 'apply' | 'purge' | 'release' | 'outcome' | 'view' }
>;

/** Encodes a request as a command for the store; the fields of `body` are part of the store's protocol. */
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

/** Member to add as a voter; undefined if none is to be added or none of that name is known. */
const voterToAdd = (state: RegistryState, { add }: ElectorateRequest): Member | undefined => {
  if (add === undefined) return undefined;
  return add === state.member.node ? state.member : state.sessions.get(add)?.member;
};

/** Adds or removes a single voter, so that majorities of the electorates before and after overlap. */
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

/** Handles a request of an operator or an origin; the reply carries its correlation id. */
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
