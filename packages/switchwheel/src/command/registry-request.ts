/**
 * Sends the request of a command to a registry and turns the reply into the command's result.
 */

import {
  type RegistryReply,
  type RegistryRequest,
  callRegistry,
} from '../registry-client/registry-client.js';
import { type CommandOptions, type CommandResult, failure, success } from './command-result.js';
import { errorText } from './json-text.js';

/** Renders the body of a successful reply for people. */
export type BodyFormatter = (body: unknown) => string;

/** The result for a reply: its JSON with `--json`, otherwise formatted, or the registry's error with exit code 1. */
export const resultOfReply = (
  options: CommandOptions,
  reply: RegistryReply,
  format: BodyFormatter,
): CommandResult => {
  const isSuccess = reply.status < 300;
  if (options.json)
    return { exitCode: isSuccess ? 0 : 1, stdout: JSON.stringify(reply.body), stderr: '' };
  return isSuccess ? success(format(reply.body)) : failure(errorText(reply.body));
};

/** The result for a reply that is known to be an error. */
export const resultOfError = (options: CommandOptions, reply: RegistryReply): CommandResult =>
  resultOfReply(options, reply, () => '');

/** The result when no registry could be reached. */
export const unanswered = (reason: string): CommandResult =>
  failure(`no registry answers: ${reason}`);

/** Sends one request and formats its reply. */
export const requestAndShow = async (
  options: CommandOptions,
  request: RegistryRequest,
  format: BodyFormatter,
): Promise<CommandResult> => {
  const reply = await callRegistry(options.target, request);
  return reply.isErr ? unanswered(reply.error) : resultOfReply(options, reply.value, format);
};
