/**
 * Operators' commands forwarded by registries: queries are answered at once, changes are validated and queued. Only
 * the primary replies.
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

type CommandFrame = FrameOf<'call'>;

/** Retry delay for an operator whose command met a full disk. */
const diskFullRetryMs = 2000;

/** Handles an operator's command forwarded by a registry. */
export const onOperatorCommand = (
  state: StoreState,
  from: Peer,
  frame: CommandFrame,
  now: Timestamp,
): StoreTransition => {
  // Other stores do not reply: the registry sends the command to the primary once it knows it.
  if (!isPrimary(state, now)) return transition(state);
  const caller: Caller = { to: from.address, id: frame.id };
  const earlier = state.control.commandOutcomes.get(frame.id);
  if (earlier !== undefined)
    return transition(state, sendReply({ ...caller, status: earlier.status, body: earlier.body }));
  if (state.isReadOnly && frame.verb !== 'ask' && frame.verb !== 'view')
    return transition(
      state,
      sendRejection(caller, 'the disk is full: nothing can be written', diskFullRetryMs),
    );
  switch (frame.verb) {
    case 'apply':
      return onApplyCommand(state, caller, frame, now);
    case 'purge':
      return onPurgeCommand(state, caller, frame);
    case 'electorate':
      return onElectorateCommand(state, caller, frame);
    case 'release':
      return onReleaseCommand(state, caller, frame);
    case 'ask':
      return transition(state, sendReply({ ...caller, ...outcomeReply(state, frame.body) }));
    case 'view':
      return transition(state, sendReply({ ...caller, ...viewReply(state, frame.body, now) }));
  }
};

const onApplyCommand = (
  state: StoreState,
  caller: Caller,
  frame: CommandFrame,
  now: Timestamp,
): StoreTransition => {
  const body = parse(applyBody, frame.body);
  if (body === undefined || configurationHash(body.order) !== body.hash)
    return transition(state, sendInvalid(caller, 'not a description in pieces'));
  return onApply(
    state,
    {
      kind: 'applyConfiguration',
      caller,
      hash: body.hash,
      chunkHashes: body.order,
      baseGeneration: frame.base,
      requestedGeneration: body.number,
      issues: [],
    },
    now,
  );
};

const onPurgeCommand = (
  state: StoreState,
  caller: Caller,
  frame: CommandFrame,
): StoreTransition => {
  const targets = parse(purgeBody, frame.body);
  if (targets === undefined)
    return transition(state, sendInvalid(caller, 'a purge names 1 to 10000 objects or tags'));
  return enqueueOnce(state, { kind: 'purge', caller, targets });
};

const onElectorateCommand = (
  state: StoreState,
  caller: Caller,
  frame: CommandFrame,
): StoreTransition => {
  const body = parse(electorateBody, frame.body);
  const electorate =
    body === undefined || state.metadata === undefined
      ? undefined
      : changedElectorate(state.metadata.electorate, body);
  if (electorate === undefined)
    return transition(state, sendInvalid(caller, 'that would not change the electorate by one'));
  return enqueueOnce(state, { kind: 'changeElectorate', caller, electorate });
};

const onReleaseCommand = (
  state: StoreState,
  caller: Caller,
  frame: CommandFrame,
): StoreTransition => {
  const body = parse(releaseBody, frame.body);
  if (body === undefined)
    return transition(
      state,
      sendInvalid(caller, 'an order names a service, a release, and a span of 1 s to a day'),
    );
  return enqueueOnce(state, { kind: 'requestRollout', caller, ...body });
};

/** Queues a command, unless one with its id is already queued or being written. */
const enqueueOnce = (
  state: StoreState,
  command: Extract<Command, { kind: 'purge' | 'changeElectorate' | 'requestRollout' }>,
): StoreTransition => {
  const isPending =
    state.commandQueue.some(
      (queued) => 'caller' in queued && queued.caller.id === command.caller.id,
    ) ||
    (state.primaryWrite?.replies.some((reply) => reply.id === command.caller.id) ?? false);
  return isPending ? transition(state) : enqueue(state, command);
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

/** Reply with the stored outcome of an earlier command, or status 404 if none is stored. */
const outcomeReply = (state: StoreState, id: string): ImmediateReply => {
  // A scan instead of a lookup: `id` is unvalidated text, which the type of the map's keys does not admit.
  const entry = [...state.control.commandOutcomes].find(([commandId]) => commandId === id);
  if (entry !== undefined) return { status: entry[1].status, body: entry[1].body };
  return {
    status: 404,
    body: JSON.stringify({
      kind: 'absent',
      text: `no write with the id ${id} took effect; sending it again with this id is safe`,
    }),
  };
};
