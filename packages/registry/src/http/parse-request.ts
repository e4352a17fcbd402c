/**
 * Reading requests. Each function answers a request that can't be read by itself and then gives
 * undefined: its caller has nothing more to do.
 */

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

const maxFormBytes = 4 * 1024 * 1024;

/** A fresh id for a command that came without one. */
export const newCommandId = (): CommandId => toCommandId(randomUUID());

/** Reads a JSON body of at most so many bytes. */
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

/** Reads a JSON body by a schema. */
export const readRequestBody = async <T>(
  ctx: Koa.Context,
  schema: v.GenericSchema<unknown, T>,
): Promise<T | undefined> => {
  const raw = await readJson(ctx, maxFormBytes);
  if (raw === undefined) return undefined;
  const issues: ValidationIssue[] = [];
  const parsed = parseCollecting(schema, raw, '', issues);
  if (parsed === undefined)
    respondWithError(ctx, 'invalid', 'the request is refused whole', issues);
  return parsed;
};

/** The command id of the query, or a fresh one. */
export const commandIdOf = (ctx: Koa.Context): CommandId | undefined => {
  const raw = ctx.query['id'];
  if (raw === undefined) return newCommandId();
  if (isCommandId(raw)) return raw;
  respondWithError(ctx, 'malformed', 'id: at most 128 plain signs');
  return undefined;
};

/** The generation that must be in force by the query, in an object as it may be left out. */
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
