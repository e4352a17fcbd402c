/**
 * Decides whether a configuration is taken. Every number has one content for ever: the highest
 * number is in force, the same content under its number is acknowledged again whenever it comes,
 * other content under a taken number is refused.
 */

import {
  type Generation,
  type Hash,
  type Seq,
  nextGeneration,
  noGeneration,
} from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  controlKeys,
  deleteRecord,
  maxKeptGenerations,
  putRecord,
} from '@switchwheel/configuration';
import { chunkPuts, missingChunks, unusedChunks } from './chunks.js';
import type { ApplyCommand } from './command.js';
import { type Decision, commandReply, earlierReply, noChange, rememberReply } from './decision.js';
import type { StoreState } from '../state/state.js';

type ApplyState = Pick<StoreState, 'heldChunks' | 'commandQueue'>;

const currentGeneration = (control: ControlState): Generation =>
  control.configuration?.offer.generation ?? noGeneration;

/** The content that a number has, as far as it is kept. */
const contentOf = (control: ControlState, number: Generation): Hash | undefined => {
  const kept = control.hashByGeneration.get(number);
  if (kept !== undefined) return kept;
  const offer = control.configuration?.offer;
  return offer?.generation === number ? offer.hash : undefined;
};

/** Binds a number to its content; the lowest numbers are let go once too many are kept. */
const recordNumber = (
  control: ControlState,
  number: Generation,
  hash: Hash,
): readonly TableMutation[] => {
  if (control.hashByGeneration.has(number)) return [];
  const surplus = control.hashByGeneration.size + 1 - maxKeptGenerations;
  if (surplus <= 0) return [putRecord(controlKeys.generation(number), { hash })];
  const oldest = [...control.hashByGeneration.keys()]
    .sort((first, second) => first - second)
    .slice(0, surplus);
  const newestDropped = oldest.at(-1) ?? noGeneration;
  // A number below all that are kept would be let go at once.
  if (number < newestDropped) return [];
  return [
    putRecord(controlKeys.generation(number), { hash }),
    ...oldest.map((dropped) => deleteRecord(controlKeys.generation(dropped))),
  ];
};

/** A configuration that was made from another base than the one in force. */
const staleBase = (command: ApplyCommand, current: Generation): Decision => ({
  ...noChange,
  immediateReplies: [
    commandReply(command, 409, {
      kind: 'stale',
      text: `the base is generation ${command.baseGeneration}, in force is ${current}`,
      generation: current,
    }),
  ],
});

const invalid = (command: ApplyCommand): Decision => ({
  ...noChange,
  immediateReplies: [
    commandReply(command, 422, {
      kind: 'invalid',
      text: 'the description is refused whole',
      faults: command.issues,
    }),
  ],
});

/** The number belongs to another content. Answered once the write that took it lasts. */
const numberTaken = (command: ApplyCommand, number: Generation, taken: Hash): Decision => ({
  ...noChange,
  repliesAfterWrite: [
    commandReply(command, 409, {
      kind: 'stale',
      text: `number ${number} was taken by the configuration ${taken}; this one is ${command.hash}`,
      generation: number,
      taken,
      offered: command.hash,
    }),
  ],
});

/** A number that is not above the newest: acknowledged, and nothing changes but that its content is known. */
const alreadySuperseded = (
  control: ControlState,
  command: ApplyCommand,
  number: Generation,
): Decision => ({
  ...noChange,
  puts: recordNumber(control, number, command.hash),
  repliesAfterWrite: [
    commandReply(command, 200, { kind: 'held', generation: currentGeneration(control) }),
  ],
});

/** How many generations back rollouts and their targets are kept. */
const keptRollouts = 8;

/** The end of rollouts that lie far behind. */
const rolloutPuts = (control: ControlState, generation: Generation): readonly TableMutation[] => [
  ...[...control.targets]
    .filter(([, target]) => target.generation + keptRollouts < generation)
    .map(([key]) => deleteRecord(key)),
  ...[...control.rollouts.keys()]
    .filter((known) => known + keptRollouts < generation)
    .map((known) => deleteRecord(controlKeys.rollout(known))),
];

/** What an operator waits before it sends a configuration again that lost chunks. */
const lostChunksRetryMs = 200;

/** A chunk of the configuration is neither in the table nor held any more: it is not put in force. */
const lostChunks = (command: ApplyCommand): Decision => ({
  ...noChange,
  immediateReplies: [
    commandReply(command, 503, {
      kind: 'rejected',
      text: 'a piece of the description was lost on its way; nothing was changed',
      retryAfterMs: lostChunksRetryMs,
    }),
  ],
  violations: ['order-keeps-pieces'],
});

const accept = (
  state: ApplyState,
  control: ControlState,
  command: ApplyCommand,
  generation: Generation,
  seq: Seq,
): Decision => {
  const { hash, chunkHashes } = command;
  if (missingChunks(state, chunkHashes).some((chunkHash) => !control.chunks.has(chunkHash)))
    return lostChunks(command);
  const result = commandReply(command, 200, { kind: 'accepted', generation, hash });
  const offer = { generation, hash, pieces: [...chunkHashes] };
  return {
    ...noChange,
    puts: [
      ...chunkPuts(state, control, chunkHashes),
      ...unusedChunks(state, control, command),
      ...rolloutPuts(control, generation),
      putRecord(controlKeys.configuration, { offer, call: command.caller.id }),
      ...recordNumber(control, generation, hash),
      ...rememberReply(control, result, seq),
    ],
    repliesAfterWrite: [result],
  };
};

/** What a configuration that was handed in comes to. */
export const decideApply = (
  state: ApplyState,
  control: ControlState,
  command: ApplyCommand,
  seq: Seq,
): Decision => {
  const again = earlierReply(control, command, seq);
  if (again !== undefined) return again;
  const now = currentGeneration(control);
  if (command.baseGeneration !== undefined && command.baseGeneration !== now)
    return staleBase(command, now);
  if (command.issues.length > 0) return invalid(command);
  const { requestedGeneration: number } = command;
  if (number === undefined) return accept(state, control, command, nextGeneration(now), seq);
  const taken = contentOf(control, number);
  if (taken !== undefined && taken !== command.hash) return numberTaken(command, number, taken);
  if (number <= now) return alreadySuperseded(control, command, number);
  return accept(state, control, command, number, seq);
};
