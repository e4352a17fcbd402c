/** The interactive shell, and queries that are run again and again. */

import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { completions } from '../query/completions.js';
import { type QueryTarget, helpText, readQuery, answerQuery } from './answer.js';

const maxHistoryLines = 500;

const delay = (ms: number, stop: AbortSignal): Promise<void> =>
  new Promise((done) => {
    const timer = setTimeout(done, ms);
    stop.addEventListener(
      'abort',
      () => {
        clearTimeout(timer);
        done();
      },
      { once: true },
    );
  });

/** Runs a query once, or until stopped if it follows; returns whether the last run had an answer. */
export const runAndFollow = async (
  line: string,
  target: QueryTarget,
  stop: AbortSignal,
  print: (text: string) => void,
): Promise<boolean> => {
  const query = readQuery(line);
  if (query.isErr) {
    print(query.error);
    return false;
  }
  let hasAnswer = false;
  do {
    const output = await answerQuery(query.value, target);
    hasAnswer = output.hasAnswer;
    print(output.text);
    if (query.value.followMs === undefined) break;
    await delay(query.value.followMs, stop);
  } while (!stop.aborted);
  return hasAnswer;
};

/** Reads queries line by line until the input ends; the history is kept in a file if one is named. */
export const runShell = (target: QueryTarget, historyFile: string | undefined): Promise<void> => {
  const history =
    historyFile !== undefined && existsSync(historyFile)
      ? readFileSync(historyFile, 'utf8')
          .split('\n')
          .filter((one) => one !== '')
          .reverse()
          .slice(0, maxHistoryLines)
      : [];
  const lines = createInterface({
    input: process.stdin,
    output: process.stdout,
    prompt: 'query-shell> ',
    history,
    completer: (line: string): [string[], string] => {
      const word = /[^\s|,]*$/.exec(line)?.[0] ?? '';
      return [
        completions(line)
          .filter((one) => one.startsWith(word))
          .map((one) => `${one} `),
        word,
      ];
    },
  });
  let stop = new AbortController();
  let lastCommand: Promise<unknown> = Promise.resolve();
  lines.on('SIGINT', () => {
    stop.abort();
    lines.prompt();
  });
  lines.on('line', (raw) => {
    const line = raw.trim();
    lastCommand = lastCommand.then(async () => {
      if (line === 'quit' || line === 'exit') lines.close();
      else if (line === 'help') process.stdout.write(`${helpText}\n`);
      else if (line !== '') {
        if (historyFile !== undefined) appendFileSync(historyFile, `${line}\n`);
        stop = new AbortController();
        await runAndFollow(line, target, stop.signal, (text) => process.stdout.write(`${text}\n`));
      }
      if (line !== 'quit' && line !== 'exit') lines.prompt();
    });
  });
  lines.prompt();
  return new Promise((done) =>
    lines.on('close', () => {
      stop.abort();
      void lastCommand.then(() => done());
    }),
  );
};
