/**
 * The operator of a run: which writes and reads it requests when. It draws nothing; replies are
 * judged by operator-session.
 */

import { type CommandId, type Hash, toCommandId, toGeneration } from '@switchwheel/types';
import type { ExternalRequest } from '@switchwheel/membership';
import { configurationHash, contentHash } from '@switchwheel/configuration';

/** How often the operator acts. */
export const operatorIntervalMs = 110;
/** How long it waits for an answer before it asks another machine, with the same id. */
const retryAfterMs = 1300;
/** How often a write is sent again at most. */
const maxAttempts = 4;
/** How many writes it has under way at most. */
const maxOpenWrites = 6;

/** A call that a registry is to be given, and what the operator keeps to judge the answer. */
export interface OperatorRequest {
  readonly machine: number;
  readonly call: ExternalRequest;
  readonly expected:
    | { readonly kind: 'write'; readonly number: number; readonly hash: Hash }
    | { readonly kind: 'read' };
}

interface OpenWrite {
  readonly number: number;
  readonly sentAt: number;
  readonly attempts: number;
}

/** Two operators hand in different contents under some numbers: one of them is refused. */
type Author = 'write' | 'rival';
const turnsPerRival = 6;

const writeCall = (
  number: number,
  author: Author,
  id: CommandId,
): ExternalRequest & { verb: 'apply' } => {
  const text = JSON.stringify({ author, content: number });
  const piece = contentHash(text);
  return {
    verb: 'apply',
    id,
    baseGeneration: undefined,
    requestedGeneration: toGeneration(number),
    hash: configurationHash([piece]),
    chunkHashes: [piece],
    chunks: new Map([[piece, text]]),
  };
};

/** Writes numbered configurations, repeats those without an answer, and reads. Never changed in place. */
export interface Operator {
  readonly turn: number;
  readonly nextNumber: number;
  readonly open: readonly OpenWrite[];
}
/** An operator that has requested nothing yet. */
export const newOperator: Operator = { turn: 0, nextNumber: 1, open: [] };

const writeRequest = (
  number: number,
  machine: number,
  author: Author = 'write',
): OperatorRequest => {
  const call = writeCall(number, author, toCommandId(`${author}-${number}`));
  return { machine, call, expected: { kind: 'write', number, hash: call.hash } };
};

/** One turn: what it asks of which machines. */
export const operatorTurn = (
  operator: Operator,
  machines: number,
  now: number,
): readonly [Operator, readonly OperatorRequest[]] => {
  const calls: OperatorRequest[] = [];
  const due = operator.open.filter((one) => now - one.sentAt >= retryAfterMs);
  const waiting = operator.open.filter((one) => now - one.sentAt < retryAfterMs);
  const repeated = due.filter((one) => one.attempts < maxAttempts);
  for (const one of repeated)
    calls.push(writeRequest(one.number, (one.number + one.attempts) % machines));
  const open = [
    ...waiting,
    ...repeated.map((one) => ({ ...one, sentAt: now, attempts: one.attempts + 1 })),
  ];
  let nextNumber = operator.nextNumber;
  if (operator.turn % 2 === 0 && open.length < maxOpenWrites) {
    calls.push(writeRequest(nextNumber, nextNumber % machines));
    open.push({ number: nextNumber, sentAt: now, attempts: 1 });
    nextNumber += 1;
  }
  if (operator.turn % turnsPerRival === 1)
    calls.push(writeRequest(nextNumber - 1, operator.turn % machines, 'rival'));
  calls.push({
    machine: operator.turn % machines,
    call: { verb: 'view', id: toCommandId(`read-${operator.turn}`), viewName: 'description' },
    expected: { kind: 'read' },
  });
  return [{ turn: operator.turn + 1, nextNumber, open }, calls];
};

/** A write was answered for good. */
export const closeWrite = (operator: Operator, number: number): Operator => ({
  ...operator,
  open: operator.open.filter((one) => one.number !== number),
});
