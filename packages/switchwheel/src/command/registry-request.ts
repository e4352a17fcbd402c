/** Sends the request of a command to a registry and converts the reply to the command's result. */

import {
  type RegistryReply,
  type RegistryRequest,
  callRegistry,
} from '../registry-client/registry-client.js';
import { type CommandOptions, type CommandResult, failure, success } from './command-result.js';
import { errorText } from './json-text.js';

/** Formats the body of a successful reply as text. */
export type BodyFormatter = (body: unknown) => string;

/** Converts a reply to a result: its JSON with `--json`, otherwise text; exit code 1 for a status of 300 or more. */
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

/** Converts an error reply to a result. */
export const resultOfError = (options: CommandOptions, reply: RegistryReply): CommandResult =>
  resultOfReply(options, reply, () => '');

/** Returns the result of a command that no registry responded to. */
export const noResponse = (reason: string): CommandResult =>
  failure(`no registry responded: ${reason}`);

/** Sends a request and converts its reply, or the lack of one, to a result. */
export const requestAndFormat = async (
  options: CommandOptions,
  request: RegistryRequest,
  format: BodyFormatter,
): Promise<CommandResult> => {
  const reply = await callRegistry(options.target, request);
  return reply.isErr ? noResponse(reply.error) : resultOfReply(options, reply.value, format);
};
