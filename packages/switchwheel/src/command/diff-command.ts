/** The command `diff`: compares a file with the configuration in force. */

import { callRegistry } from '../registry-client/registry-client.js';
import { type CommandOptions, type CommandResult, success, wrongUse } from './command-result.js';
import { diffConfigurations, formatDiff } from './diff.js';
import { readJsonFile } from './json-file.js';
import { memberOf } from './json-text.js';
import { resultOfError, unanswered } from './registry-request.js';

/** `diff FILE`: what applying the file would change. */
export const diffAgainstCurrent = async (
  options: CommandOptions,
  file: string | undefined,
): Promise<CommandResult> => {
  const raw = readJsonFile(file);
  if (raw.isErr) return wrongUse(raw.error);
  const current = await callRegistry(options.target, { method: 'GET', path: '/v1/description' });
  if (current.isErr) return unanswered(current.error);
  if (current.value.status !== 200) return resultOfError(options, current.value);
  const changes = diffConfigurations(memberOf(current.value.body, 'description'), raw.value);
  return success(
    options.json
      ? JSON.stringify({ generation: memberOf(current.value.body, 'generation'), changes })
      : formatDiff(changes),
  );
};
