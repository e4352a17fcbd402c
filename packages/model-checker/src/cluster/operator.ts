/**
 * Deterministic operator of a run, which submits writes and reads; operator-session checks the
 * replies.
 */

import { type CommandId, type Hash, toCommandId, toGeneration } from '@switchwheel/types';
import type { ExternalRequest } from '@switchwheel/membership';
import { configurationHash, contentHash } from '@switchwheel/configuration';

/** Interval between the turns of the operator. */
export const operatorIntervalMs = 110;
/** Time without a reply after which a write is retried with the same id at another machine. */
const retryAfterMs = 1300;
/** Maximum number of attempts of a write. */
const maxAttempts = 4;
/** Maximum number of unanswered writes. */
const maxOpenWrites = 6;

/** Request to the registry of a machine, with the expectation for its reply. */
export interface OperatorRequest {
  readonly machine: number;
  readonly request: ExternalRequest;
  readonly expected:
    | { readonly kind: 'write'; readonly generation: number; readonly hash: Hash }
    | { readonly kind: 'read' };
}

interface OpenWrite {
  readonly generation: number;
  readonly sentAt: number;
  readonly attempts: number;
}

/** Author of a write; for some generations both authors submit different contents, and one is refused. */
type Author = 'write' | 'rival';
const turnsPerRivalWrite = 6;

const writeCommand = (
  generation: number,
  author: Author,
  id: CommandId,
): ExternalRequest & { verb: 'apply' } => {
  const text = JSON.stringify({ author, content: generation });
  const chunkHash = contentHash(text);
  return {
    verb: 'apply',
    id,
    baseGeneration: undefined,
    requestedGeneration: toGeneration(generation),
    hash: configurationHash([chunkHash]),
    chunkHashes: [chunkHash],
    chunks: new Map([[chunkHash, text]]),
  };
};

/** Immutable state of the operator, which writes consecutive generations, retries writes without a reply, and reads. */
export interface Operator {
  readonly turn: number;
  readonly nextGeneration: number;
  readonly openWrites: readonly OpenWrite[];
}
/** Operator before its first turn. */
export const newOperator: Operator = { turn: 0, nextGeneration: 1, openWrites: [] };

const writeRequest = (
  generation: number,
  machine: number,
  author: Author = 'write',
): OperatorRequest => {
  const request = writeCommand(generation, author, toCommandId(`${author}-${generation}`));
  return { machine, request, expected: { kind: 'write', generation, hash: request.hash } };
};

/** Runs one turn: returns the next state and the requests to send. */
export const operatorTurn = (
  operator: Operator,
  machineCount: number,
  now: number,
): readonly [Operator, readonly OperatorRequest[]] => {
  const requests: OperatorRequest[] = [];
  const due = operator.openWrites.filter((write) => now - write.sentAt >= retryAfterMs);
  const waiting = operator.openWrites.filter((write) => now - write.sentAt < retryAfterMs);
  const retried = due.filter((write) => write.attempts < maxAttempts);
  for (const write of retried)
    requests.push(
      writeRequest(write.generation, (write.generation + write.attempts) % machineCount),
    );
  const openWrites = [
    ...waiting,
    ...retried.map((write) => ({ ...write, sentAt: now, attempts: write.attempts + 1 })),
  ];
  let nextGeneration = operator.nextGeneration;
  if (operator.turn % 2 === 0 && openWrites.length < maxOpenWrites) {
    requests.push(writeRequest(nextGeneration, nextGeneration % machineCount));
    openWrites.push({ generation: nextGeneration, sentAt: now, attempts: 1 });
    nextGeneration += 1;
  }
  if (operator.turn % turnsPerRivalWrite === 1)
    requests.push(writeRequest(nextGeneration - 1, operator.turn % machineCount, 'rival'));
  requests.push({
    machine: operator.turn % machineCount,
    request: { verb: 'view', id: toCommandId(`read-${operator.turn}`), viewName: 'description' },
    expected: { kind: 'read' },
  });
  return [{ turn: operator.turn + 1, nextGeneration, openWrites }, requests];
};

/** Removes an answered write, so that it is not retried. */
export const closeWrite = (operator: Operator, generation: number): Operator => ({
  ...operator,
  openWrites: operator.openWrites.filter((write) => write.generation !== generation),
});
