import { PassThrough } from 'node:stream';
import type Koa from 'koa';
import type { Fields } from '@switchwheel/transport';
import {
  type Call,
  type Caller,
  type EdgeLine,
  type Spout,
  type Told,
} from '@switchwheel/proxy-core';
import { readBody } from '@switchwheel/runtime';
import { sendEntry, sendWhole } from './answer.js';
import { closeAfter, sendFault } from './faults.js';

const bodyLimit = 1024 * 1024;

const requestFields = (ctx: Koa.Context): Fields => {
  const raw = ctx.req.rawHeaders;
  const out: Fields = [];
  for (let at = 0; at + 1 < raw.length; at += 2)
    out.push([(raw[at] ?? '').toLowerCase(), raw[at + 1] ?? '']);
  return out;
};

const send = (ctx: Koa.Context, told: Told): void => {
  switch (told.kind) {
    case 'fault':
      sendFault(ctx, told.fault, told.text, told.retryMs);
      if (told.allow === undefined) break;
      ctx.set('allow', told.allow.join(', '));
      ctx.status = 405;
      break;
    case 'entry':
      sendEntry(ctx, told.entry, told.at, told.from);
      break;
    case 'whole':
      sendWhole(ctx, told.status, told.fields, told.body, told.from);
      break;
  }
};

/** Opens the result's channel to the caller for parts. */
const openStream = (
  ctx: Koa.Context,
  status: number,
  fields: Fields,
  length: number | undefined,
): Spout => {
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
    snap: (why) => stream.destroy(new Error(why)),
  };
};

/** Takes a caller's request at the door, with its body, and answers it. */
export const serveCaller = async (edge: EdgeLine, ctx: Koa.Context): Promise<void> => {
  if (
    ctx.req.headers['transfer-encoding'] !== undefined &&
    ctx.req.headers['content-length'] !== undefined
  ) {
    closeAfter(ctx);
    edge.bump('fault_malformed');
    sendFault(ctx, 'malformed', 'both a length and a transfer coding', 0);
    return;
  }
  const target = ctx.req.url ?? '/';
  const host = ctx.get('host').toLowerCase();
  const found = edge.enter(ctx.method, host, target);
  if ('told' in found) {
    if (found.told.fault === 'malformed') closeAfter(ctx);
    send(ctx, found.told);
    return;
  }
  const body = await readBody(ctx.req, bodyLimit);
  if (body.isErr) {
    closeAfter(ctx);
    edge.bump(`fault_${body.error.kind}`);
    sendFault(ctx, body.error.kind, body.error.text, 0);
    return;
  }
  const call: Call = {
    method: ctx.method,
    host,
    target,
    fields: requestFields(ctx),
    body: body.value,
    remote: ctx.req.socket.remoteAddress ?? 'unknown',
  };
  await new Promise<void>((done) => {
    const caller: Caller = {
      tell: (told) => {
        send(ctx, told);
        done();
      },
      stream: (status, fields, length) => {
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
