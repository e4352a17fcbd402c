/** Command `check`, and the validation that it shares with `import`. */

import { buildConfiguration, runToCompletion, splitIntoChunks } from '@switchwheel/configuration';
import { noGeneration, toHash } from '@switchwheel/types';
import {
  type CommandOptions,
  type CommandResult,
  failure,
  success,
  usageError,
} from './command-result.js';
import { readJsonFile } from './json-file.js';
import { errorText } from './json-text.js';

/** Validates a configuration by the rules of a registry; returns undefined if it is valid, otherwise the failure. */
export const checkConfiguration = (configuration: unknown): CommandResult | undefined => {
  const bundle = runToCompletion(splitIntoChunks(configuration));
  const splitFaults = bundle.isErr ? bundle.error : undefined;
  const built = bundle.isErr
    ? undefined
    : runToCompletion(
        buildConfiguration(
          bundle.value.chunkHashes.map((hash) => bundle.value.chunks.get(hash) ?? ''),
          noGeneration,
          toHash(bundle.value.hash),
        ),
      );
  const faults = splitFaults ?? (built?.isErr === true ? built.error : undefined);
  return faults === undefined
    ? undefined
    : failure(
        errorText({ kind: 'invalid', text: 'the configuration is rejected as a whole', faults }),
      );
};

/** Converts the failure of a validation to JSON, with one fault for each line after the first. */
const failureAsJson = (invalid: CommandResult): CommandResult => {
  const faults = invalid.stderr
    .split('\n')
    .slice(1)
    .map((line) => line.trim());
  return { ...invalid, stdout: JSON.stringify({ kind: 'invalid', faults }), stderr: '' };
};

/** Runs `check FILE`: validates a configuration locally. */
export const checkFile = (options: CommandOptions, file: string | undefined): CommandResult => {
  const configuration = readJsonFile(file);
  if (configuration.isErr) return usageError(configuration.error);
  const invalid = checkConfiguration(configuration.value);
  if (invalid !== undefined) return options.json ? failureAsJson(invalid) : invalid;
  return success(options.json ? JSON.stringify({ kind: 'fits' }) : 'configuration is valid');
};
