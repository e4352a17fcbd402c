import { randomUUID } from 'node:crypto';
import Koa from 'koa';
import * as v from 'valibot';
import {
  type CommandId,
  type Generation,
  type Hash,
  type ErrorKind,
  isCommandId,
  isGeneration,
  isServiceName,
  noGeneration,
  errorResponseFor,
  toCommandId,
} from '@switchwheel/types';
import {
  type ValidationIssue,
  buildConfiguration,
  splitIntoChunks,
  parseCollecting,
} from '@switchwheel/configuration';
import type { ExternalRequest } from '@switchwheel/membership';
import { runTimeSliced, metricsContentType, readBody } from '@switchwheel/runtime';
import {
  originAnnouncement,
  electorateRequest,
  bootstrapRequest,
  purgeRequest,
  rolloutRequest,
} from './request-schemas.js';

/** Hands a call to the machine; settles with its answer. */
export type SubmitRequest = (
  call: ExternalRequest,
) => Promise<{ readonly status: number; readonly body: string }>;

const viewNames: ReadonlySet<string> = new Set([
  'description',
  'rollouts',
  'nodes',
  'purges',
  'verdicts',
  'releases',
  'store',
]);
const maxFormBytes = 4 * 1024 * 1024;

const respondWithError = (
  ctx: Koa.Context,
  kind: ErrorKind,
  text: string,
  faults?: readonly ValidationIssue[],
): void => {
  const told = errorResponseFor(kind);
  ctx.status = told.status;
  if (told.retryAfter !== undefined) ctx.set('retry-after', String(told.retryAfter));
  ctx.body = { kind, text, ...(faults === undefined ? {} : { faults }) };
};

const readJson = async (ctx: Koa.Context, limit: number): Promise<unknown> => {
  const body = await readBody(ctx.req, limit);
  if (body.isErr) {
    ctx.set('connection', 'close');
    respondWithError(ctx, body.error.kind, body.error.text);
    return undefined;
  }
  try {
    const raw: unknown = JSON.parse(body.value.toString('utf8'));
    return raw;
  } catch (problem) {
    respondWithError(
      ctx,
      'malformed',
      `not JSON: ${problem instanceof Error ? problem.message : 'unreadable'}`,
    );
    return undefined;
  }
};

const readRequestBody = async <T>(
  ctx: Koa.Context,
  schema: v.GenericSchema<unknown, T>,
): Promise<T | undefined> => {
  const raw = await readJson(ctx, maxFormBytes);
  if (raw === undefined) return undefined;
  const faults: ValidationIssue[] = [];
  const form = parseCollecting(schema, raw, '', faults);
  if (form === undefined) respondWithError(ctx, 'invalid', 'the request is refused whole', faults);
  return form;
};

const commandIdOf = (ctx: Koa.Context): CommandId | undefined => {
  const raw = ctx.query['id'];
  if (raw === undefined) return toCommandId(randomUUID());
  if (isCommandId(raw)) return raw;
  respondWithError(ctx, 'malformed', 'id: at most 128 plain signs');
  return undefined;
};

const baseOf = (ctx: Koa.Context): { readonly base: Generation | undefined } | undefined => {
  const raw = ctx.query['base'];
  if (raw === undefined) return { base: undefined };
  const base = typeof raw === 'string' && /^\d+$/.test(raw) ? Number(raw) : undefined;
  if (isGeneration(base)) return { base };
  respondWithError(ctx, 'malformed', 'base: a generation');
  return undefined;
};

const respondWithResult = (
  ctx: Koa.Context,
  result: { readonly status: number; readonly body: string },
): void => {
  ctx.status = result.status;
  if (result.status === 503) ctx.set('retry-after', '1');
  ctx.type = 'application/json';
  ctx.body = result.body;
};

/** A call of an operator with a whole description. */
export interface ConfigurationUpload {
  readonly id: CommandId;
  readonly baseGeneration?: Generation | undefined;
  /** The number that the operator gives it: the highest holds. */
  readonly requestedGeneration?: Generation | undefined;
}
export type UploadResult =
  | { readonly outcome: 'refused'; readonly issues: readonly ValidationIssue[] }
  | { readonly outcome: 'valid'; readonly hash: Hash; readonly routeCount: number }
  | { readonly outcome: 'answered'; readonly status: number; readonly body: string };

/** Checks a whole description here with the nodes' own code, and hands it on in pieces. */
export const uploadConfiguration = async (
  raw: unknown,
  ask: SubmitRequest,
  call: ConfigurationUpload,
  only: 'check' | 'apply',
): Promise<UploadResult> => {
  const bundle = await runTimeSliced(splitIntoChunks(raw));
  if (bundle.isErr) return { outcome: 'refused', issues: bundle.error };
  const { hash, chunkHashes, chunks } = bundle.value;
  const built = await runTimeSliced(
    buildConfiguration(
      chunkHashes.map((one) => chunks.get(one) ?? ''),
      noGeneration,
      hash,
    ),
  );
  if (built.isErr) return { outcome: 'refused', issues: built.error };
  if (only === 'check') return { outcome: 'valid', hash, routeCount: built.value.routeCount };
  return {
    outcome: 'answered',
    ...(await ask({
      verb: 'apply',
      id: call.id,
      baseGeneration: call.baseGeneration,
      requestedGeneration: call.requestedGeneration,
      hash,
      chunkHashes,
      chunks,
    })),
  };
};

