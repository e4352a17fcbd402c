import { randomUUID } from 'node:crypto';
import Koa from 'koa';
import * as v from 'valibot';
import {
  type CallId,
  type Generation,
  type Hash,
  type ErrorKind,
  isCallId,
  isGeneration,
  isServiceName,
  noGeneration,
  responseFor,
  toCallId,
} from '@switchwheel/types';
import { type Fault, build, cut, readInto } from '@switchwheel/configuration';
import type { Outside } from '@switchwheel/membership';
import { inSlices, metricsType, readBody } from '@switchwheel/runtime';
import { announcement, electorateForm, foundForm, purgeForm, releaseForm } from './forms.js';

/** Hands a call to the machine; settles with its answer. */
export type Ask = (call: Outside) => Promise<{ readonly status: number; readonly body: string }>;

const views: ReadonlySet<string> = new Set([
  'description',
  'rollouts',
  'nodes',
  'purges',
  'verdicts',
  'releases',
  'store',
]);
const smallLimit = 4 * 1024 * 1024;

const fail = (ctx: Koa.Context, kind: ErrorKind, text: string, faults?: readonly Fault[]): void => {
  const told = responseFor(kind);
  ctx.status = told.status;
  if (told.retryAfter !== undefined) ctx.set('retry-after', String(told.retryAfter));
  ctx.body = { kind, text, ...(faults === undefined ? {} : { faults }) };
};

const readJson = async (ctx: Koa.Context, limit: number): Promise<unknown> => {
  const body = await readBody(ctx.req, limit);
  if (body.isErr) {
    ctx.set('connection', 'close');
    fail(ctx, body.error.kind, body.error.text);
    return undefined;
  }
  try {
    const raw: unknown = JSON.parse(body.value.toString('utf8'));
    return raw;
  } catch (problem) {
    fail(
      ctx,
      'malformed',
      `not JSON: ${problem instanceof Error ? problem.message : 'unreadable'}`,
    );
    return undefined;
  }
};

const readForm = async <T>(
  ctx: Koa.Context,
  schema: v.GenericSchema<unknown, T>,
): Promise<T | undefined> => {
  const raw = await readJson(ctx, smallLimit);
  if (raw === undefined) return undefined;
  const faults: Fault[] = [];
  const form = readInto(schema, raw, '', faults);
  if (form === undefined) fail(ctx, 'invalid', 'the request is refused whole', faults);
  return form;
};

const callIdOf = (ctx: Koa.Context): CallId | undefined => {
  const raw = ctx.query['id'];
  if (raw === undefined) return toCallId(randomUUID());
  if (isCallId(raw)) return raw;
  fail(ctx, 'malformed', 'id: at most 128 plain signs');
  return undefined;
};

const baseOf = (ctx: Koa.Context): { readonly base: Generation | undefined } | undefined => {
  const raw = ctx.query['base'];
  if (raw === undefined) return { base: undefined };
  const base = typeof raw === 'string' && /^\d+$/.test(raw) ? Number(raw) : undefined;
  if (isGeneration(base)) return { base };
  fail(ctx, 'malformed', 'base: a generation');
  return undefined;
};

const tellResult = (
  ctx: Koa.Context,
  result: { readonly status: number; readonly body: string },
): void => {
  ctx.status = result.status;
  if (result.status === 503) ctx.set('retry-after', '1');
  ctx.type = 'application/json';
  ctx.body = result.body;
};

/** A call of an operator with a whole description. */
export interface HandIn {
  readonly id: CallId;
  readonly base?: Generation | undefined;
  /** The number that the operator gives it: the highest holds. */
  readonly number?: Generation | undefined;
}
export type Handed =
  | { readonly handed: 'refused'; readonly faults: readonly Fault[] }
  | { readonly handed: 'fits'; readonly hash: Hash; readonly routes: number }
  | { readonly handed: 'told'; readonly status: number; readonly body: string };

