/** Command `diff`: compares a file with the configuration in force. */

import { callRegistry } from '../registry-client/registry-client.js';
import { type CommandOptions, type CommandResult, success, usageError } from './command-result.js';
import { diffConfigurations, formatDiff } from './diff.js';
import { readJsonFile } from './json-file.js';
import { propertyOf } from './json-text.js';
import { resultOfError, noResponse } from './registry-request.js';

/** Runs `diff FILE`: shows what applying the file would change. */
export const diffAgainstCurrent = async (
  options: CommandOptions,
  file: string | undefined,
): Promise<CommandResult> => {
  const configuration = readJsonFile(file);
  if (configuration.isErr) return usageError(configuration.error);
  const current = await callRegistry(options.target, { method: 'GET', path: '/v1/description' });
  if (current.isErr) return noResponse(current.error);
  if (current.value.status !== 200) return resultOfError(options, current.value);
  const changes = diffConfigurations(
    propertyOf(current.value.body, 'description'),
    configuration.value,
  );
  return success(
    options.json
      ? JSON.stringify({ generation: propertyOf(current.value.body, 'generation'), changes })
      : formatDiff(changes),
  );
};
