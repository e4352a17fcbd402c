/** Reading of request bodies with a size limit. */

import type { IncomingMessage } from 'node:http';
import { type Result, err, ok } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';

/**
 * Reads a whole body of at most `maxBytes`. Fails as `oversized` as soon as the declared or received
 * length exceeds the limit, and as `malformed` if the client aborts the request.
 */
export const readBody = async (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Failure>> => {
  const oversized = (): Result<Buffer, Failure> =>
    err(failure('oversized', `a body of at most ${maxBytes} bytes`));
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) return oversized();
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  try {
    for await (const chunk of request) {
      if (!Buffer.isBuffer(chunk)) continue;
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes) return oversized();
      chunks.push(chunk);
    }
  } catch {
    return err(failure('malformed', 'the body broke off'));
  }
  return ok(Buffer.concat(chunks));
};
