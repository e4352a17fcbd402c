/** Frame of a case: record, time limit, clean-up and exit code (1: the rule was broken, 0: it held, 2: not run). */

import { createWriteStream } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Fleet } from './platform.mjs';

const maxRunMs = 110_000;

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
class Record {
  constructor(path) {
    this.stream = createWriteStream(path);
    this.startedAt = Date.now();
  }

  write(who, what) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    this.stream.write(`${at} ${who} ${typeof what === 'string' ? what : JSON.stringify(what)}\n`);
  }

  close() {
    return new Promise((resolve) => {
      this.stream.end(resolve);
    });
  }
}

/**
 * Runs a case, on a fleet of its own for each of `rounds`, up to the first round that breaks the rule. `play` gets the
 * round and resolves with the list of breaks that were seen.
 */
export const runCase = async (url, play, rounds = [undefined]) => {
  const record = new Record(join(dirname(fileURLToPath(url)), 'record.txt'));
  let fleet;
  const end = async (code, text) => {
    record.write('case', text);
    process.stdout.write(`${text}\n`);
    await fleet?.stop();
    await record.close();
    process.exit(code);
  };
  const timer = setTimeout(() => void end(2, 'not run: out of time'), maxRunMs);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => void end(2, `not run: ${signal}`));
  try {
    for (const [index, round] of rounds.entries()) {
      fleet = new Fleet();
      if (rounds.length > 1) record.write('case', `round ${index + 1}: ${JSON.stringify(round)}`);
      const breaks = await play(fleet, record, round);
      for (const text of breaks.slice(0, 20)) record.write('break', text);
      if (breaks.length > 0) await end(1, `broken: ${breaks.length} times; first: ${breaks[0]}`);
      await fleet.stop();
    }
    clearTimeout(timer);
    await end(0, 'held');
  } catch (error) {
    await end(2, `not run: ${error.stack}`);
  }
};