const onConfiguration = async (
  ctx: Koa.Context,
  ask: SubmitRequest,
  limit: number,
  only: 'check' | 'apply',
): Promise<void> => {
  const id = commandIdOf(ctx);
  const base = baseOf(ctx);
  if (id === undefined || base === undefined) return;
  const raw = await readJson(ctx, limit);
  if (raw === undefined) return;
  const done = await uploadConfiguration(raw, ask, { id, baseGeneration: base.base }, only);
  switch (done.outcome) {
    case 'refused':
      respondWithError(ctx, 'invalid', 'the description is refused whole', done.issues);
      break;
    case 'valid':
      ctx.body = { kind: 'fits', hash: done.hash, routes: done.routeCount };
      break;
    case 'answered':
      respondWithResult(ctx, done);
      break;
  }
};

/** The outside calls of a core machine: for operators, for origins, for itself and for the store. */
export const createRegistryApp = (
  ask: SubmitRequest,
  limit: number,
  ready: () => boolean,
  metrics: () => string,
): Koa => {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    const at = `${ctx.method} ${ctx.path}`;
    switch (at) {
      case 'GET /live':
        ctx.body = { live: true };
        return;
      case 'GET /ready':
        ctx.status = ready() ? 200 : 503;
        ctx.body = { ready: ready() };
        return;
      case 'GET /metrics':
        ctx.type = metricsContentType;
        ctx.body = metrics();
        return;
      case 'POST /v1/origins': {
        const form = await readRequestBody(ctx, originAnnouncement);
        if (form !== undefined)
          respondWithResult(ctx, await ask({ verb: 'announce', origin: form }));
        return;
      }
      case 'PUT /v1/description':
        await onConfiguration(ctx, ask, limit, 'apply');
        return;
      case 'POST /v1/check':
        await onConfiguration(ctx, ask, limit, 'check');
        return;
      case 'POST /v1/purges': {
        const form = await readRequestBody(ctx, purgeRequest);
        const id = form?.id ?? commandIdOf(ctx);
        if (form !== undefined && id !== undefined)
          respondWithResult(ctx, await ask({ verb: 'purge', id, aims: form.aims }));
        return;
      }
      case 'POST /v1/releases': {
        const form = await readRequestBody(ctx, rolloutRequest);
        if (form !== undefined)
          respondWithResult(
            ctx,
            await ask({
              verb: 'release',
              id: form.id ?? toCommandId(randomUUID()),
              service: form.service,
              target: form.target,
              spanMs: form.spanMs,
            }),
          );
        return;
      }
      case 'POST /v1/fleet': {
        const form = await readRequestBody(ctx, bootstrapRequest);
        if (form !== undefined)
          respondWithResult(
            ctx,
            await ask({
              verb: 'bootstrap',
              id: form.id ?? toCommandId(randomUUID()),
              fleet: form.fleet,
              stores: form.stores,
              voters: form.voters,
            }),
          );
        return;
      }
      case 'POST /v1/electorate': {
        const form = await readRequestBody(ctx, electorateRequest);
        if (form !== undefined)
          respondWithResult(
            ctx,
            await ask({
              verb: 'electorate',
              id: form.id ?? toCommandId(randomUUID()),
              add: form.add,
              remove: form.remove,
            }),
          );
        return;
      }
      case 'GET /v1/fleet':
        respondWithResult(ctx, await ask({ verb: 'fleet' }));
        return;
      default:
        await onParameterisedRoute(ctx, ask);
    }
  });
  return app;
};

const onParameterisedRoute = async (ctx: Koa.Context, ask: SubmitRequest): Promise<void> => {
  const [, version, family, name] = ctx.path.split('/');
  if (version === 'v1' && ctx.method === 'GET' && family === 'calls' && isCommandId(name)) {
    respondWithResult(
      ctx,
      await ask({ verb: 'outcome', id: toCommandId(randomUUID()), commandId: name }),
    );
    return;
  }
  if (version === 'v1' && ctx.method === 'GET' && family === 'releases' && isServiceName(name)) {
    respondWithResult(
      ctx,
      await ask({ verb: 'view', id: toCommandId(randomUUID()), what: `release/${name}` }),
    );
    return;
  }
  if (
    version === 'v1' &&
    ctx.method === 'GET' &&
    family !== undefined &&
    name === undefined &&
    viewNames.has(family)
  ) {
    respondWithResult(
      ctx,
      await ask({ verb: 'view', id: toCommandId(randomUUID()), what: family }),
    );
    return;
  }
  respondWithError(ctx, 'absent', `nothing answers ${ctx.method} ${ctx.path}`);
};
