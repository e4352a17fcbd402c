/** Search for seeded bugs: removes guards from a built copy one at a time and runs the model checker on it. */

import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { copyBuilt, guardError, removeGuard, type Guard } from '@switchwheel/simulator/guard';

const root = fileURLToPath(new URL('../../../..', import.meta.url));

/** Result of the search for one seeded bug. */
export interface SeededBugResult {
  readonly bug: Guard;
  /** Violated invariant; undefined if none was within the bounds. */
  readonly invariant: string | undefined;
  readonly states: number;
  readonly scenario: string | undefined;
}

/** Values parsed from the output of the checker. */
export interface CheckerReport {
  readonly states: number;
  readonly invariant: string | undefined;
  readonly scenario: string | undefined;
}

const parseReport = (output: string): CheckerReport => {
  const line = (name: string): string | undefined =>
    new RegExp(`^${name}: (.*)$`, 'm').exec(output)?.[1];
  return {
    states: Number(line('states') ?? 0),
    invariant: line('violated'),
    scenario: line('schedule'),
  };
};

const runChecker = (copyRoot: string, args: readonly string[]): Promise<CheckerReport> =>
  new Promise((resolve) => {
    const main = join(copyRoot, 'packages', 'model-checker', 'dist', 'main.js');
    const child = spawn(process.execPath, [main, '--first', ...args], {
      cwd: copyRoot,
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.on('close', () => {
      resolve(parseReport(output));
    });
  });

/** Runs the checker on a built copy with each guard removed in turn; throws if a guard is not found in its file. */
export const searchForSeededBugs = async (
  bugs: readonly Guard[],
  args: readonly string[],
  report: (result: SeededBugResult) => void,
): Promise<void> => {
  const copy = copyBuilt(root);
  try {
    for (const bug of bugs) {
      const error = guardError(copy.root, bug);
      if (error !== undefined) throw new Error(error);
      const restoreGuard = removeGuard(copy, bug);
      const result = await runChecker(copy.root, args);
      restoreGuard();
      report({ bug, ...result });
    }
  } finally {
    copy.remove();
  }
};
