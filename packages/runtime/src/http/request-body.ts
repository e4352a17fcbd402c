import type { IncomingMessage } from 'node:http';
import { type Result, err, ok } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';

/** Reads a whole body, up to a size. */
export const readBody = async (
  request: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, Failure>> => {
  const told = Number(request.headers['content-length'] ?? 0);
  if (told > limit) return err(failure('oversized', `a body of at most ${limit} bytes`));
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of request) {
      if (!Buffer.isBuffer(part)) continue;
      size += part.length;
      if (size > limit) return err(failure('oversized', `a body of at most ${limit} bytes`));
      parts.push(part);
    }
  } catch {
    return err(failure('malformed', 'the body broke off'));
  }
  return ok(Buffer.concat(parts));
};
