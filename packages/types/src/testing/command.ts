/** Runs programs in processes of their own, for tests of command lines. */

import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';

/** One run of a program. */
export interface CommandLine {
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

const concurrency = 3;
/** A program that takes longer is ended, so that a test can't hang on it. */
const timeoutMs = 20_000;

const runOnce = (script: string, name: string, { args, env }: CommandLine): Promise<string> =>
  new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [script, ...args],
      { env: { PATH: process.env['PATH'], ...env }, timeout: timeoutMs },
      (_, stdout, stderr) => {
        const variables = Object.entries(env ?? {}).map(([key, value]) => `${key}=${value} `);
        resolve(
          [
            `$ ${variables.join('')}${[name, ...args].join(' ')}`,
            `exit code ${child.exitCode ?? `none, ${child.signalCode ?? 'no signal'}`}`,
            ...(stdout === '' ? [] : ['stdout:', stdout.trimEnd()]),
            ...(stderr === '' ? [] : ['stderr:', stderr.trimEnd()]),
          ].join('\n'),
        );
      },
    );
    child.stdin?.end();
  });

/** Runs a program with each command line, a few at once; gives exit code and output of each, in order. */
export const runCommands = async (
  script: string,
  name: string,
  lines: readonly CommandLine[],
): Promise<string> => {
  // Fails here, and not as an exit code, where the script is missing.
  readFileSync(script);
  const outputs: string[] = [];
  for (let from = 0; from < lines.length; from += concurrency) {
    const batch = lines.slice(from, from + concurrency);
    outputs.push(...(await Promise.all(batch.map((line) => runOnce(script, name, line)))));
  }
  return outputs.join('\n\n');
};

/** A program that runs until it is stopped. */
export interface RunningProgram {
  readonly stop: () => Promise<void>;
}

/** Starts a program; settles once its standard error holds a text, and fails if it ends before. */
export const startProgram = async (
  script: string,
  { args, env }: CommandLine,
  startedText: string,
): Promise<RunningProgram> => {
  const child = spawn(process.execPath, [script, ...args], {
    env: { PATH: process.env['PATH'], ...env },
    stdio: ['ignore', 'ignore', 'pipe'],
    timeout: timeoutMs,
  });
  const ended = once(child, 'exit');
  await new Promise<void>((resolve, reject) => {
    let logged = '';
    child.stderr.on('data', (chunk: Buffer) => {
      logged += chunk.toString('utf8');
      if (logged.includes(startedText)) resolve();
    });
    child.once('exit', () => reject(new Error(`the program ended: ${logged}`)));
  });
  return {
    stop: async () => {
      child.kill('SIGKILL');
      await ended;
    },
  };
};
