import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { copyBuilt, guardError, removeGuard, type Guard } from '@switchwheel/simulator/guard';

const root = fileURLToPath(new URL('../../../..', import.meta.url));

/** What a hunt for one seeded bug came to: what the checker printed last. */
export interface HuntResult {
  readonly bug: Guard;
  /** The invariant that failed; undefined if none did within the bounds. */
  readonly invariant: string | undefined;
  readonly states: number;
  readonly scenario: string | undefined;
}

/** The lines that the checker prints for other programs. */
export interface MachineReadable {
  readonly states: number;
  readonly invariant: string | undefined;
  readonly scenario: string | undefined;
}

const readReport = (output: string): MachineReadable => {
  const line = (name: string): string | undefined =>
    new RegExp(`^${name}: (.*)$`, 'm').exec(output)?.[1];
  return {
    states: Number(line('states') ?? 0),
    invariant: line('violated'),
    scenario: line('schedule'),
  };
};

const runChecker = (copyRoot: string, args: readonly string[]): Promise<MachineReadable> =>
  new Promise((done) => {
    const main = join(copyRoot, 'packages', 'model-checker', 'dist', 'main.js');
    const child = spawn(process.execPath, [main, '--first', ...args], {
      cwd: copyRoot,
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (part: Buffer) => {
      output += part.toString();
    });
    child.on('close', () => {
      done(readReport(output));
    });
  });

/** Takes one guard after the other out of a built copy, and lets the checker look for what it breaks. */
export const huntSeededBugs = async (
  bugs: readonly Guard[],
  args: readonly string[],
  report: (result: HuntResult) => void,
): Promise<void> => {
  const copy = copyBuilt(root);
  try {
    for (const bug of bugs) {
      const fault = guardError(copy.root, bug);
      if (fault !== undefined) throw new Error(fault);
      const putBack = removeGuard(copy, bug);
      const result = await runChecker(copy.root, args);
      putBack();
      report({ bug, ...result });
    }
  } finally {
    copy.remove();
  }
};
