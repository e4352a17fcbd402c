/** Requests of callers and their results, and the assembly of streamed results. */

import type { ErrorKind } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { ClientStream, Reply } from '@switchwheel/proxy-core';
import type { SimulatedProcess } from '../world/process.js';
import { parseObjectContent } from './object-content.js';

/** Final result of a request, as its caller sees it. */
export interface CallerResult {
  /** A response, an error kind, or `broken` for a response that was visibly truncated. */
  readonly kind: 'result' | 'broken' | ErrorKind;
  readonly text: string;
  readonly status: number;
  readonly revision: number;
  /** Path of the object in the body; empty if the body is not valid object content. */
  readonly object: string;
  /** Id of the request that the origin executed for this body. */
  readonly request: string;
  /** Virtual time at which the origin created the body. */
  readonly createdAt: number;
  readonly source: string;
  readonly retryAfterMs: number;
}

/** A client request in the simulation. */
export interface SimulatedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly fields: HeaderFields;
}

/** Result of a request that got no complete response. */
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

/** Result of a complete response, with the metadata parsed from its body. */
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

/** Converts a reply that is not streamed to the caller's result. */
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

/** Client stream that collects a streamed response and detects truncation. */
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
      // The response is complete once all announced bytes have arrived.
      if (length !== undefined && received().length >= length)
        end(completeResult(status, received().subarray(0, length), 'stream'));
      edgeProcess.schedule(edgeProcess.context.random.uniform(0.1, 5), requestMore);
    },
    end: () =>
      end(
        length === undefined
          ? completeResult(status, received(), 'stream')
          : failedResult('broken', 'response body shorter than its content-length'),
      ),
    abort: (reason) => end(failedResult('broken', reason)),
  };
};
