/** The command `import`: turns an nginx configuration into a configuration of this system. */

import { convertNginx, readNginx } from '@switchwheel/config-import';
import { checkConfiguration } from './check.js';
import { type CommandOptions, type CommandResult, failure, wrongUse } from './command-result.js';

/** `import FILE`: the configuration on standard output, what has no counterpart on standard error. */
export const importFile = (options: CommandOptions, file: string | undefined): CommandResult => {
  if (file === undefined) return wrongUse('which file?');
  const read = readNginx(file);
  if (read.isErr) return wrongUse(`${read.error.file}:${read.error.line}: ${read.error.text}`);
  const { description, skipped } = convertNginx(read.value);
  const refused = checkConfiguration(description);
  if (refused !== undefined)
    return failure(`what was read makes no description\n${refused.stderr}`);
  const notes = skipped
    .map(
      ({ file: from, line, name, reason }) =>
        `${from}:${line}: not carried over: ${name} (${reason})`,
    )
    .join('\n');
  if (options.strict && skipped.length > 0)
    return failure(`${notes}\n${skipped.length} directives were not carried over`);
  return { exitCode: 0, stdout: JSON.stringify(description, null, 2), stderr: notes };
};
