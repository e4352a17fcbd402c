/**
 * The registry's HTTP routes: one handler each, which reads the request, submits it and passes the
 * answer on. What a request does is the state machine's business.
 */

import type Koa from 'koa';
import { type CommandId, isCommandId, isServiceName } from '@switchwheel/types';
import { metricsContentType } from '@switchwheel/runtime';
import type { RegistryPort } from '../registry-port.js';
import { uploadConfiguration } from '../upload-configuration.js';
import {
  baseGenerationOf,
  commandIdOf,
  newCommandId,
  readJson,
  readRequestBody,
} from './parse-request.js';
import {
  bootstrapRequest,
  electorateRequest,
  originAnnouncement,
  purgeRequest,
  rolloutRequest,
} from './request-schemas.js';
import { respondWithError, respondWithResult } from './respond.js';

/** What the handlers need of the registry. */
export interface RouteContext extends Pick<RegistryPort, 'submit' | 'isReady' | 'renderMetrics'> {
  /** The largest configuration that is taken, in bytes. */
  readonly maxConfigurationBytes: number;
}

type Handler = (ctx: Koa.Context, registry: RouteContext) => void | Promise<void>;

/** The views of the store that may be read by name. */
const viewNames: ReadonlySet<string> = new Set([
  'description',
  'rollouts',
  'nodes',
  'purges',
  'verdicts',
  'releases',
  'store',
]);

const getLive: Handler = (ctx) => {
  ctx.body = { live: true };
};

const getReady: Handler = (ctx, { isReady }) => {
  ctx.status = isReady() ? 200 : 503;
  ctx.body = { ready: isReady() };
};

const getMetrics: Handler = (ctx, { renderMetrics }) => {
  ctx.type = metricsContentType;
  ctx.body = renderMetrics();
};

const postOrigin: Handler = async (ctx, { submit }) => {
  const origin = await readRequestBody(ctx, originAnnouncement);
  if (origin !== undefined) respondWithResult(ctx, await submit({ verb: 'announce', origin }));
};

const uploadHandler =
  (mode: 'check' | 'apply'): Handler =>
  async (ctx, { submit, maxConfigurationBytes }) => {
    const id = commandIdOf(ctx);
    const base = baseGenerationOf(ctx);
    if (id === undefined || base === undefined) return;
    const raw = await readJson(ctx, maxConfigurationBytes);
    if (raw === undefined) return;
    const result = await uploadConfiguration(raw, submit, { id, ...base }, mode);
    switch (result.outcome) {
      case 'refused':
        respondWithError(ctx, 'invalid', 'the description is refused whole', result.issues);
        break;
      case 'valid':
        ctx.body = { kind: 'fits', hash: result.hash, routes: result.routeCount };
        break;
      case 'answered':
        respondWithResult(ctx, result);
        break;
    }
  };

const postPurge: Handler = async (ctx, { submit }) => {
  const form = await readRequestBody(ctx, purgeRequest);
  const id = form?.id ?? commandIdOf(ctx);
  if (form !== undefined && id !== undefined)
    respondWithResult(ctx, await submit({ verb: 'purge', id, targets: form.aims }));
};

const postRollout: Handler = async (ctx, { submit }) => {
  const form = await readRequestBody(ctx, rolloutRequest);
  if (form === undefined) return;
  const { id = newCommandId(), service, target, spanMs } = form;
  respondWithResult(ctx, await submit({ verb: 'release', id, service, target, spanMs }));
};

const postFleet: Handler = async (ctx, { submit }) => {
  const form = await readRequestBody(ctx, bootstrapRequest);
  if (form === undefined) return;
  const { id = newCommandId(), fleet, stores, voters } = form;
  respondWithResult(ctx, await submit({ verb: 'bootstrap', id, fleet, stores, voters }));
};

const postElectorate: Handler = async (ctx, { submit }) => {
  const form = await readRequestBody(ctx, electorateRequest);
  if (form === undefined) return;
  const { id = newCommandId(), add, remove } = form;
  respondWithResult(ctx, await submit({ verb: 'electorate', id, add, remove }));
};

const getFleet: Handler = async (ctx, { submit }) => {
  respondWithResult(ctx, await submit({ verb: 'fleet' }));
};

const routes: ReadonlyMap<string, Handler> = new Map([
  ['GET /live', getLive],
  ['GET /ready', getReady],
  ['GET /metrics', getMetrics],
  ['POST /v1/origins', postOrigin],
  ['PUT /v1/description', uploadHandler('apply')],
  ['POST /v1/check', uploadHandler('check')],
  ['POST /v1/purges', postPurge],
  ['POST /v1/releases', postRollout],
  ['POST /v1/fleet', postFleet],
  ['POST /v1/electorate', postElectorate],
  ['GET /v1/fleet', getFleet],
]);

const outcomeHandler =
  (commandId: CommandId): Handler =>
  async (ctx, { submit }) => {
    respondWithResult(ctx, await submit({ verb: 'outcome', id: newCommandId(), commandId }));
  };

const viewHandler =
  (view: string): Handler =>
  async (ctx, { submit }) => {
    respondWithResult(ctx, await submit({ verb: 'view', id: newCommandId(), viewName: view }));
  };

const notFound = (ctx: Koa.Context): void =>
  respondWithError(ctx, 'absent', `nothing answers ${ctx.method} ${ctx.path}`);

/** The handler of a path with a name in it; undefined if there is none. */
const namedHandler = (ctx: Koa.Context): Handler | undefined => {
  const [, version, family, name] = ctx.path.split('/');
  if (version !== 'v1' || ctx.method !== 'GET' || family === undefined) return undefined;
  if (family === 'calls' && isCommandId(name)) return outcomeHandler(name);
  if (family === 'releases' && isServiceName(name)) return viewHandler(`release/${name}`);
  return name === undefined && viewNames.has(family) ? viewHandler(family) : undefined;
};

/** Answers one request. */
export const handleRequest = async (ctx: Koa.Context, registry: RouteContext): Promise<void> => {
  const handler = routes.get(`${ctx.method} ${ctx.path}`) ?? namedHandler(ctx) ?? notFound;
  await handler(ctx, registry);
};
