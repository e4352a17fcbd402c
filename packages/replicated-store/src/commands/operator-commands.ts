/**
 * Operators' commands as registries forward them: queries are answered at once, changes are checked and put
 * into the queue of commands. Only the primary answers.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import type { FrameOf, Peer } from '@switchwheel/transport';
import { configurationHash } from '@switchwheel/configuration';
import { applyBody, electorateBody, parse, purgeBody, releaseBody } from './command-bodies.js';
import type { Command } from './command.js';
import { onApply } from './configuration-upload.js';
import { changedElectorate } from './electorate-command.js';
import { enqueue, sendReply } from './queue.js';
import { viewRelease, viewState } from './views.js';
import { isPrimary } from '../leadership/candidacy.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

export const onOperatorCommand = (
  state: StoreState,
  from: Peer,
  call: FrameOf<'call'>,
  now: Timestamp,
): StoreTransition => {
  // A store without the duty stays silent: the registry asks the holder as soon as it knows it.
  if (!isPrimary(state, now)) return transition(state);
  const asker = { to: from.address, id: call.id };
  const bad = (text: string): StoreTransition =>
    transition(
      state,
      sendReply({
        ...asker,
        status: 422,
        body: JSON.stringify({ kind: 'invalid', id: call.id, text }),
      }),
    );
  const before = state.control.commandOutcomes.get(call.id);
  if (before !== undefined)
    return transition(state, sendReply({ ...asker, status: before.status, body: before.body }));
  if (state.isReadOnly && call.verb !== 'ask' && call.verb !== 'view') {
    return transition(
      state,
      sendReply({
        ...asker,
        status: 503,
        body: JSON.stringify({
          kind: 'rejected',
          id: call.id,
          text: 'the disk is full: nothing can be written',
          retryAfterMs: 2000,
        }),
      }),
    );
  }
  switch (call.verb) {
    case 'apply': {
      const body = parse(applyBody, call.body);
      if (body === undefined || configurationHash(body.order) !== body.hash)
        return bad('not a description in pieces');
      return onApply(
        state,
        {
          kind: 'applyConfiguration',
          caller: asker,
          hash: body.hash,
          chunkHashes: body.order,
          baseGeneration: call.base,
          requestedGeneration: body.number,
          faults: [],
        },
        now,
      );
    }
    case 'purge': {
      const aims = parse(purgeBody, call.body);
      if (aims === undefined) return bad('a purge names 1 to 10000 objects or tags');
      return enqueueOnce(state, { kind: 'purge', caller: asker, targets: aims });
    }
    case 'electorate': {
      const body = parse(electorateBody, call.body);
      const next =
        body === undefined || state.metadata === undefined
          ? undefined
          : changedElectorate(state.metadata.electorate, body);
      if (next === undefined) return bad('that would not change the electorate by one');
      return enqueueOnce(state, { kind: 'changeElectorate', caller: asker, electorate: next });
    }
    case 'release': {
      const body = parse(releaseBody, call.body);
      if (body === undefined)
        return bad('an order names a service, a release, and a span of 1 s to a day');
      return enqueueOnce(state, { kind: 'requestRollout', caller: asker, ...body });
    }
    case 'ask':
      return transition(state, sendReply({ ...asker, ...outcomeReply(state, call.body) }));
    case 'view':
      return transition(state, sendReply({ ...asker, ...viewReply(state, call.body, now) }));
  }
};

const enqueueOnce = (
  state: StoreState,
  command: Extract<Command, { kind: 'purge' | 'changeElectorate' | 'requestRollout' }>,
): StoreTransition => {
  const open =
    state.commandQueue.some((one) => 'caller' in one && one.caller.id === command.caller.id) ||
    (state.primaryWrite?.replies.some((one) => one.id === command.caller.id) ?? false);
  return open ? transition(state) : enqueue(state, command);
};

const viewReply = (
  state: StoreState,
  what: string,
  now: Timestamp,
): { readonly status: number; readonly body: string } => {
  if (!what.startsWith('release/'))
    return { status: 200, body: JSON.stringify(viewState(state, what, now)) };
  const found = viewRelease(state, what.slice('release/'.length), now);
  return found === undefined
    ? {
        status: 404,
        body: JSON.stringify({ kind: 'absent', text: 'no order of a release for this service' }),
      }
    : { status: 200, body: JSON.stringify(found) };
};

const outcomeReply = (
  state: StoreState,
  id: string,
): { readonly status: number; readonly body: string } => {
  const found = [...state.control.commandOutcomes].find(([one]) => one === id);
  if (found !== undefined) return { status: found[1].status, body: found[1].body };
  return {
    status: 404,
    body: JSON.stringify({
      kind: 'absent',
      text: `no write with the id ${id} took effect; sending it again with this id is safe`,
    }),
  };
};
