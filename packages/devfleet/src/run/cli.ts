import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const script = fileURLToPath(new URL('../../../switchwheel/bin/switchwheel.js', import.meta.url));

export interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly fault: string;
}

/** Runs the operators' command line as an operator would. */
export const operate = (
  registries: readonly string[],
  args: readonly string[],
): Promise<CliResult> =>
  new Promise((done) => {
    execFile(
      process.execPath,
      [script, ...args, '--registry', registries.join(',')],
      { maxBuffer: 64 * 1024 * 1024 },
      (fault, out, text) => {
        done({
          code: fault === null ? 0 : typeof fault.code === 'number' ? fault.code : 1,
          out,
          fault: text,
        });
      },
    );
  });
