import { errorResponseFor } from '@switchwheel/types';
import type { ClientReply } from '@switchwheel/routing';
import type { ExecutionRecord } from './origin.js';
import { objectBody } from './attempt-port.js';

/** The rules of requests that are judged here. */
export type RequestRule =
  'TWICE' | 'REFUSED' | 'MIXED' | 'UNASKED' | 'ROUTE' | 'LOST' | 'STALE' | 'RETRY';

/** A request as its caller sent it, and what the caller saw. */
export interface CallerRecord {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly sentAt: number;
  readonly deadline: number;
  /** The revision that the object had at the last purge before the request. */
  readonly leastRevision: number;
  hasLeft: boolean;
  readonly replies: { readonly at: number; readonly reply: ClientReply }[];
}

export interface Violation {
  readonly rule: RequestRule;
  readonly id: string;
  readonly text: string;
}

/** Statuses that promise that a request has not run and never will. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** How far past its deadline a request may be told: one turn of the clock. */
const replyMarginMs = 40;

/** The status that a caller is answered with. */
export const statusOf = (word: ClientReply): number => {
  if (word.kind === 'failure') return errorResponseFor(word.errorKind).status;
  return word.kind === 'cached' ? word.entry.status : word.response.status;
};

/** The body that a caller is answered with; empty for a failure. */
export const bodyOf = (word: ClientReply): string => {
  if (word.kind === 'failure') return '';
  return (word.kind === 'cached' ? word.entry.body : word.response.body).toString();
};

const judgeCaller = (one: CallerRecord, ran: boolean): readonly Violation[] => {
  const found: Violation[] = [];
  const add = (rule: RequestRule, text: string): void => {
    found.push({ rule, id: one.id, text });
  };
  const [first] = one.replies;
  if (one.replies.length > 1) add('MIXED', 'told more than once');
  if (first === undefined) {
    if (!one.hasLeft) add('LOST', 'never told');
    return found;
  }
  if (first.at > one.deadline + replyMarginMs)
    add('LOST', `told ${first.at - one.deadline} ms late`);
  const status = statusOf(first.reply);
  if (one.method !== 'GET' && ran && notExecutedStatuses.has(status))
    add('REFUSED', `told ${status}`);
  if (first.reply.kind === 'failure' && status === 503 && first.reply.retryAfterMs <= 0)
    add('RETRY', 'not told when to come back');
  if (status === 200) judgeBody(one, bodyOf(first.reply), add);
  return found;
};

const judgeBody = (
  one: CallerRecord,
  body: string,
  add: (rule: RequestRule, text: string) => void,
): void => {
  if (one.method !== 'GET') {
    if (body !== `done ${one.id}`) add('MIXED', body);
    return;
  }
  const revision = Number(body.split('@')[1]);
  if (body !== objectBody(one.target, revision)) add('MIXED', body);
  else if (revision < one.leastRevision) add('STALE', `${body}, purged at ${one.leastRevision}`);
};

/** Judges a run from what the origins wrote down and what the callers were told. */
export const judge = (
  callers: ReadonlyMap<string, CallerRecord>,
  runs: readonly ExecutionRecord[],
  mayRun: (target: string, service: string) => boolean,
): readonly Violation[] => {
  const counts = new Map<string, number>();
  const found: Violation[] = [];
  for (const run of runs) {
    counts.set(run.id, (counts.get(run.id) ?? 0) + 1);
    const asked = callers.get(run.id);
    if (
      asked === undefined ||
      asked.method !== run.method ||
      asked.target !== run.target ||
      asked.body !== run.body
    )
      found.push({ rule: 'UNASKED', id: run.id, text: run.target });
    if (!mayRun(run.target, run.service))
      found.push({ rule: 'ROUTE', id: run.id, text: `${run.target} ran at ${run.service}` });
  }
  for (const one of callers.values()) {
    const many = counts.get(one.id) ?? 0;
    if (one.method !== 'GET' && many > 1)
      found.push({ rule: 'TWICE', id: one.id, text: `ran ${many} times` });
    found.push(...judgeCaller(one, many > 0));
  }
  return found;
};
