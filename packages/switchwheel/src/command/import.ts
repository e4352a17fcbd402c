/** Command `import`: converts an nginx configuration. */

import { convertNginx, readNginx } from '@switchwheel/config-import';
import { checkConfiguration } from './check.js';
import { type CommandOptions, type CommandResult, failure, usageError } from './command-result.js';

/** Runs `import FILE`: prints the configuration to standard output, and the skipped directives to standard error. */
export const importFile = (options: CommandOptions, file: string | undefined): CommandResult => {
  if (file === undefined) return usageError('missing argument FILE');
  const directives = readNginx(file);
  if (directives.isErr)
    return usageError(
      `${directives.error.file}:${directives.error.line}: ${directives.error.text}`,
    );
  const { description, skipped } = convertNginx(directives.value);
  const invalid = checkConfiguration(description);
  if (invalid !== undefined)
    return failure(`the converted configuration is invalid\n${invalid.stderr}`);
  const skippedLines = skipped
    .map(
      ({ file: sourceFile, line, name, reason }) =>
        `${sourceFile}:${line}: skipped: ${name} (${reason})`,
    )
    .join('\n');
  if (options.strict && skipped.length > 0)
    return failure(`${skippedLines}\n${skipped.length} directives were skipped`);
  return { exitCode: 0, stdout: JSON.stringify(description, null, 2), stderr: skippedLines };
};
