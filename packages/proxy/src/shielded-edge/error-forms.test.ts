/** Guards the responses of an edge that forwards to shields against unintended changes. */

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
  const server = await startHttpServer(app, toAddress('127.0.0.1:0'));
  try {
    const responses: string[] = [];
    for (const path of paths) {
      const request = { method: 'GET', path };
      responses.push(responseText(request, await httpExchange(server.port(), request)));
    }
    return responses.join('\n');
  } finally {
    server.stopAccepting();
  }
};

void test('the response to each error kind matches the snapshot, with and without a retry delay', async () => {
  const app = new Koa();
  app.use((ctx) => {
    const [, name, retryMs] = ctx.path.split('/');
    const kind = errorKinds.find((candidate) => candidate === name);
    if (kind !== undefined) sendErrorResponse(ctx, kind, 'why', Number(retryMs));
    if (kind === 'malformed') closeAfterResponse(ctx);
  });
  const paths = errorKinds.flatMap((kind) => [`/${kind}/0`, `/${kind}/1500`]);
  matchSnapshot('error-responses', await responsesOf(app, paths));
});

void test('a complete response with its origin headers and source matches the snapshot', async () => {
  const app = new Koa();
  app.use((ctx) => {
    const status = Number(ctx.path.slice(1));
    sendResponse(ctx, status, [['x-origin', 'kept']], Buffer.from('body'), 'origin');
  });
  matchSnapshot('whole-responses', await responsesOf(app, ['/200', '/204', '/304', '/404']));
});
