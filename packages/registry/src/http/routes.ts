/**
 * HTTP routes of the registry. Each handler parses the request, submits it to the state machine and
 * sends the response.
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

/** Dependencies of the handlers. */
export interface RouteContext extends Pick<RegistryPort, 'submit' | 'isReady' | 'renderMetrics'> {
  /** Maximum size of an uploaded configuration. */
  readonly maxConfigurationBytes: number;
}

type Handler = (ctx: Koa.Context, registry: RouteContext) => void | Promise<void>;

/** Views of the store that can be read at `/v1/NAME`. */
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
  const command = await readRequestBody(ctx, purgeRequest);
  const id = command?.id ?? commandIdOf(ctx);
  if (command !== undefined && id !== undefined)
    respondWithResult(ctx, await submit({ verb: 'purge', id, targets: command.aims }));
};

const postRollout: Handler = async (ctx, { submit }) => {
  const command = await readRequestBody(ctx, rolloutRequest);
  if (command === undefined) return;
  const { id = newCommandId(), service, target, spanMs } = command;
  respondWithResult(ctx, await submit({ verb: 'release', id, service, target, spanMs }));
};

const postFleet: Handler = async (ctx, { submit }) => {
  const command = await readRequestBody(ctx, bootstrapRequest);
  if (command === undefined) return;
  const { id = newCommandId(), fleet, stores, voters } = command;
  respondWithResult(ctx, await submit({ verb: 'bootstrap', id, fleet, stores, voters }));
};

const postElectorate: Handler = async (ctx, { submit }) => {
  const command = await readRequestBody(ctx, electorateRequest);
  if (command === undefined) return;
  const { id = newCommandId(), add, remove } = command;
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

/** Returns the handler of a path with a parameter or of a view; undefined if there is none. */
const namedHandler = (ctx: Koa.Context): Handler | undefined => {
  const [, version, family, name] = ctx.path.split('/');
  if (version !== 'v1' || ctx.method !== 'GET' || family === undefined) return undefined;
  if (family === 'calls' && isCommandId(name)) return outcomeHandler(name);
  if (family === 'releases' && isServiceName(name)) return viewHandler(`release/${name}`);
  return name === undefined && viewNames.has(family) ? viewHandler(family) : undefined;
};

/** Handles one request; responds with 404 if no route matches. */
export const handleRequest = async (ctx: Koa.Context, registry: RouteContext): Promise<void> => {
  const handler = routes.get(`${ctx.method} ${ctx.path}`) ?? namedHandler(ctx) ?? notFound;
  await handler(ctx, registry);
};
