/** The error responses of an edge that forwards to shields keep their forms. */

import { test } from 'node:test';
import Koa from 'koa';
import { errorKinds, toAddress } from '@switchwheel/types';
import { httpExchange, responseText, snapshotsFor } from '@switchwheel/types/testing';
import { startHttpServer } from '@switchwheel/runtime';
import { sendResponse } from './response.js';
import { closeAfterResponse, sendErrorResponse } from './error-response.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

const responsesOf = async (app: Koa, paths: readonly string[]): Promise<string> => {
  app.silent = true;
  const listener = await startHttpServer(app, toAddress('127.0.0.1:0'));
  try {
    const texts: string[] = [];
    for (const path of paths) {
      const asked = { method: 'GET', path };
      texts.push(responseText(asked, await httpExchange(listener.port(), asked)));
    }
    return texts.join('\n');
  } finally {
    listener.stopAccepting();
  }
};

void test('a caller is told each error kind as before, with and without a time to come back', async () => {
  const app = new Koa();
  app.use((ctx) => {
    const [, name, retryMs] = ctx.path.split('/');
    const kind = errorKinds.find((one) => one === name);
    if (kind !== undefined) sendErrorResponse(ctx, kind, 'why', Number(retryMs));
    if (kind === 'malformed') closeAfterResponse(ctx);
  });
  const paths = errorKinds.flatMap((kind) => [`/${kind}/0`, `/${kind}/1500`]);
  matchSnapshot('error-responses', await responsesOf(app, paths));
});

void test('a whole result is told with its own headers and where it came from', async () => {
  const app = new Koa();
  app.use((ctx) => {
    const status = Number(ctx.path.slice(1));
    sendResponse(ctx, status, [['x-origin', 'kept']], Buffer.from('body'), 'origin');
  });
  matchSnapshot('whole-responses', await responsesOf(app, ['/200', '/204', '/304', '/404']));
});
