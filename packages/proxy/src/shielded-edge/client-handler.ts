import { PassThrough } from 'node:stream';
import type Koa from 'koa';
import type { HeaderFields } from '@switchwheel/transport';
import {
  type ClientRequest,
  type ClientConnection,
  type EdgeRequestHandler,
  type ClientStream,
  type Reply,
} from '@switchwheel/proxy-core';
import { readBody } from '@switchwheel/runtime';
import { sendCachedResponse, sendResponse } from './response.js';
import { closeAfterResponse, sendErrorResponse } from './error-response.js';

const maxBodyBytes = 1024 * 1024;

const requestFields = (ctx: Koa.Context): HeaderFields => {
  const raw = ctx.req.rawHeaders;
  const out: HeaderFields = [];
  for (let at = 0; at + 1 < raw.length; at += 2)
    out.push([(raw[at] ?? '').toLowerCase(), raw[at + 1] ?? '']);
  return out;
};

const sendReply = (ctx: Koa.Context, told: Reply): void => {
  switch (told.kind) {
    case 'failure':
      sendErrorResponse(ctx, told.errorKind, told.text, told.retryMs);
      if (told.allowedMethods === undefined) break;
      ctx.set('allow', told.allowedMethods.join(', '));
      ctx.status = 405;
      break;
    case 'cached':
      sendCachedResponse(ctx, told.entry, told.servedAt, told.source);
      break;
    case 'complete':
      sendResponse(ctx, told.status, told.fields, told.body, told.source);
      break;
  }
};

/** Opens the result's channel to the caller for parts. */
const openStream = (
  ctx: Koa.Context,
  status: number,
  fields: HeaderFields,
  length: number | undefined,
): ClientStream => {
  const stream = new PassThrough({ highWaterMark: 256 * 1024 });
  stream.on('error', () => undefined);
  ctx.status = status;
  for (const [name, value] of fields) ctx.append(name, value);
  ctx.body = stream;
  if (length !== undefined) ctx.length = length;
  return {
    write: (bytes, more) => {
      if (stream.write(bytes)) more();
      else stream.once('drain', more);
    },
    end: () => stream.end(),
    abort: (why) => stream.destroy(new Error(why)),
  };
};

/** Takes a caller's request at the door, with its body, and answers it. */
export const handleClientRequest = async (
  edge: EdgeRequestHandler,
  ctx: Koa.Context,
): Promise<void> => {
  if (
    ctx.req.headers['transfer-encoding'] !== undefined &&
    ctx.req.headers['content-length'] !== undefined
  ) {
    closeAfterResponse(ctx);
    edge.count('fault_malformed');
    sendErrorResponse(ctx, 'malformed', 'both a length and a transfer coding', 0);
    return;
  }
  const target = ctx.req.url ?? '/';
  const host = ctx.get('host').toLowerCase();
  const found = edge.findRoute(ctx.method, host, target);
  if ('told' in found) {
    if (found.told.errorKind === 'malformed') closeAfterResponse(ctx);
    sendReply(ctx, found.told);
    return;
  }
  const body = await readBody(ctx.req, maxBodyBytes);
  if (body.isErr) {
    closeAfterResponse(ctx);
    edge.count(`fault_${body.error.kind}`);
    sendErrorResponse(ctx, body.error.kind, body.error.text, 0);
    return;
  }
  const call: ClientRequest = {
    method: ctx.method,
    host,
    target,
    fields: requestFields(ctx),
    body: body.value,
    remoteAddress: ctx.req.socket.remoteAddress ?? 'unknown',
  };
  await new Promise<void>((done) => {
    const caller: ClientConnection = {
      reply: (told) => {
        sendReply(ctx, told);
        done();
      },
      startStream: (status, fields, length) => {
        const spout = openStream(ctx, status, fields, length);
        done();
        return spout;
      },
    };
    const leave = edge.serve(found.track, call, caller);
    ctx.res.once('close', () => {
      if (!ctx.res.writableFinished) leave();
    });
  });
};
