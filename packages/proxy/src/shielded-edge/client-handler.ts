/**
 * Client requests at an edge that forwards to shields: reads requests with their bodies, passes them to the request
 * handler and writes its replies with Koa.
 */

import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import type Koa from 'koa';
import type { Failure } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { CompiledRoute } from '@switchwheel/configuration';
import {
  type ClientRequest,
  type ClientConnection,
  type EdgeRequestHandler,
  type ClientStream,
  type Reply,
} from '@switchwheel/proxy-core';
import { readBody } from '@switchwheel/runtime';
import { headerFieldsOf } from '../http/header-fields.js';
import { sendCachedResponse, sendResponse } from './response.js';
import { closeAfterResponse, sendErrorResponse } from './error-response.js';

const maxBodyBytes = 1024 * 1024;
const streamBufferBytes = 256 * 1024;

const sendReply = (ctx: Koa.Context, reply: Reply): void => {
  switch (reply.kind) {
    case 'failure':
      sendErrorResponse(ctx, reply.errorKind, reply.text, reply.retryAfterMs);
      if (reply.allowedMethods === undefined) break;
      ctx.set('allow', reply.allowedMethods.join(', '));
      ctx.status = 405;
      break;
    case 'cached':
      sendCachedResponse(ctx, reply.entry, reply.servedAt, reply.source);
      break;
    case 'complete':
      sendResponse(ctx, reply.status, reply.fields, reply.body, reply.source);
      break;
  }
};

/** Starts a streamed response; `onWritable` is called when the next chunk can be written. */
const openStream = (
  ctx: Koa.Context,
  status: number,
  fields: HeaderFields,
  length: number | undefined,
): ClientStream => {
  const stream = new PassThrough({ highWaterMark: streamBufferBytes });
  stream.on('error', () => undefined);
  ctx.status = status;
  for (const [name, value] of fields) ctx.append(name, value);
  ctx.body = stream;
  if (length !== undefined) ctx.length = length;
  return {
    write: (bytes, onWritable) => {
      if (stream.write(bytes)) onWritable();
      else stream.once('drain', onWritable);
    },
    end: () => stream.end(),
    abort: (reason) => stream.destroy(new Error(reason)),
  };
};

/** Whether a message has both a length and a transfer coding, which allows request smuggling (RFC 9112, section 6.1). */
const isAmbiguous = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined && headers['content-length'] !== undefined;

const rejectBody = (edge: EdgeRequestHandler, ctx: Koa.Context, { kind, text }: Failure): void => {
  closeAfterResponse(ctx);
  edge.count(`fault_${kind}`);
  sendErrorResponse(ctx, kind, text, 0);
};

/** Serves a request; resolves once its response has started. */
const serveRequest = (
  edge: EdgeRequestHandler,
  ctx: Koa.Context,
  route: CompiledRoute,
  request: ClientRequest,
): Promise<void> =>
  new Promise<void>((resolve) => {
    const client: ClientConnection = {
      reply: (reply) => {
        sendReply(ctx, reply);
        resolve();
      },
      startStream: (status, fields, length) => {
        const stream = openStream(ctx, status, fields, length);
        resolve();
        return stream;
      },
    };
    const cancel = edge.serve(route, request, client);
    ctx.res.once('close', () => {
      if (!ctx.res.writableFinished) cancel();
    });
  });

/** Handles a client's request from its head until its response has started. */
export const handleClientRequest = async (
  edge: EdgeRequestHandler,
  ctx: Koa.Context,
): Promise<void> => {
  if (isAmbiguous(ctx.req)) {
    closeAfterResponse(ctx);
    edge.count('fault_malformed');
    sendErrorResponse(ctx, 'malformed', 'both a length and a transfer coding', 0);
    return;
  }
  const target = ctx.req.url ?? '/';
  const host = ctx.get('host').toLowerCase();
  const match = edge.findRoute(ctx.method, host, target);
  if ('failure' in match) {
    if (match.failure.errorKind === 'malformed') closeAfterResponse(ctx);
    sendReply(ctx, match.failure);
    return;
  }
  const body = await readBody(ctx.req, maxBodyBytes);
  if (body.isErr) {
    rejectBody(edge, ctx, body.error);
    return;
  }
  await serveRequest(edge, ctx, match.route, {
    method: ctx.method,
    host,
    target,
    fields: headerFieldsOf(ctx.req),
    body: body.value,
    remoteAddress: ctx.req.socket.remoteAddress ?? 'unknown',
  });
};
