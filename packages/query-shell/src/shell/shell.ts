import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { completions } from '../query/query.js';
import { type QueryTarget, helpText, readQuery, answerQuery } from './answer.js';

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

/** Asks again and again until stopped. */
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
  let answered = false;
  do {
    const shown = await answerQuery(query.value, target);
    answered = shown.hasAnswer;
    print(shown.text);
    if (query.value.followMs === undefined) break;
    await delay(query.value.followMs, stop);
  } while (!stop.aborted);
  return answered;
};

/** The shell: a line is a query; history goes to a file if one is named. */
export const runShell = (target: QueryTarget, historyFile: string | undefined): Promise<void> => {
  const past =
    historyFile !== undefined && existsSync(historyFile)
      ? readFileSync(historyFile, 'utf8')
          .split('\n')
          .filter((one) => one !== '')
          .reverse()
          .slice(0, 500)
      : [];
  const lines = createInterface({
    input: process.stdin,
    output: process.stdout,
    prompt: 'query-shell> ',
    history: past,
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
  let waiting: Promise<unknown> = Promise.resolve();
  lines.on('SIGINT', () => {
    stop.abort();
    lines.prompt();
  });
  lines.on('line', (raw) => {
    const line = raw.trim();
    waiting = waiting.then(async () => {
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
      void waiting.then(() => done());
    }),
  );
};
