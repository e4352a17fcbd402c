/** The command `apply`: submits a configuration and reports where it is in force. */

import { randomUUID } from 'node:crypto';
import { type Result, err, ok } from 'true-myth/result';
import { callRegistry } from '../registry-client/registry-client.js';
import {
  type CommandOptions,
  type CommandResult,
  failure,
  success,
  wrongUse,
} from './command-result.js';
import { readJsonFile } from './json-file.js';
import { listMember, memberOf, toText } from './json-text.js';
import { resultOfError, unanswered } from './registry-request.js';

/** How often the fleet is asked whether a generation is in force. */
const pollIntervalMs = 50;

const isConnectedProxy = (node: unknown): boolean =>
  memberOf(node, 'open') === true && ['edge', 'shield'].includes(toText(memberOf(node, 'role')));

const delay = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Waits until every connected edge and shield reports the generation, or `waitMs` is over; a sentence on the outcome. */
const waitUntilInForce = async (options: CommandOptions, generation: number): Promise<string> => {
  const since = performance.now();
  let behind: readonly string[] = [];
  while (performance.now() - since < options.waitMs) {
    const reply = await callRegistry(options.target, { method: 'GET', path: '/v1/fleet' });
    const nodes = reply.isOk ? listMember(reply.value.body, 'nodes').filter(isConnectedProxy) : [];
    behind = nodes
      .filter((node) => Number(memberOf(node, 'generation')) < generation)
      .map((node) => toText(memberOf(node, 'node')));
    if (nodes.length > 0 && behind.length === 0)
      return `in force on ${nodes.length} nodes after ${Math.round(performance.now() - since)} ms`;
    await delay(pollIntervalMs);
  }
  return `not yet in force on: ${behind.join(', ') || 'no node in touch'}`;
};

/** The generation that must still be in force: the one given, none with `--force`, otherwise the current one. */
const baseGeneration = async (
  options: CommandOptions,
): Promise<Result<number | undefined, CommandResult>> => {
  if (options.base !== undefined || options.force) return ok(options.base);
  // The generation alone: the configuration in force may be too large for one frame.
  const reply = await callRegistry(options.target, { method: 'GET', path: '/v1/store' });
  if (reply.isErr) return err(unanswered(reply.error));
  if (reply.value.status !== 200) return err(resultOfError(options, reply.value));
  return ok(Number(memberOf(reply.value.body, 'generation')));
};

/** `apply FILE`: submits a configuration as the next generation. */
export const applyFile = async (
  options: CommandOptions,
  file: string | undefined,
): Promise<CommandResult> => {
  const raw = readJsonFile(file);
  if (raw.isErr) return wrongUse(raw.error);
  const base = await baseGeneration(options);
  if (base.isErr) return base.error;
  const id = options.id ?? randomUUID();
  const query = new URLSearchParams({
    id,
    ...(base.value === undefined ? {} : { base: String(base.value) }),
  });
  const reply = await callRegistry(options.target, {
    method: 'PUT',
    path: `/v1/description?${query.toString()}`,
    body: JSON.stringify(raw.value),
  });
  if (reply.isErr) return failure(`no registry answers; ask again with --id ${id}: ${reply.error}`);
  if (reply.value.status !== 200) return resultOfError(options, reply.value);
  const generation = Number(memberOf(reply.value.body, 'generation'));
  const progress = options.waitMs > 0 ? await waitUntilInForce(options, generation) : '';
  if (options.json)
    return success(
      JSON.stringify({
        ...Object.fromEntries(Object.entries(reply.value.body ?? {})),
        rollout: progress,
      }),
    );
  return success(
    `accepted as generation ${generation} (id ${id})${progress === '' ? '' : `\n${progress}`}`,
  );
};
