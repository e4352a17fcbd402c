/**
 * Operators' commands as registries forward them: queries are answered at once, changes are checked and put
 * into the queue of commands. Only the primary answers.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import type { FrameOf, Peer } from '@switchwheel/transport';
import { configurationHash } from '@switchwheel/configuration';
import { applyBody, electorateBody, parse, purgeBody, releaseBody } from './command-bodies.js';
import type { Caller, Command } from './command.js';
import { onApply } from './configuration-upload.js';
import { changedElectorate } from './electorate-command.js';
import { enqueue } from './queue.js';
import { sendInvalid, sendRejection, sendReply } from './replies.js';
import { viewRelease, viewState } from './views.js';
import { isPrimary } from '../leadership/candidacy.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

type Call = FrameOf<'call'>;

/** What an operator waits before it sends a change to a full disk again. */
const diskFullRetryMs = 2000;

/** A registry forwards an operator's command. */
export const onOperatorCommand = (
  state: StoreState,
  from: Peer,
  call: Call,
  now: Timestamp,
): StoreTransition => {
  // Any other store stays silent: the registry asks the primary as soon as it knows it.
  if (!isPrimary(state, now)) return transition(state);
  const caller: Caller = { to: from.address, id: call.id };
  const earlier = state.control.commandOutcomes.get(call.id);
  if (earlier !== undefined)
    return transition(state, sendReply({ ...caller, status: earlier.status, body: earlier.body }));
  if (state.isReadOnly && call.verb !== 'ask' && call.verb !== 'view')
    return transition(
      state,
      sendRejection(caller, 'the disk is full: nothing can be written', diskFullRetryMs),
    );
  switch (call.verb) {
    case 'apply':
      return onApplyCall(state, caller, call, now);
    case 'purge':
      return onPurgeCall(state, caller, call);
    case 'electorate':
      return onElectorateCall(state, caller, call);
    case 'release':
      return onReleaseCall(state, caller, call);
    case 'ask':
      return transition(state, sendReply({ ...caller, ...outcomeReply(state, call.body) }));
    case 'view':
      return transition(state, sendReply({ ...caller, ...viewReply(state, call.body, now) }));
  }
};

const onApplyCall = (
  state: StoreState,
  caller: Caller,
  call: Call,
  now: Timestamp,
): StoreTransition => {
  const body = parse(applyBody, call.body);
  if (body === undefined || configurationHash(body.order) !== body.hash)
    return transition(state, sendInvalid(caller, 'not a description in pieces'));
  return onApply(
    state,
    {
      kind: 'applyConfiguration',
      caller,
      hash: body.hash,
      chunkHashes: body.order,
      baseGeneration: call.base,
      requestedGeneration: body.number,
      issues: [],
    },
    now,
  );
};

const onPurgeCall = (state: StoreState, caller: Caller, call: Call): StoreTransition => {
  const targets = parse(purgeBody, call.body);
  if (targets === undefined)
    return transition(state, sendInvalid(caller, 'a purge names 1 to 10000 objects or tags'));
  return enqueueOnce(state, { kind: 'purge', caller, targets });
};

const onElectorateCall = (state: StoreState, caller: Caller, call: Call): StoreTransition => {
  const body = parse(electorateBody, call.body);
  const electorate =
    body === undefined || state.metadata === undefined
      ? undefined
      : changedElectorate(state.metadata.electorate, body);
  if (electorate === undefined)
    return transition(state, sendInvalid(caller, 'that would not change the electorate by one'));
  return enqueueOnce(state, { kind: 'changeElectorate', caller, electorate });
};

const onReleaseCall = (state: StoreState, caller: Caller, call: Call): StoreTransition => {
  const body = parse(releaseBody, call.body);
  if (body === undefined)
    return transition(
      state,
      sendInvalid(caller, 'an order names a service, a release, and a span of 1 s to a day'),
    );
  return enqueueOnce(state, { kind: 'requestRollout', caller, ...body });
};

/** Queues a command, unless one with its id is waiting or being written already. */
const enqueueOnce = (
  state: StoreState,
  command: Extract<Command, { kind: 'purge' | 'changeElectorate' | 'requestRollout' }>,
): StoreTransition => {
  const isUnderWay =
    state.commandQueue.some(
      (queued) => 'caller' in queued && queued.caller.id === command.caller.id,
    ) ||
    (state.primaryWrite?.replies.some((reply) => reply.id === command.caller.id) ?? false);
  return isUnderWay ? transition(state) : enqueue(state, command);
};

interface ImmediateReply {
  readonly status: number;
  readonly body: string;
}

const releaseViewPrefix = 'release/';

const viewReply = (state: StoreState, subject: string, now: Timestamp): ImmediateReply => {
  if (!subject.startsWith(releaseViewPrefix))
    return { status: 200, body: JSON.stringify(viewState(state, subject, now)) };
  const release = viewRelease(state, subject.slice(releaseViewPrefix.length), now);
  return release === undefined
    ? {
        status: 404,
        body: JSON.stringify({ kind: 'absent', text: 'no order of a release for this service' }),
      }
    : { status: 200, body: JSON.stringify(release) };
};

/** What became of an earlier command: its reply is kept with the write that it belongs to. */
const outcomeReply = (state: StoreState, id: string): ImmediateReply => {
  const entry = [...state.control.commandOutcomes].find(([known]) => known === id);
  if (entry !== undefined) return { status: entry[1].status, body: entry[1].body };
  return {
    status: 404,
    body: JSON.stringify({
      kind: 'absent',
      text: `no write with the id ${id} took effect; sending it again with this id is safe`,
    }),
  };
};
