/**
 * Decides commands that apply a configuration. Each generation is bound to one content for good: the highest
 * generation is in force, repeating a generation with its content is acknowledged again, and other content
 * under a taken generation is refused.
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
import { chunkPuts, missingChunks, unusedChunkDeletions } from './chunks.js';
import type { ApplyCommand } from './command.js';
import { type Decision, commandReply, earlierReply, noChange, rememberReply } from './decision.js';
import type { StoreState } from '../state/state.js';

type ApplyState = Pick<StoreState, 'heldChunks' | 'commandQueue'>;

const currentGeneration = (control: ControlState): Generation =>
  control.configuration?.offer.generation ?? noGeneration;

/** Returns the content that a generation is bound to; undefined if it is not recorded. */
const contentOf = (control: ControlState, generation: Generation): Hash | undefined => {
  const recordedHash = control.hashByGeneration.get(generation);
  if (recordedHash !== undefined) return recordedHash;
  const manifest = control.configuration?.offer;
  return manifest?.generation === generation ? manifest.hash : undefined;
};

/** Binds a generation to its content; drops the records of the lowest generations beyond the limit. */
const recordGeneration = (
  control: ControlState,
  generation: Generation,
  hash: Hash,
): readonly TableMutation[] => {
  if (control.hashByGeneration.has(generation)) return [];
  const surplus = control.hashByGeneration.size + 1 - maxKeptGenerations;
  if (surplus <= 0) return [putRecord(controlKeys.generation(generation), { hash })];
  const oldest = [...control.hashByGeneration.keys()]
    .sort((first, second) => first - second)
    .slice(0, surplus);
  const newestDropped = oldest.at(-1) ?? noGeneration;
  // A record of a lower generation than a dropped one would itself exceed the limit.
  if (generation < newestDropped) return [];
  return [
    putRecord(controlKeys.generation(generation), { hash }),
    ...oldest.map((dropped) => deleteRecord(controlKeys.generation(dropped))),
  ];
};

/** Refusal of a configuration that was made from another base than the one in force. */
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

/** Refusal of a generation that is bound to another content; sent once the write that bound it is committed. */
const generationTaken = (
  command: ApplyCommand,
  generation: Generation,
  boundHash: Hash,
): Decision => ({
  ...noChange,
  repliesAfterWrite: [
    commandReply(command, 409, {
      kind: 'stale',
      text: `number ${generation} was taken by the configuration ${boundHash}; this one is ${command.hash}`,
      generation,
      taken: boundHash,
      offered: command.hash,
    }),
  ],
});

/** Acknowledgement of a generation that is not above the current one: only its content is recorded. */
const alreadySuperseded = (
  control: ControlState,
  command: ApplyCommand,
  generation: Generation,
): Decision => ({
  ...noChange,
  puts: recordGeneration(control, generation, command.hash),
  repliesAfterWrite: [
    commandReply(command, 200, { kind: 'held', generation: currentGeneration(control) }),
  ],
});

/** Number of past generations whose rollouts and targets are kept. */
const keptRollouts = 8;

/** Deletes the rollouts and targets of generations beyond `keptRollouts`. */
const expiredRolloutDeletions = (
  control: ControlState,
  generation: Generation,
): readonly TableMutation[] => [
  ...[...control.targets]
    .filter(([, target]) => target.generation + keptRollouts < generation)
    .map(([key]) => deleteRecord(key)),
  ...[...control.rollouts.keys()]
    .filter((rolloutGeneration) => rolloutGeneration + keptRollouts < generation)
    .map((rolloutGeneration) => deleteRecord(controlKeys.rollout(rolloutGeneration))),
];

/** Retry delay for an operator whose configuration lost chunks. */
const lostChunksRetryMs = 200;

/** Rejection of a configuration with a chunk that is neither in the table nor held in memory. */
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
  const reply = commandReply(command, 200, { kind: 'accepted', generation, hash });
  const manifest = { generation, hash, pieces: [...chunkHashes] };
  return {
    ...noChange,
    puts: [
      ...chunkPuts(state, control, chunkHashes),
      ...unusedChunkDeletions(state, control, command),
      ...expiredRolloutDeletions(control, generation),
      putRecord(controlKeys.configuration, { offer: manifest, call: command.caller.id }),
      ...recordGeneration(control, generation, hash),
      ...rememberReply(control, reply, seq),
    ],
    repliesAfterWrite: [reply],
  };
};

/** Decides a command that applies a configuration. */
export const decideApply = (
  state: ApplyState,
  control: ControlState,
  command: ApplyCommand,
  seq: Seq,
): Decision => {
  const earlier = earlierReply(control, command, seq);
  if (earlier !== undefined) return earlier;
  const current = currentGeneration(control);
  if (command.baseGeneration !== undefined && command.baseGeneration !== current)
    return staleBase(command, current);
  if (command.issues.length > 0) return invalid(command);
  const { requestedGeneration } = command;
  if (requestedGeneration === undefined)
    return accept(state, control, command, nextGeneration(current), seq);
  const boundHash = contentOf(control, requestedGeneration);
  if (boundHash !== undefined && boundHash !== command.hash)
    return generationTaken(command, requestedGeneration, boundHash);
  if (requestedGeneration <= current)
    return alreadySuperseded(control, command, requestedGeneration);
  return accept(state, control, command, requestedGeneration, seq);
};