/** Checks a whole description here with the nodes' own code, and hands it on in pieces. */
export const handIn = async (
  raw: unknown,
  ask: Ask,
  call: HandIn,
  only: 'check' | 'apply',
): Promise<Handed> => {
  const bundle = await inSlices(cut(raw));
  if (bundle.isErr) return { handed: 'refused', faults: bundle.error };
  const { hash, order, pieces } = bundle.value;
  const built = await inSlices(
    build(
      order.map((one) => pieces.get(one) ?? ''),
      noGeneration,
      hash,
    ),
  );
  if (built.isErr) return { handed: 'refused', faults: built.error };
  if (only === 'check') return { handed: 'fits', hash, routes: built.value.routes };
  return {
    handed: 'told',
    ...(await ask({
      verb: 'apply',
      id: call.id,
      base: call.base,
      number: call.number,
      hash,
      order,
      pieces,
    })),
  };
};

const description = async (
  ctx: Koa.Context,
  ask: Ask,
  limit: number,
  only: 'check' | 'apply',
): Promise<void> => {
  const id = callIdOf(ctx);
  const base = baseOf(ctx);
  if (id === undefined || base === undefined) return;
  const raw = await readJson(ctx, limit);
  if (raw === undefined) return;
  const done = await handIn(raw, ask, { id, base: base.base }, only);
  switch (done.handed) {
    case 'refused':
      fail(ctx, 'invalid', 'the description is refused whole', done.faults);
      break;
    case 'fits':
      ctx.body = { kind: 'fits', hash: done.hash, routes: done.routes };
      break;
    case 'told':
      tellResult(ctx, done);
      break;
  }
};

/** The outside calls of a core machine: for operators, for origins, for itself and for the store. */
export const outsideApp = (
  ask: Ask,
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
        ctx.type = metricsType;
        ctx.body = metrics();
        return;
      case 'POST /v1/origins': {
        const form = await readForm(ctx, announcement);
        if (form !== undefined) tellResult(ctx, await ask({ verb: 'announce', origin: form }));
        return;
      }
      case 'PUT /v1/description':
        await description(ctx, ask, limit, 'apply');
        return;
      case 'POST /v1/check':
        await description(ctx, ask, limit, 'check');
        return;
      case 'POST /v1/purges': {
        const form = await readForm(ctx, purgeForm);
        const id = form?.id ?? callIdOf(ctx);
        if (form !== undefined && id !== undefined)
          tellResult(ctx, await ask({ verb: 'purge', id, aims: form.aims }));
        return;
      }
      case 'POST /v1/releases': {
        const form = await readForm(ctx, releaseForm);
        if (form !== undefined)
          tellResult(
            ctx,
            await ask({
              verb: 'release',
              id: form.id ?? toCallId(randomUUID()),
              service: form.service,
              target: form.target,
              spanMs: form.spanMs,
            }),
          );
        return;
      }
      case 'POST /v1/fleet': {
        const form = await readForm(ctx, foundForm);
        if (form !== undefined)
          tellResult(
            ctx,
            await ask({
              verb: 'found',
              id: form.id ?? toCallId(randomUUID()),
              fleet: form.fleet,
              stores: form.stores,
              voters: form.voters,
            }),
          );
        return;
      }
      case 'POST /v1/electorate': {
        const form = await readForm(ctx, electorateForm);
        if (form !== undefined)
          tellResult(
            ctx,
            await ask({
              verb: 'electorate',
              id: form.id ?? toCallId(randomUUID()),
              add: form.add,
              remove: form.remove,
            }),
          );
        return;
      }
      case 'GET /v1/fleet':
        tellResult(ctx, await ask({ verb: 'fleet' }));
        return;
      default:
        await other(ctx, ask);
    }
  });
  return app;
};

const other = async (ctx: Koa.Context, ask: Ask): Promise<void> => {
  const [, version, family, name] = ctx.path.split('/');
  if (version === 'v1' && ctx.method === 'GET' && family === 'calls' && isCallId(name)) {
    tellResult(ctx, await ask({ verb: 'ask', id: toCallId(randomUUID()), about: name }));
    return;
  }
  if (version === 'v1' && ctx.method === 'GET' && family === 'releases' && isServiceName(name)) {
    tellResult(
      ctx,
      await ask({ verb: 'view', id: toCallId(randomUUID()), what: `release/${name}` }),
    );
    return;
  }
  if (
    version === 'v1' &&
    ctx.method === 'GET' &&
    family !== undefined &&
    name === undefined &&
    views.has(family)
  ) {
    tellResult(ctx, await ask({ verb: 'view', id: toCallId(randomUUID()), what: family }));
    return;
  }
  fail(ctx, 'absent', `nothing answers ${ctx.method} ${ctx.path}`);
};
