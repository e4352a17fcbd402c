/** Rules of requests through a direct edge, checked on the records of origins and callers. */

import { errorResponseFor } from '@switchwheel/types';
import type { ClientReply } from '@switchwheel/routing';
import type { ExecutionRecord } from './origin.js';
import { objectBody } from './origin-client.js';

/** Name of a violation of the rules of requests. */
export type RequestRule =
  | 'executed twice'
  | 'rejected after execution'
  | 'wrong response'
  | 'unknown request'
  | 'wrong service'
  | 'no timely reply'
  | 'stale response'
  | 'missing retry-after';

/** A request and the replies that its caller got. */
export interface CallerRecord {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly sentAt: number;
  readonly deadline: number;
  /** Revision of the object at the last purge before the request. */
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

/** Statuses that mean that a request has not been executed and will not be. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Tolerated delay of a reply past the deadline: about one tick. */
const replyMarginMs = 40;

/** Response status that a reply gives the caller. */
export const statusOf = (reply: ClientReply): number => {
  if (reply.kind === 'failure') return errorResponseFor(reply.errorKind).status;
  return reply.kind === 'cached' ? reply.entry.status : reply.response.status;
};

/** Response body that a reply gives the caller; empty for a failure. */
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
  if (record.replies.length > 1) add('wrong response', 'more than one reply');
  if (firstReply === undefined) {
    if (!record.hasDisconnected) add('no timely reply', 'no reply');
    return violations;
  }
  if (firstReply.at > record.deadline + replyMarginMs)
    add('no timely reply', `replied ${firstReply.at - record.deadline} ms late`);
  const status = statusOf(firstReply.reply);
  if (record.method !== 'GET' && wasExecuted && notExecutedStatuses.has(status))
    add('rejected after execution', `replied ${status}`);
  if (firstReply.reply.kind === 'failure' && status === 503 && firstReply.reply.retryAfterMs <= 0)
    add('missing retry-after', 'status 503 without retry-after');
  if (status === 200) checkBody(record, bodyOf(firstReply.reply), add);
  return violations;
};

const checkBody = (
  record: CallerRecord,
  body: string,
  add: (rule: RequestRule, text: string) => void,
): void => {
  if (record.method !== 'GET') {
    if (body !== `done ${record.id}`) add('wrong response', body);
    return;
  }
  const revision = Number(body.split('@')[1]);
  if (body !== objectBody(record.target, revision)) add('wrong response', body);
  else if (revision < record.minRevision)
    add('stale response', `served ${body}, purged at revision ${record.minRevision}`);
};

/** Checks the records of a run. `mayExecute` decides whether a service may execute a target. */
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
      violations.push({ rule: 'unknown request', id: execution.id, text: execution.target });
    if (!mayExecute(execution.target, execution.service))
      violations.push({
        rule: 'wrong service',
        id: execution.id,
        text: `${execution.target} was executed by service ${execution.service}`,
      });
  }
  for (const record of callers.values()) {
    const executionCount = counts.get(record.id) ?? 0;
    if (record.method !== 'GET' && executionCount > 1)
      violations.push({
        rule: 'executed twice',
        id: record.id,
        text: `executed ${executionCount} times`,
      });
    violations.push(...checkCaller(record, executionCount > 0));
  }
  return violations;
};
