/** Sends one request to an edge and reports its outcome. */

import { type Agent, type IncomingMessage, request } from 'node:http';
import { objectBytes } from '../origin/content.js';
import type { PlannedRequest } from './planned-request.js';
import type { RequestOutcome } from './request-record.js';

/** Maximum time without socket activity before the client aborts the request. */
const idleTimeoutMs = 15_000;
/** Length of the prefix of an object that is searched for its revision. */
const revisionPrefixBytes = 200;

const brokenOutcome = (status: number): RequestOutcome => ({
  status,
  outcome: 'broken',
  answeredBy: '',
  bodyMatches: 'no',
  revision: undefined,
  reason: '',
});

const failedOutcome = (error: Error & { readonly code?: string }): RequestOutcome => ({
  ...brokenOutcome(0),
  outcome: error.code === 'ECONNREFUSED' ? 'closed' : 'broken',
  bodyMatches: 'unread',
});

/** Determines the outcome of a complete response. */
const outcomeOf = (
  planned: PlannedRequest,
  response: IncomingMessage,
  body: Buffer,
): RequestOutcome => {
  const status = response.statusCode ?? 0;
  const kind = response.headers['switchwheel-kind'];
  const answeredBy = String(response.headers['switchwheel-from'] ?? '');
  if (typeof kind === 'string') {
    const reason = /"text":"([^"]*)"/.exec(body.toString())?.[1] ?? '';
    return {
      status,
      outcome: kind,
      answeredBy,
      bodyMatches: 'unread',
      revision: undefined,
      reason,
    };
  }
  const outcome = status < 400 ? 'result' : `status${status}`;
  if (planned.traffic.unsafe) {
    const isComplete = body.toString().includes(planned.id) || status >= 400;
    const bodyMatches = isComplete ? 'yes' : 'no';
    return { status, outcome, answeredBy, bodyMatches, revision: undefined, reason: '' };
  }
  const firstLine = body.subarray(0, revisionPrefixBytes).toString();
  const revision = Number(/ r(\d+)\n/.exec(firstLine)?.[1] ?? NaN);
  const isExpected =
    status !== 200 || body.equals(objectBytes(planned.path, revision, planned.size));
  return {
    status,
    outcome,
    answeredBy,
    bodyMatches: isExpected ? 'yes' : 'no',
    revision: Number.isNaN(revision) ? undefined : revision,
    reason: '',
  };
};

/** Sends a request to `host:port`; calls `onEnd` exactly once. */
export const sendRequest = (
  address: string,
  agent: Agent,
  planned: PlannedRequest,
  onEnd: (outcome: RequestOutcome) => void,
): void => {
  const { body } = planned;
  const [host, port] = address.split(':');
  let hasEnded = false;
  const end = (outcome: RequestOutcome): void => {
    if (hasEnded) return;
    hasEnded = true;
    onEnd(outcome);
  };
  const outgoing = request(
    {
      host,
      port: Number(port),
      path: `${planned.path}${planned.query}`,
      method: planned.traffic.method,
      agent,
      headers: {
        host: 'callers.test',
        'x-request-id': planned.id,
        ...(body === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': body.length }),
      },
    },
    (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('aborted', () => end(brokenOutcome(response.statusCode ?? 0)));
      response.on('error', () => end(brokenOutcome(response.statusCode ?? 0)));
      response.on('end', () => end(outcomeOf(planned, response, Buffer.concat(chunks))));
    },
  );
  outgoing.setTimeout(idleTimeoutMs, () => outgoing.destroy());
  outgoing.on('error', (error: Error & { code?: string }) => end(failedOutcome(error)));
  outgoing.end(body);
};
