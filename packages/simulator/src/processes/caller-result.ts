/** What callers of a simulated fleet send and get, and how a result that comes in parts is put together. */

import type { ErrorKind } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { ClientStream, Reply } from '@switchwheel/proxy-core';
import type { SimulatedProcess } from '../world/process.js';
import { parseObjectContent } from './object-content.js';

/** What a caller gets in the end. */
export interface CallerResult {
  /** A result, a fault by its kind, or one that visibly broke off. */
  readonly kind: 'result' | 'broken' | ErrorKind;
  readonly text: string;
  readonly status: number;
  readonly revision: number;
  /** The object that the result says it is; empty if its bytes are nobody's. */
  readonly object: string;
  /** The request that the origin says it answers. */
  readonly request: string;
  /** When its origin made it. */
  readonly createdAt: number;
  readonly source: string;
  readonly retryAfterMs: number;
}

/** A request as it goes through the simulation. */
export interface SimulatedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly fields: HeaderFields;
}

/** A request that got no whole result. */
export const failedResult = (
  kind: 'broken' | ErrorKind,
  text: string,
  retryAfterMs = 0,
): CallerResult => ({
  kind,
  text,
  status: 0,
  revision: -1,
  object: '',
  request: '',
  createdAt: 0,
  source: '',
  retryAfterMs,
});

/** A whole result; what its bytes say of themselves is read from them. */
const completeResult = (status: number, body: Buffer, source: string): CallerResult => {
  const content = status === 200 ? parseObjectContent(body) : undefined;
  return {
    kind: 'result',
    text: '',
    status,
    revision: content?.revision ?? -1,
    object: content?.object ?? '',
    request: content?.request ?? '',
    createdAt: content?.createdAt ?? 0,
    source,
    retryAfterMs: 0,
  };
};

/** What a caller makes of a reply that comes whole. */
export const toCallerResult = (reply: Reply): CallerResult => {
  switch (reply.kind) {
    case 'failure':
      return failedResult(reply.errorKind, reply.text, reply.retryAfterMs);
    case 'cached':
      return completeResult(reply.entry.status, reply.entry.body, reply.source);
    case 'complete':
      return completeResult(reply.status, reply.body, reply.source);
  }
};

/** A caller that takes a result in parts, and sees whether it is all there. */
export const streamToCaller = (
  edgeProcess: SimulatedProcess,
  status: number,
  length: number | undefined,
  onResult: (result: CallerResult) => void,
): ClientStream => {
  const chunks: Buffer[] = [];
  let hasEnded = false;
  const end = (result: CallerResult): void => {
    if (!hasEnded) onResult(result);
    hasEnded = true;
  };
  const received = (): Buffer => Buffer.concat(chunks);
  return {
    write: (bytes, requestMore) => {
      chunks.push(bytes);
      // Once all the announced bytes are there a result counts as whole, whatever comes after.
      if (length !== undefined && received().length >= length)
        end(completeResult(status, received().subarray(0, length), 'stream'));
      edgeProcess.schedule(edgeProcess.context.random.uniform(0.1, 5), requestMore);
    },
    end: () =>
      end(
        length === undefined
          ? completeResult(status, received(), 'stream')
          : failedResult('broken', 'shorter than told'),
      ),
    abort: (reason) => end(failedResult('broken', reason)),
  };
};
