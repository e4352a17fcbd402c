/** Reads the JSON files that are named on the command line. */

import { readFileSync } from 'node:fs';
import { type Result, err, ok } from 'true-myth/result';

/** The file name that stands for standard input. */
const standardInput = '-';

/** Reads a JSON file, or standard input for `-`; the error is a sentence for the operator. */
export const readJsonFile = (file: string | undefined): Result<unknown, string> => {
  if (file === undefined) return err('which file?');
  let raw: string;
  try {
    raw = readFileSync(file === standardInput ? 0 : file, 'utf8');
  } catch {
    return err(`${file}: can't be read`);
  }
  try {
    const value: unknown = JSON.parse(raw);
    return ok(value);
  } catch (problem) {
    return err(`${file}: not JSON: ${problem instanceof Error ? problem.message : 'unreadable'}`);
  }
};
