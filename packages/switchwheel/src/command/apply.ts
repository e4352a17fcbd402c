/** Command `apply`: submits a configuration and reports whether it is in force on all nodes. */

import { randomUUID } from 'node:crypto';
import { type Result, err, ok } from 'true-myth/result';
import { callRegistry } from '../registry-client/registry-client.js';
import {
  type CommandOptions,
  type CommandResult,
  failure,
  success,
  usageError,
} from './command-result.js';
import { readJsonFile } from './json-file.js';
import { listProperty, propertyOf, toText } from './json-text.js';
import { resultOfError, noResponse } from './registry-request.js';

const pollIntervalMs = 50;

const isConnectedProxy = (node: unknown): boolean =>
  propertyOf(node, 'open') === true &&
  ['edge', 'shield'].includes(toText(propertyOf(node, 'role')));

const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Waits up to `waitMs` until every connected edge and shield reports the generation; returns a line for the operator. */
const waitUntilInForce = async (options: CommandOptions, generation: number): Promise<string> => {
  const startedAt = performance.now();
  let pendingNodes: readonly string[] = [];
  while (performance.now() - startedAt < options.waitMs) {
    const reply = await callRegistry(options.target, { method: 'GET', path: '/v1/fleet' });
    const nodes = reply.isOk
      ? listProperty(reply.value.body, 'nodes').filter(isConnectedProxy)
      : [];
    pendingNodes = nodes
      .filter((node) => Number(propertyOf(node, 'generation')) < generation)
      .map((node) => toText(propertyOf(node, 'node')));
    if (nodes.length > 0 && pendingNodes.length === 0)
      return `in force on ${nodes.length} nodes after ${Math.round(performance.now() - startedAt)} ms`;
    await delay(pollIntervalMs);
  }
  return `not yet in force on: ${pendingNodes.join(', ') || '(no edge or shield is connected)'}`;
};

/** Returns the generation that must be in force: `--base`, none with `--force`, by default the current one. */
const baseGeneration = async (
  options: CommandOptions,
): Promise<Result<number | undefined, CommandResult>> => {
  if (options.base !== undefined || options.force) return ok(options.base);
  // Reads only the generation, because the configuration in force may exceed the size of one frame.
  const reply = await callRegistry(options.target, { method: 'GET', path: '/v1/store' });
  if (reply.isErr) return err(noResponse(reply.error));
  if (reply.value.status !== 200) return err(resultOfError(options, reply.value));
  return ok(Number(propertyOf(reply.value.body, 'generation')));
};

/** Runs `apply FILE`: submits a configuration as the next generation. */
export const applyFile = async (
  options: CommandOptions,
  file: string | undefined,
): Promise<CommandResult> => {
  const configuration = readJsonFile(file);
  if (configuration.isErr) return usageError(configuration.error);
  const baseResult = await baseGeneration(options);
  if (baseResult.isErr) return baseResult.error;
  const id = options.id ?? randomUUID();
  const query = new URLSearchParams({
    id,
    ...(baseResult.value === undefined ? {} : { base: String(baseResult.value) }),
  });
  const reply = await callRegistry(options.target, {
    method: 'PUT',
    path: `/v1/description?${query.toString()}`,
    body: JSON.stringify(configuration.value),
  });
  if (reply.isErr) return failure(`no registry responded; retry with --id ${id}: ${reply.error}`);
  if (reply.value.status !== 200) return resultOfError(options, reply.value);
  const generation = Number(propertyOf(reply.value.body, 'generation'));
  const rolloutSummary = options.waitMs > 0 ? await waitUntilInForce(options, generation) : '';
  if (options.json)
    return success(
      JSON.stringify({
        ...Object.fromEntries(Object.entries(reply.value.body ?? {})),
        rollout: rolloutSummary,
      }),
    );
  return success(
    `accepted as generation ${generation} (id ${id})${rolloutSummary === '' ? '' : `\n${rolloutSummary}`}`,
  );
};
