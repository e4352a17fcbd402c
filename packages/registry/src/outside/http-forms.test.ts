/** Guards the responses of the registry's HTTP interface, recorded in `fixtures/`. */

import { test } from 'node:test';
import { toAddress } from '@switchwheel/types';
import {
  type HttpRequest,
  httpExchange,
  responseText,
  schemaLines,
  snapshotsFor,
} from '@switchwheel/types/testing';
import { startHttpServer } from '@switchwheel/runtime';
import { createRegistryApp } from '../http/app.js';
import {
  originAnnouncement,
  electorateRequest,
  bootstrapRequest,
  purgeRequest,
  rolloutRequest,
} from '../http/request-schemas.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

/** Response of the registry's state machine. */
const acceptedResponse = { status: 200, body: '{"kind":"accepted"}' };
const mebibyte = 1024 * 1024;

const responsesOf = async (
  requests: readonly HttpRequest[],
  response = acceptedResponse,
  isReady = true,
): Promise<string> => {
  const app = createRegistryApp({
    submit: () => Promise.resolve(response),
    maxConfigurationBytes: mebibyte,
    isReady: () => isReady,
    renderMetrics: () => 'switchwheel_example 1\n',
  });
  const listener = await startHttpServer(app, toAddress('127.0.0.1:0'));
  try {
    const texts: string[] = [];
    for (const request of requests)
      texts.push(responseText(request, await httpExchange(listener.port(), request)));
    return texts.join('\n');
  } finally {
    listener.stopAccepting();
  }
};

const jsonRequest = (method: string, path: string, body: unknown): HttpRequest => ({
  method,
  path,
  headers: { 'content-type': 'application/json' },
  body: JSON.stringify(body),
});
const get = (path: string): HttpRequest => ({ method: 'GET', path });

const origin = { service: 'clips', instance: 'i1', address: '127.0.0.1:9', slots: 4 };
const description = {
  format: 1,
  classes: [{ name: 'play', share: 1 }],
  services: [{ name: 'clips' }],
  routes: [{ name: 'clip', prefix: '/clips/', service: 'clips', class: 'play' }],
};
const invalidDescription = { ...description, services: [], odd: 1 };
const views = ['description', 'rollouts', 'nodes', 'purges', 'verdicts', 'releases', 'store'];
const accepted: readonly HttpRequest[] = [
  get('/live'),
  get('/ready'),
  get('/metrics'),
  jsonRequest('POST', '/v1/origins', { ...origin, release: 'r1', state: 'leaving' }),
  jsonRequest('PUT', '/v1/description?id=c1&base=4', description),
  jsonRequest('POST', '/v1/check', description),
  jsonRequest('POST', '/v1/purges', {
    id: 'c1',
    aims: [{ by: 'all' }, { by: 'tag', tag: 't' }, { by: 'object', path: '/a', host: 'h' }],
  }),
  jsonRequest('POST', '/v1/releases', { service: 'clips', target: 'r2', spanMs: 1000 }),
  jsonRequest('POST', '/v1/fleet', { fleet: 'f1', stores: ['s1'], voters: ['r1'] }),
  jsonRequest('POST', '/v1/electorate', { add: 'r4' }),
  get('/v1/fleet'),
  get('/v1/calls/c1'),
  get('/v1/releases/clips'),
  ...views.map((name) => get(`/v1/${name}`)),
];
const refused: readonly HttpRequest[] = [
  get('/'),
  get('/v1/other'),
  get('/v1/nodes/n1'),
  jsonRequest('POST', '/v1/description', description),
  jsonRequest('PUT', '/v1/description?id=not%20an%20id', description),
  jsonRequest('PUT', '/v1/description?base=x', description),
  jsonRequest('PUT', '/v1/description', invalidDescription),
  jsonRequest('POST', '/v1/check', invalidDescription),
  jsonRequest('POST', '/v1/origins', { ...origin, slots: 0, odd: 1 }),
  jsonRequest('POST', '/v1/origins', 'text'),
  jsonRequest('POST', '/v1/purges', { aims: [] }),
  jsonRequest('POST', '/v1/purges?id=not%20an%20id', { aims: [{ by: 'all' }] }),
  jsonRequest('POST', '/v1/purges', { aims: [{ by: 'odd' }] }),
  jsonRequest('POST', '/v1/releases', { service: 'clips', target: 'r2', spanMs: 1 }),
  jsonRequest('POST', '/v1/fleet', {}),
  jsonRequest('POST', '/v1/electorate', { add: 4 }),
];

void test('the registry responds to valid requests in the recorded form', async () => {
  matchSnapshot('http-accepted', await responsesOf(accepted));
});

void test('the registry rejects invalid requests in the recorded form', async () => {
  matchSnapshot('http-refused', await responsesOf(refused));
});

void test('the registry passes on failures with their status, and 503 with a retry-after header', async () => {
  const texts: string[] = [];
  for (const status of [404, 409, 422, 500, 503, 504])
    texts.push(await responsesOf([get('/v1/fleet')], { status, body: '{"kind":"why"}' }));
  texts.push(await responsesOf([get('/ready')], acceptedResponse, false));
  matchSnapshot('http-failures', texts.join('\n'));
});

void test('request bodies of the registry have the recorded members and checks', () => {
  const bodies: readonly (readonly [string, unknown])[] = [
    ['POST /v1/origins', originAnnouncement],
    ['POST /v1/purges', purgeRequest],
    ['POST /v1/fleet', bootstrapRequest],
    ['POST /v1/electorate', electorateRequest],
    ['POST /v1/releases', rolloutRequest],
  ];
  const lines = bodies.map(([name, schema]) => `${name}\n${schemaLines(schema, 'body')}`);
  matchSnapshot('http-bodies', lines.join('\n\n'));
});
