/** The command `check`, and the validation that it shares with `import`. */

import { buildConfiguration, runToCompletion, splitIntoChunks } from '@switchwheel/configuration';
import { noGeneration, toHash } from '@switchwheel/types';
import {
  type CommandOptions,
  type CommandResult,
  failure,
  success,
  wrongUse,
} from './command-result.js';
import { readJsonFile } from './json-file.js';
import { errorText } from './json-text.js';

/** Validates a configuration as a registry would; a result only if it is refused. */
export const checkConfiguration = (raw: unknown): CommandResult | undefined => {
  const bundle = runToCompletion(splitIntoChunks(raw));
  const faults = bundle.isErr ? bundle.error : undefined;
  const built = bundle.isErr
    ? undefined
    : runToCompletion(
        buildConfiguration(
          bundle.value.chunkHashes.map((hash) => bundle.value.chunks.get(hash) ?? ''),
          noGeneration,
          toHash(bundle.value.hash),
        ),
      );
  const all = faults ?? (built?.isErr === true ? built.error : undefined);
  return all === undefined
    ? undefined
    : failure(
        errorText({ kind: 'invalid', text: 'the description is refused whole', faults: all }),
      );
};

/** A refusal with one JSON entry for each line below its head. */
const refusalAsJson = (refused: CommandResult): CommandResult => {
  const faults = refused.stderr
    .split('\n')
    .slice(1)
    .map((line) => line.trim());
  return { ...refused, stdout: JSON.stringify({ kind: 'invalid', faults }), stderr: '' };
};

/** `check FILE`: validates a configuration without a fleet. */
export const checkFile = (options: CommandOptions, file: string | undefined): CommandResult => {
  const raw = readJsonFile(file);
  if (raw.isErr) return wrongUse(raw.error);
  const refused = checkConfiguration(raw.value);
  if (refused !== undefined) return options.json ? refusalAsJson(refused) : refused;
  return success(options.json ? JSON.stringify({ kind: 'fits' }) : 'fits');
};
