/** Rules of requests through a direct edge, judged from the records of origins and callers. */

import { errorResponseFor } from '@switchwheel/types';
import type { ClientReply } from '@switchwheel/routing';
import type { ExecutionRecord } from './origin.js';
import { objectBody } from './origin-client.js';

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
  readonly minRevision: number;
  hasDisconnected: boolean;
  readonly replies: { readonly at: number; readonly reply: ClientReply }[];
}

/** A rule that a request broke. */
export interface Violation {
  readonly rule: RequestRule;
  readonly id: string;
  readonly text: string;
}

/** Statuses that promise that a request has not run and never will. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** How far past its deadline a request may be replied to: one tick. */
const replyMarginMs = 40;

/** The status that a caller is answered with. */
export const statusOf = (reply: ClientReply): number => {
  if (reply.kind === 'failure') return errorResponseFor(reply.errorKind).status;
  return reply.kind === 'cached' ? reply.entry.status : reply.response.status;
};

/** The body that a caller is answered with; empty for a failure. */
export const bodyOf = (reply: ClientReply): string => {
  if (reply.kind === 'failure') return '';
  return (reply.kind === 'cached' ? reply.entry.body : reply.response.body).toString();
};

const checkCaller = (record: CallerRecord, wasExecuted: boolean): readonly Violation[] => {
  const violations: Violation[] = [];
  const add = (rule: RequestRule, text: string): void => {
    violations.push({ rule, id: record.id, text });
  };
  const [firstReply] = record.replies;
  if (record.replies.length > 1) add('MIXED', 'told more than once');
  if (firstReply === undefined) {
    if (!record.hasDisconnected) add('LOST', 'never told');
    return violations;
  }
  if (firstReply.at > record.deadline + replyMarginMs)
    add('LOST', `told ${firstReply.at - record.deadline} ms late`);
  const status = statusOf(firstReply.reply);
  if (record.method !== 'GET' && wasExecuted && notExecutedStatuses.has(status))
    add('REFUSED', `told ${status}`);
  if (firstReply.reply.kind === 'failure' && status === 503 && firstReply.reply.retryAfterMs <= 0)
    add('RETRY', 'not told when to come back');
  if (status === 200) checkBody(record, bodyOf(firstReply.reply), add);
  return violations;
};

const checkBody = (
  record: CallerRecord,
  body: string,
  add: (rule: RequestRule, text: string) => void,
): void => {
  if (record.method !== 'GET') {
    if (body !== `done ${record.id}`) add('MIXED', body);
    return;
  }
  const revision = Number(body.split('@')[1]);
  if (body !== objectBody(record.target, revision)) add('MIXED', body);
  else if (revision < record.minRevision) add('STALE', `${body}, purged at ${record.minRevision}`);
};

/** Judges a run from what the origins wrote down and what the callers got. */
export const checkRequests = (
  callers: ReadonlyMap<string, CallerRecord>,
  executions: readonly ExecutionRecord[],
  mayExecute: (target: string, service: string) => boolean,
): readonly Violation[] => {
  const counts = new Map<string, number>();
  const violations: Violation[] = [];
  for (const execution of executions) {
    counts.set(execution.id, (counts.get(execution.id) ?? 0) + 1);
    const caller = callers.get(execution.id);
    if (
      caller === undefined ||
      caller.method !== execution.method ||
      caller.target !== execution.target ||
      caller.body !== execution.body
    )
      violations.push({ rule: 'UNASKED', id: execution.id, text: execution.target });
    if (!mayExecute(execution.target, execution.service))
      violations.push({
        rule: 'ROUTE',
        id: execution.id,
        text: `${execution.target} ran at ${execution.service}`,
      });
  }
  for (const record of callers.values()) {
    const executionCount = counts.get(record.id) ?? 0;
    if (record.method !== 'GET' && executionCount > 1)
      violations.push({ rule: 'TWICE', id: record.id, text: `ran ${executionCount} times` });
    violations.push(...checkCaller(record, executionCount > 0));
  }
  return violations;
};
