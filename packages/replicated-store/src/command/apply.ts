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
import type { Put } from '@switchwheel/transport';
import { type Control, erase, keptNumbers, keyOf, write } from '@switchwheel/configuration';
import { type Decision, callResult, earlierResult, noChange, rememberResult } from './decision.js';
import { missingPieces, piecePuts, unusedPieces } from './pieces.js';
import type { Command, Store } from '../state/state.js';

type ApplyCommand = Extract<Command, { kind: 'apply' }>;
type ApplyState = Pick<Store, 'heldPieces' | 'commandQueue'>;

const currentGeneration = (control: Control): Generation =>
  control.stored?.offer.generation ?? noGeneration;

/** The content that a number has, as far as it is kept. */
const contentOf = (control: Control, number: Generation): Hash | undefined => {
  const kept = control.numbers.get(number);
  if (kept !== undefined) return kept;
  const offer = control.stored?.offer;
  return offer?.generation === number ? offer.hash : undefined;
};

/** Binds a number to its content; the lowest numbers are let go once too many are kept. */
const recordNumber = (control: Control, number: Generation, hash: Hash): readonly Put[] => {
  if (control.numbers.has(number)) return [];
  const surplus = control.numbers.size + 1 - keptNumbers;
  if (surplus <= 0) return [write(keyOf.number(number), { hash })];
  const oldest = [...control.numbers.keys()].sort((one, two) => one - two).slice(0, surplus);
  const newestDropped = oldest.at(-1) ?? noGeneration;
  // A number below all that are kept would be let go at once.
  if (number < newestDropped) return [];
  return [write(keyOf.number(number), { hash }), ...oldest.map((one) => erase(keyOf.number(one)))];
};

/** A configuration that was made from another base than the one in force. */
const staleBase = (command: ApplyCommand, now: Generation): Decision => ({
  ...noChange,
  immediateReplies: [
    callResult(command, 409, {
      kind: 'stale',
      text: `the base is generation ${command.base}, in force is ${now}`,
      generation: now,
    }),
  ],
});

const invalid = (command: ApplyCommand): Decision => ({
  ...noChange,
  immediateReplies: [
    callResult(command, 422, {
      kind: 'invalid',
      text: 'the description is refused whole',
      faults: command.faults,
    }),
  ],
});

/** The number belongs to another content. Answered once the write that took it lasts. */
const numberTaken = (command: ApplyCommand, number: Generation, taken: Hash): Decision => ({
  ...noChange,
  results: [
    callResult(command, 409, {
      kind: 'stale',
      text: `number ${number} was taken by the configuration ${taken}; this one is ${command.hash}`,
      generation: number,
      taken,
      offered: command.hash,
    }),
  ],
});

/** A number that is not above the newest: acknowledged, and nothing changes but that its content is known. */
const held = (control: Control, command: ApplyCommand, number: Generation): Decision => ({
  ...noChange,
  puts: recordNumber(control, number, command.hash),
  results: [callResult(command, 200, { kind: 'held', generation: currentGeneration(control) })],
});

/** How many generations back rollouts and their targets are kept. */
const keptRollouts = 8;

/** The end of rollouts that lie far behind. */
const rolloutPuts = (control: Control, generation: Generation): readonly Put[] => [
  ...[...control.targets]
    .filter(([, target]) => target.generation + keptRollouts < generation)
    .map(([key]) => erase(key)),
  ...[...control.rollouts.keys()]
    .filter((one) => one + keptRollouts < generation)
    .map((one) => erase(keyOf.rollout(one))),
];

/** How long an operator waits before an order that lost its pieces is sent again. */
const lostPiecesRetryMs = 200;

/** A piece that the order was found to have is neither in the table nor held: the order is not put in force. */
const lostPieces = (command: ApplyCommand): Decision => ({
  ...noChange,
  immediateReplies: [
    callResult(command, 503, {
      kind: 'rejected',
      text: 'a piece of the description was lost on its way; nothing was changed',
      retryAfterMs: lostPiecesRetryMs,
    }),
  ],
  violations: ['order-keeps-pieces'],
});

const accept = (
  state: ApplyState,
  control: Control,
  command: ApplyCommand,
  generation: Generation,
  seq: Seq,
): Decision => {
  const { hash, order } = command;
  if (missingPieces(state, order).some((one) => !control.pieces.has(one)))
    return lostPieces(command);
  const result = callResult(command, 200, { kind: 'accepted', generation, hash });
  const offer = { generation, hash, pieces: [...order] };
  return {
    ...noChange,
    puts: [
      ...piecePuts(state, control, order),
      ...unusedPieces(state, control, command),
      ...rolloutPuts(control, generation),
      write(keyOf.stored, { offer, call: command.asker.id }),
      ...recordNumber(control, generation, hash),
      ...rememberResult(control, result, seq),
    ],
    results: [result],
  };
};

/** What a configuration that was handed in comes to. */
export const decideApply = (
  state: ApplyState,
  control: Control,
  command: ApplyCommand,
  seq: Seq,
): Decision => {
  const again = earlierResult(control, command, seq);
  if (again !== undefined) return again;
  const now = currentGeneration(control);
  if (command.base !== undefined && command.base !== now) return staleBase(command, now);
  if (command.faults.length > 0) return invalid(command);
  const { number } = command;
  if (number === undefined) return accept(state, control, command, nextGeneration(now), seq);
  const taken = contentOf(control, number);
  if (taken !== undefined && taken !== command.hash) return numberTaken(command, number, taken);
  if (number <= now) return held(control, command, number);
  return accept(state, control, command, number, seq);
};
