/** Parses requests. Each parser responds to an invalid request with an error itself, and returns undefined. */

import { randomUUID } from 'node:crypto';
import type Koa from 'koa';
import type * as v from 'valibot';
import {
  type CommandId,
  type Generation,
  isCommandId,
  isGeneration,
  toCommandId,
} from '@switchwheel/types';
import { type ValidationIssue, parseCollecting } from '@switchwheel/configuration';
import { readBody } from '@switchwheel/runtime';
import { respondWithError } from './respond.js';

const maxBodyBytes = 4 * 1024 * 1024;

/** Returns a random id for a command that was sent without one. */
export const newCommandId = (): CommandId => toCommandId(randomUUID());

/** Reads a JSON body of at most `maxBytes`. */
export const readJson = async (ctx: Koa.Context, maxBytes: number): Promise<unknown> => {
  const body = await readBody(ctx.req, maxBytes);
  if (body.isErr) {
    ctx.set('connection', 'close');
    respondWithError(ctx, body.error.kind, body.error.text);
    return undefined;
  }
  try {
    const raw: unknown = JSON.parse(body.value.toString('utf8'));
    return raw;
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unreadable';
    respondWithError(ctx, 'malformed', `not JSON: ${reason}`);
    return undefined;
  }
};

/** Reads a JSON body and validates it with a schema. */
export const readRequestBody = async <T>(
  ctx: Koa.Context,
  schema: v.GenericSchema<unknown, T>,
): Promise<T | undefined> => {
  const raw = await readJson(ctx, maxBodyBytes);
  if (raw === undefined) return undefined;
  const issues: ValidationIssue[] = [];
  const parsed = parseCollecting(schema, raw, '', issues);
  if (parsed === undefined)
    respondWithError(ctx, 'invalid', 'the request is refused whole', issues);
  return parsed;
};

/** Command id from the query parameter `id`, or a random one if it is absent. */
export const commandIdOf = (ctx: Koa.Context): CommandId | undefined => {
  const raw = ctx.query['id'];
  if (raw === undefined) return newCommandId();
  if (isCommandId(raw)) return raw;
  respondWithError(ctx, 'malformed', 'id: at most 128 plain signs');
  return undefined;
};

/** Generation from the query parameter `base`, which is optional and therefore wrapped in an object. */
export const baseGenerationOf = (
  ctx: Koa.Context,
): { readonly baseGeneration: Generation | undefined } | undefined => {
  const raw = ctx.query['base'];
  if (raw === undefined) return { baseGeneration: undefined };
  const baseGeneration = typeof raw === 'string' && /^\d+$/.test(raw) ? Number(raw) : undefined;
  if (isGeneration(baseGeneration)) return { baseGeneration };
  respondWithError(ctx, 'malformed', 'base: a generation');
  return undefined;
};
