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

/** Answers of the registry's own machine, as its HTTP listener passes them on. */
const passedOn = { status: 200, body: '{"kind":"accepted"}' };
const mebibyte = 1024 * 1024;

const responsesOf = async (
  requests: readonly HttpRequest[],
  answer = passedOn,
  ready = true,
): Promise<string> => {
  const app = createRegistryApp({
    submit: () => Promise.resolve(answer),
    maxConfigurationBytes: mebibyte,
    isReady: () => ready,
    renderMetrics: () => 'switchwheel_example 1\n',
  });
  const listener = await startHttpServer(app, toAddress('127.0.0.1:0'));
  try {
    const texts: string[] = [];
    for (const asked of requests)
      texts.push(responseText(asked, await httpExchange(listener.port(), asked)));
    return texts.join('\n');
  } finally {
    listener.stopAccepting();
  }
};

const sent = (method: string, path: string, body: unknown): HttpRequest => ({
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
const wrongDescription = { ...description, services: [], odd: 1 };
const views = ['description', 'rollouts', 'nodes', 'purges', 'verdicts', 'releases', 'store'];
const accepted: readonly HttpRequest[] = [
  get('/live'),
  get('/ready'),
  get('/metrics'),
  sent('POST', '/v1/origins', { ...origin, release: 'r1', state: 'leaving' }),
  sent('PUT', '/v1/description?id=c1&base=4', description),
  sent('POST', '/v1/check', description),
  sent('POST', '/v1/purges', {
    id: 'c1',
    aims: [{ by: 'all' }, { by: 'tag', tag: 't' }, { by: 'object', path: '/a', host: 'h' }],
  }),
  sent('POST', '/v1/releases', { service: 'clips', target: 'r2', spanMs: 1000 }),
  sent('POST', '/v1/fleet', { fleet: 'f1', stores: ['s1'], voters: ['r1'] }),
  sent('POST', '/v1/electorate', { add: 'r4' }),
  get('/v1/fleet'),
  get('/v1/calls/c1'),
  get('/v1/releases/clips'),
  ...views.map((name) => get(`/v1/${name}`)),
];
const refused: readonly HttpRequest[] = [
  get('/'),
  get('/v1/other'),
  get('/v1/nodes/n1'),
  sent('POST', '/v1/description', description),
  sent('PUT', '/v1/description?id=not%20an%20id', description),
  sent('PUT', '/v1/description?base=x', description),
  sent('PUT', '/v1/description', wrongDescription),
  sent('POST', '/v1/check', wrongDescription),
  sent('POST', '/v1/origins', { ...origin, slots: 0, odd: 1 }),
  sent('POST', '/v1/origins', 'text'),
  sent('POST', '/v1/purges', { aims: [] }),
  sent('POST', '/v1/purges?id=not%20an%20id', { aims: [{ by: 'all' }] }),
  sent('POST', '/v1/purges', { aims: [{ by: 'odd' }] }),
  sent('POST', '/v1/releases', { service: 'clips', target: 'r2', spanMs: 1 }),
  sent('POST', '/v1/fleet', {}),
  sent('POST', '/v1/electorate', { add: 4 }),
];

void test('the HTTP paths of a registry answer as before', async () => {
  matchSnapshot('http-accepted', await responsesOf(accepted));
});

void test('requests that a registry refuses by itself are refused as before', async () => {
  matchSnapshot('http-refused', await responsesOf(refused));
});

void test('failures of the fleet are passed on with their status, and 503 with a time', async () => {
  const texts: string[] = [];
  for (const status of [404, 409, 422, 500, 503, 504])
    texts.push(await responsesOf([get('/v1/fleet')], { status, body: '{"kind":"why"}' }));
  texts.push(await responsesOf([get('/ready')], passedOn, false));
  matchSnapshot('http-failures', texts.join('\n'));
});

void test('the bodies that a registry takes keep their members and checks', () => {
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
