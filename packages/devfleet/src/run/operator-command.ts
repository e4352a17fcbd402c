import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const script = fileURLToPath(new URL('../../../switchwheel/bin/switchwheel.js', import.meta.url));

export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the operators' command line as an operator would. */
export const runOperatorCommand = (
  registries: readonly string[],
  args: readonly string[],
): Promise<CommandResult> =>
  new Promise((done) => {
    execFile(
      process.execPath,
      [script, ...args, '--registry', registries.join(',')],
      { maxBuffer: 64 * 1024 * 1024 },
      (fault, out, text) => {
        done({
          exitCode: fault === null ? 0 : typeof fault.code === 'number' ? fault.code : 1,
          stdout: out,
          stderr: text,
        });
      },
    );
  });
