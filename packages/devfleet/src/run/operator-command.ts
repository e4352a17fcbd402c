/** Runs the operators' command line `switchwheel` as a child process. */

import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const maxOutputBytes = 64 * 1024 * 1024;
const script = fileURLToPath(new URL('../../../switchwheel/bin/switchwheel.js', import.meta.url));

/** Output and exit code of a command. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a command against the given registries; never rejects. */
export const runOperatorCommand = (
  registries: readonly string[],
  args: readonly string[],
): Promise<CommandResult> =>
  new Promise((resolve) => {
    execFile(
      process.execPath,
      [script, ...args, '--registry', registries.join(',')],
      { maxBuffer: maxOutputBytes },
      (error, stdout, stderr) => {
        resolve({
          exitCode: error === null ? 0 : typeof error.code === 'number' ? error.code : 1,
          stdout,
          stderr,
        });
      },
    );
  });
