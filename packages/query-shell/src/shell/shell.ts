/** Interactive shell, and repeated execution of queries with `follow`. */

import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { completions } from '../query/completions.js';
import { type QueryTarget, helpText, readQuery, answerQuery } from './answer.js';

const maxHistoryLines = 500;

const delay = (ms: number, signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    const timer = setTimeout(resolve, ms);
    signal.addEventListener(
      'abort',
      () => {
        clearTimeout(timer);
        resolve();
      },
      { once: true },
    );
  });

/** Runs a query once, or with `follow` until aborted; returns whether any registry responded to the last run. */
export const runAndFollow = async (
  line: string,
  target: QueryTarget,
  signal: AbortSignal,
  print: (text: string) => void,
): Promise<boolean> => {
  const query = readQuery(line);
  if (query.isErr) {
    print(query.error);
    return false;
  }
  let hasResponse = false;
  do {
    const output = await answerQuery(query.value, target);
    hasResponse = output.hasResponse;
    print(output.text);
    if (query.value.followMs === undefined) break;
    await delay(query.value.followMs, signal);
  } while (!signal.aborted);
  return hasResponse;
};

/** Runs queries from standard input until it ends or the operator quits; `historyFile`, if given, keeps the history. */
export const runShell = (target: QueryTarget, historyFile: string | undefined): Promise<void> => {
  const history =
    historyFile !== undefined && existsSync(historyFile)
      ? readFileSync(historyFile, 'utf8')
          .split('\n')
          .filter((entry) => entry !== '')
          .reverse()
          .slice(0, maxHistoryLines)
      : [];
  const readlineInterface = createInterface({
    input: process.stdin,
    output: process.stdout,
    prompt: 'query-shell> ',
    history,
    completer: (line: string): [string[], string] => {
      const word = /[^\s|,]*$/.exec(line)?.[0] ?? '';
      return [
        completions(line)
          .filter((candidate) => candidate.startsWith(word))
          .map((candidate) => `${candidate} `),
        word,
      ];
    },
  });
  let abortController = new AbortController();
  let lastCommand: Promise<unknown> = Promise.resolve();
  readlineInterface.on('SIGINT', () => {
    abortController.abort();
    readlineInterface.prompt();
  });
  readlineInterface.on('line', (input) => {
    const line = input.trim();
    lastCommand = lastCommand.then(async () => {
      if (line === 'quit' || line === 'exit') readlineInterface.close();
      else if (line === 'help') process.stdout.write(`${helpText}\n`);
      else if (line !== '') {
        if (historyFile !== undefined) appendFileSync(historyFile, `${line}\n`);
        abortController = new AbortController();
        await runAndFollow(line, target, abortController.signal, (text) =>
          process.stdout.write(`${text}\n`),
        );
      }
      if (line !== 'quit' && line !== 'exit') readlineInterface.prompt();
    });
  });
  readlineInterface.prompt();
  return new Promise((resolve) =>
    readlineInterface.on('close', () => {
      abortController.abort();
      void lastCommand.then(() => resolve());
    }),
  );
};
