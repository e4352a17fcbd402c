/** Runs programs in child processes, for tests of command lines. */

import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';

/** Arguments and environment variables of one run of a program. */
export interface CommandLine {
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

const maxConcurrentRuns = 3;
/** Time after which a program is killed, so that a test can't hang on it. */
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

/** Runs a program with each command line, several at once; returns exit codes and outputs in order. */
export const runCommands = async (
  script: string,
  name: string,
  lines: readonly CommandLine[],
): Promise<string> => {
  // Throws if the script is missing, which would otherwise only show as an exit code.
  readFileSync(script);
  const outputs: string[] = [];
  for (let start = 0; start < lines.length; start += maxConcurrentRuns) {
    const batch = lines.slice(start, start + maxConcurrentRuns);
    outputs.push(...(await Promise.all(batch.map((line) => runOnce(script, name, line)))));
  }
  return outputs.join('\n\n');
};

/** Program that runs until it is stopped. */
export interface RunningProgram {
  readonly stop: () => Promise<void>;
}

/** Starts a program; resolves once its standard error contains `startedText`, rejects if it exits before. */
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
  const exited = once(child, 'exit');
  await new Promise<void>((resolve, reject) => {
    let logged = '';
    child.stderr.on('data', (chunk: Buffer) => {
      logged += chunk.toString('utf8');
      if (logged.includes(startedText)) resolve();
    });
    child.once('exit', () =>
      reject(new Error(`program exited before it had started, standard error: ${logged}`)),
    );
  });
  return {
    stop: async () => {
      child.kill('SIGKILL');
      await exited;
    },
  };
};
